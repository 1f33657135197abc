/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The configuration that every run starts with, and the changes that steps make to it. */
import type {Declaration} from 'puffinturn-settings';
import {DeclarationSchema, validateValue} from 'puffinturn-settings';
import {digestBytes, invariant} from 'shared';

import {ENGINE_URLS, SERVICE_URLS} from './Step';

/** The bearer token of the only team. */
export const TEAM_KEY = 'fuzz-team-key';
export const TEAM_NAME = 'team-1';
/** The budget that all requests are charged to; its home is the first region. */
export const BUDGET_NAME = 'budget-1';
export const SERVICE_NAME = 'orders';
export const POOL_NAME = 'engines';
export const MODEL_NAME = 'model-1';
/** Initial budget limit, units; small enough for runs to exhaust it. */
export const INITIAL_LIMIT = 400;
/** Initial price of a call to the service, units. */
export const INITIAL_CALL_PRICE = 20;

function parseDeclaration(value: unknown): Declaration {
  const parsed = validateValue(DeclarationSchema, value, 'fuzz');
  invariant(parsed.isOk(), `invalid declaration: ${JSON.stringify(value)}`);
  return parsed.value;
}

/** Declares the budget with a limit, units. */
export function budgetDeclaration(number: number, limit: number): Declaration {
  const spec = {home: 'north', limit, team: TEAM_NAME};
  return parseDeclaration({kind: 'budget', name: BUDGET_NAME, number, spec});
}

/** Declares the service; its price shows which change a request was billed under. */
export function serviceDeclaration(
  number: number,
  callPrice: number,
): Declaration {
  const upstreams = SERVICE_URLS.map((url, index) => ({
    hall: 'hall-1',
    name: `service-${index + 1}`,
    slots: 8,
    url,
  }));
  const spec = {callPrice, upstreams};
  return parseDeclaration({kind: 'service', name: SERVICE_NAME, number, spec});
}

/** Starts or ends the drain of the first upstream of the service. */
export function drainDeclaration(number: number, on: boolean): Declaration {
  const spec = {on, target: {pool: SERVICE_NAME, upstream: 'service-1'}};
  return parseDeclaration({kind: 'drain', name: 'first', number, spec});
}

/** The initial declarations of a run. */
export function initialDeclarations(limit = INITIAL_LIMIT): Declaration[] {
  const sha256 = digestBytes(TEAM_KEY);
  const upstreams = ENGINE_URLS.map((url, index) => ({
    hall: 'hall-1',
    name: `engine-${index + 1}`,
    slots: 4,
    url,
  }));
  const rule = {action: 'allow', budget: `'${BUDGET_NAME}'`, deadlineMs: 5_000};
  return [
    parseDeclaration({
      kind: 'team',
      name: TEAM_NAME,
      number: 1,
      spec: {keys: [{name: 'k', sha256}]},
    }),
    budgetDeclaration(1, limit),
    serviceDeclaration(1, INITIAL_CALL_PRICE),
    parseDeclaration({
      kind: 'pool',
      name: POOL_NAME,
      number: 1,
      spec: {
        models: [MODEL_NAME],
        price: {completion: 2, prompt: 0},
        upstreams,
      },
    }),
    parseDeclaration({
      kind: 'policy',
      name: 'all',
      number: 1,
      spec: {
        rules: [
          {
            ...rule,
            key: 'request.body.order',
            name: 'orders',
            pool: SERVICE_NAME,
            repeat: 'never',
            when: `request.service == '${SERVICE_NAME}' && request.path == '/place'`,
          },
          {
            ...rule,
            name: 'lookups',
            pool: SERVICE_NAME,
            when: `request.service == '${SERVICE_NAME}'`,
          },
          {
            ...rule,
            name: 'models',
            pool: POOL_NAME,
            when: `request.model == '${MODEL_NAME}'`,
          },
        ],
      },
    }),
  ];
}
