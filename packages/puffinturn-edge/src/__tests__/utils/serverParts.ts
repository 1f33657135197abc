/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Parts of servers whose limits no test meets by chance. */
import type {IncomingMessage} from 'node:http';

import type {BoundedServerParts} from 'puffinturn-server';
import {
  BodyBudget,
  deriveServerLimits,
  FORWARDING_SHARES,
  RequestBody,
} from 'puffinturn-server';
import type {Clock} from 'shared';
import {SystemClock} from 'shared';

/** Creates the parts of a server on a machine of the usual size. */
export function makeServerParts(clock: Clock): BoundedServerParts {
  return {
    clock,
    limits: deriveServerLimits(
      {descriptors: 4_096, memoryMb: 350},
      FORWARDING_SHARES,
    ),
    observer: {onLimit: () => undefined, onReport: () => undefined},
  };
}

/** Collects the body of a request to a server without limits. */
export function collectBody(incoming: IncomingMessage): RequestBody {
  const clock = new SystemClock();
  return RequestBody.collect(incoming, {
    budget: new BodyBudget(clock, Infinity),
    clock,
    onEvicted: () => undefined,
    onSuspended: () => undefined,
  });
}
