/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Non-cryptographic hashing, for even distribution of keys. */
import {hash} from 'node:crypto';

/** Returns a 32-bit hash of a text that is the same in every process. */
export function hash32(text: string): number {
  return hash('md5', text, 'buffer').readUInt32LE(0);
}
