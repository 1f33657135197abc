/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Tells which requests are the same. A request that is sent again has a new id and
 * may meet another box; what it asks for, who asks and its body stay.
 */
import {hash} from 'node:crypto';

/** What makes two requests the same. */
export interface RequestContent {
  readonly method: string;
  /** The name of the host that was asked for, as the caller sent it. */
  readonly host: string;
  /** Path and query. */
  readonly path: string;
  /** The team, or what else names the caller. */
  readonly caller: string;
  readonly body: Uint8Array;
}

/** Characters of a fingerprint: 128 bits, so that no two requests share one. */
const FINGERPRINT_LENGTH = 32;

/** The same for the same request in every process. */
export function fingerprintOf(content: RequestContent): string {
  const {body, caller, host, method, path} = content;
  const ofBody = body.length === 0 ? '' : hash('sha256', body);
  const text = JSON.stringify([method, host, path, caller, ofBody]);
  return hash('sha256', text).slice(0, FINGERPRINT_LENGTH);
}
