/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Responses of upstreams without a connection. */
import {Socket} from 'node:net';

import {UpstreamResponse} from '../../connections/UpstreamResponse';

/** Creates a response; adds its calls of pause and resume to `calls`. */
export function createUpstreamResponse(calls: string[] = []): UpstreamResponse {
  return new UpstreamResponse(
    {
      hasValidStatusLine: true,
      keepAlive: true,
      rawHeaders: [],
      statusCode: 200,
    },
    'GET',
    {
      pause: () => calls.push('pause'),
      resume: () => calls.push('resume'),
      socket: new Socket(),
    },
  );
}
