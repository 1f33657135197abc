/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Computes request fingerprints. A retried request may have a new id and may arrive at
 * another box, but its target, caller and body are the same.
 */
import {hash} from 'node:crypto';

/** The parts of a request that identify it. */
export interface RequestContent {
  readonly method: string;
  /** The requested host name, as sent by the caller. */
  readonly host: string;
  /** Path and query string. */
  readonly path: string;
  /** The team, or another identifier of the caller. */
  readonly caller: string;
  readonly body: Uint8Array;
}

/** Length in hexadecimal characters: 128 bits make collisions negligible. */
const FINGERPRINT_LENGTH = 32;

/** Returns the fingerprint of a request; equal in all processes. */
export function fingerprintOf(content: RequestContent): string {
  const {body, caller, host, method, path} = content;
  const bodyHash = body.length === 0 ? '' : hash('sha256', body);
  const text = JSON.stringify([method, host, path, caller, bodyHash]);
  return hash('sha256', text).slice(0, FINGERPRINT_LENGTH);
}
