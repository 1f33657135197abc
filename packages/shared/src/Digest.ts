/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Content digests: SHA-256 over canonical JSON. */
import {createHash} from 'node:crypto';

import stringify from 'safe-stable-stringify';

/** Returns the hexadecimal SHA-256 digest of text or bytes. */
export function digestBytes(content: string | Uint8Array): string {
  return createHash('sha256').update(content).digest('hex');
}

/** Returns the digest of a JSON value, independent of the order of its keys. */
export function digestValue(value: unknown): string {
  return digestBytes(stringify(value) ?? '');
}
