/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The head of a request as it is sent: request line and headers. */

/** Characters that no header may hold; a line break would begin another one. */
const FORBIDDEN = /[^\t\x20-\x7e\x80-\xff]/;

/**
 * The text of a head, one byte a character; names and values come in turn.
 * Undefined where a header has characters that none may hold.
 */
export function requestHead(
  method: string,
  path: string,
  headers: readonly string[],
): string | undefined {
  let head = `${method} ${path} HTTP/1.1\r\n`;
  for (let at = 0; at + 1 < headers.length; at += 2) {
    const line = `${headers[at]}: ${headers[at + 1]}`;
    if (FORBIDDEN.test(line)) {
      return undefined;
    }
    head += `${line}\r\n`;
  }
  return `${head}\r\n`;
}
