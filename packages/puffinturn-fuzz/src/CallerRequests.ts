/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Builds caller requests in the form that the HTTP server passes to the gateway. */
import type {CallerRequest} from 'puffinturn-gateway';
import {validateCompletion} from 'puffinturn-gateway';
import type {BoxMember} from 'puffinturn-membership';

import {MODEL_NAME, SERVICE_NAME, TEAM_KEY} from './FuzzDeclarations';
import type {RequestKind} from './Step';
import {REQUEST_KIND} from './Step';

const PATHS: Readonly<Record<RequestKind, string>> = {
  marked: '/place',
  stream: '/v1/chat/completions',
  unkeyed: '/look-up',
};

/** Creates a request by name; undefined while the box has no configuration of the team. */
export function createCallerRequest(
  {config}: BoxMember,
  kind: RequestKind,
  name: string,
): CallerRequest | undefined {
  const team = config.findTeamByKey(TEAM_KEY);
  if (team === undefined) {
    return undefined;
  }
  const isStream = kind === REQUEST_KIND.stream;
  const json = isStream
    ? {
        max_tokens: 10,
        messages: [{content: name, role: 'user'}],
        model: MODEL_NAME,
        stream: true,
      }
    : {order: name};
  const completion = isStream ? validateCompletion(json, 'chat') : undefined;
  return {
    body: Buffer.from(JSON.stringify(json)),
    completion: completion?.unwrapOr(undefined as never),
    headers: {'content-type': 'application/json'},
    json,
    key: isStream ? name : '',
    method: 'POST',
    path: PATHS[kind],
    service: isStream ? '' : SERVICE_NAME,
    team,
  };
}
