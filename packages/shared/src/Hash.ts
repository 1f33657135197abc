/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Hashes that spread things evenly; they prove nothing. */
import {hash} from 'node:crypto';

/** A 32-bit hash of a text, the same in every process. */
export function hashOf(text: string): number {
  return hash('md5', text, 'buffer').readUInt32LE(0);
}
