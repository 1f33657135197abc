/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Reads the whole body of a response; undefined if the client says that it broke off. */
export async function readWhole(
  body: AsyncIterable<Uint8Array>,
): Promise<string | undefined> {
  const chunks: Uint8Array[] = [];
  try {
    for await (const chunk of body) {
      chunks.push(chunk);
    }
  } catch {
    return undefined;
  }
  return Buffer.concat(chunks).toString();
}
