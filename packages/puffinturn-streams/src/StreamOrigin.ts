/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Which upstreams may continue a stream: those that run what began it. */
import {createHash} from 'node:crypto';

/** The service and the software version that wrote the first event of a stream. */
export interface StreamOrigin {
  readonly service: string;
  /** Software version of the upstream. */
  readonly version: string;
  /**
   * Number of the attempt within its request. A later attempt replaces the origin of an
   * earlier one that brought no event.
   */
  readonly attempt: number;
}

/** An origin with the key of its stream. */
export interface KeyedOrigin extends StreamOrigin {
  readonly key: string;
}

/** Length of a stream key, in characters; 132 bits. */
const KEY_LENGTH = 22;

/**
 * Computes the key of a stream from the ID of the request that began it. The team is part
 * of it, so that a team can't reach the streams of another one by an ID.
 */
export function streamKey(team: string | undefined, requestId: string): string {
  return createHash('sha256')
    .update(`${team ?? ''}\n${requestId}`)
    .digest('base64url')
    .slice(0, KEY_LENGTH);
}
