/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Compressed CBOR, for what is large and repeats itself, such as routes. */
import {deflateRawSync, inflateRawSync} from 'node:zlib';

import {Decoder, Encoder} from 'cbor-x';

const encoder = new Encoder({useRecords: false});
const decoder = new Decoder({useRecords: false});

/** Encodes a value without compression, to be a part of a compressed one. */
export function encode(value: unknown): Uint8Array {
  return encoder.encode(value);
}

/** Decodes the output of `encode`; throws if it is not valid. */
export function decode(bytes: Uint8Array): unknown {
  return decoder.decode(bytes);
}

/** Encodes and compresses a value. */
export function compress(value: unknown): Uint8Array {
  return deflateRawSync(encode(value));
}

/** Decompresses and decodes the output of `compress`; throws if it is not valid. */
export function decompress(compressed: Uint8Array): unknown {
  return decode(inflateRawSync(compressed));
}
