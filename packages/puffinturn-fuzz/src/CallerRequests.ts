/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Requests of the fuzzed team, as the HTTP side would hand them on. */
import type {CallerRequest} from 'puffinturn-gateway';
import {validateCompletion} from 'puffinturn-gateway';
import type {BoxMember} from 'puffinturn-membership';

import {MODEL, SERVICE, TEAM_KEY} from './FuzzDeclarations';
import type {RequestKind} from './Step';
import {REQUEST_KIND} from './Step';

const PATHS: Readonly<Record<RequestKind, string>> = {
  marked: '/place',
  stream: '/v1/chat/completions',
  unkeyed: '/look-up',
};

/** A request by name; undefined while the box does not know the team. */
export function callerRequest(
  {config}: BoxMember,
  kind: RequestKind,
  name: string,
): CallerRequest | undefined {
  const team = config.teamOf(TEAM_KEY);
  if (team === undefined) {
    return undefined;
  }
  const streams = kind === REQUEST_KIND.stream;
  const json = streams
    ? {
        max_tokens: 10,
        messages: [{content: name, role: 'user'}],
        model: MODEL,
        stream: true,
      }
    : {order: name};
  const completion = streams ? validateCompletion(json, 'chat') : undefined;
  return {
    body: Buffer.from(JSON.stringify(json)),
    completion: completion?.unwrapOr(undefined as never),
    headers: {'content-type': 'application/json'},
    json,
    key: streams ? name : '',
    method: 'POST',
    path: PATHS[kind],
    service: streams ? '' : SERVICE,
    team,
  };
}
