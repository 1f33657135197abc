/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The declarations that every run starts with. */
import type {Declaration} from 'puffinturn-settings';
import {checkValue, DeclarationSchema} from 'puffinturn-settings';
import {digestBytes, invariant} from 'shared';

import {ENGINE_URLS, SERVICE_URLS} from './Step';

/** The bearer key of the only team. */
export const TEAM_KEY = 'fuzz-team-key';
/** The team's name. */
export const TEAM = 'team-1';
/** The budget that all requests draw on; its home is the first region. */
export const BUDGET = 'budget-1';
/** The plain service. */
export const SERVICE = 'orders';
/** The pool of engines. */
export const POOL = 'engines';
/** The only model. */
export const MODEL = 'model-1';
/** Small, so that runs reach its end. */
export const FIRST_LIMIT = 400;
/** The service's first price for a call. */
export const FIRST_PRICE = 20;

function declaration(value: unknown): Declaration {
  const checked = checkValue(DeclarationSchema, value, 'fuzz');
  invariant(checked.isOk(), 'the fuzzed declarations must be valid');
  return checked.value;
}

/** The budget with a limit. */
export function budget(number: number, limit: number): Declaration {
  const spec = {home: 'north', limit, team: TEAM};
  return declaration({kind: 'budget', name: BUDGET, number, spec});
}

/** The service with a price that tells which change was in force. */
export function service(number: number, callPrice: number): Declaration {
  const upstreams = SERVICE_URLS.map((url, at) => ({
    hall: 'hall-1',
    name: `service-${at + 1}`,
    slots: 8,
    url,
  }));
  const spec = {callPrice, upstreams};
  return declaration({kind: 'service', name: SERVICE, number, spec});
}

/** A drain of the first upstream of the service. */
export function drainFirst(number: number, on: boolean): Declaration {
  const spec = {on, target: {pool: SERVICE, upstream: 'service-1'}};
  return declaration({kind: 'drain', name: 'first', number, spec});
}

/** Everything that does not change in a run. */
export function firstDeclarations(limit = FIRST_LIMIT): Declaration[] {
  const sha256 = digestBytes(TEAM_KEY);
  const upstreams = ENGINE_URLS.map((url, at) => ({
    hall: 'hall-1',
    name: `engine-${at + 1}`,
    slots: 4,
    url,
  }));
  const rule = {action: 'allow', budget: `'${BUDGET}'`, deadlineMs: 5_000};
  return [
    declaration({
      kind: 'team',
      name: TEAM,
      number: 1,
      spec: {keys: [{name: 'k', sha256}]},
    }),
    budget(1, limit),
    service(1, FIRST_PRICE),
    declaration({
      kind: 'pool',
      name: POOL,
      number: 1,
      spec: {
        models: [MODEL],
        price: {completion: 2, prompt: 0},
        upstreams,
      },
    }),
    declaration({
      kind: 'policy',
      name: 'all',
      number: 1,
      spec: {
        rules: [
          {
            ...rule,
            key: 'request.body.order',
            name: 'orders',
            pool: SERVICE,
            repeat: 'never',
            when: `request.service == '${SERVICE}' && request.path == '/place'`,
          },
          {
            ...rule,
            name: 'lookups',
            pool: SERVICE,
            when: `request.service == '${SERVICE}'`,
          },
          {
            ...rule,
            name: 'models',
            pool: POOL,
            when: `request.model == '${MODEL}'`,
          },
        ],
      },
    }),
  ];
}
