/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Formats the head of an HTTP request: request line and headers. */

import {hasOnlyFieldCharacters} from 'shared';

/**
 * Formats a request head in Latin-1; `headers` alternates names and values. Returns
 * undefined if a header contains an invalid character, to prevent header injection.
 */
export function formatRequestHead(
  method: string,
  path: string,
  headers: readonly string[],
): string | undefined {
  let head = `${method} ${path} HTTP/1.1\r\n`;
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const line = `${headers[index]}: ${headers[index + 1]}`;
    if (!hasOnlyFieldCharacters(line)) {
      return undefined;
    }
    head += `${line}\r\n`;
  }
  return `${head}\r\n`;
}
