/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Compression of configurations for the replicated log. A configuration with a thousand
 * routes takes hundreds of kilobytes uncompressed.
 */
import {compress, decompress} from './Compression';
import type {StoredConfiguration} from './ConfigurationRegistry';

/** Encodes and compresses a configuration with its document. */
export function packConfiguration(stored: StoredConfiguration): Uint8Array {
  return compress(stored);
}

/** Decompresses and decodes the output of `packConfiguration`. */
export function unpackConfiguration(packed: Uint8Array): StoredConfiguration {
  return decompress(packed) as StoredConfiguration;
}
