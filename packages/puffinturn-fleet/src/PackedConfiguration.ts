/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Configurations as control boxes send and keep them: compressed, since one of
 * a thousand routes takes some hundred kilobytes as text and again as a model,
 * and crosses to every other control box.
 */
import {deflateRawSync, inflateRawSync} from 'node:zlib';

import {Decoder, Encoder} from 'cbor-x';

import type {StoredConfiguration} from './ConfigurationRegister';

const encoder = new Encoder({useRecords: false});
const decoder = new Decoder({useRecords: false});

/** Compresses a configuration with its document. */
export function packConfiguration(stored: StoredConfiguration): Uint8Array {
  return deflateRawSync(encoder.encode(stored));
}

/** The configuration that `packConfiguration` was given. */
export function unpackConfiguration(packed: Uint8Array): StoredConfiguration {
  const bytes = inflateRawSync(packed);
  return decoder.decode(bytes) as StoredConfiguration;
}
