/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against requests that are allowed by the wrong rule or by a rule that fails, and
 * against expressions without a bound on their cost.
 */
import fc from 'fast-check';
import type {Declaration} from 'puffinturn-settings';

import type {PolicyRequest} from '../../index';
import {checkPolicy, PolicySet} from '../../index';

const REQUEST: PolicyRequest = {
  body: {order: 'A-1', urgent: true},
  headers: {'x-shift': 'morning'},
  key: '',
  maxTokens: 100,
  method: 'POST',
  model: '',
  path: '/orders',
  promptTokens: 0,
  service: 'orders',
  team: 'dock',
};

function policy(rules: readonly object[], name = 'p', order = 100) {
  const defaults = {
    deadlineMs: 1_000,
    hedge: false,
    priority: 5,
    repeat: 'allowed',
  };
  return {
    kind: 'policy',
    name,
    number: 1,
    scope: 'global',
    spec: {order, rules: rules.map((rule) => ({...defaults, ...rule}))},
  } as Declaration;
}

const ALLOW = {
  action: 'allow',
  budget: "'b'",
  name: 'orders',
  pool: 'orders',
  when: "request.service == 'orders'",
};

function decide(declarations: Declaration[], request = REQUEST) {
  return PolicySet.compile(declarations)
    ._unsafeUnwrap()
    .decide(request, new Map([['b', 5n]]), new Date(0));
}

describe('PolicySet', () => {
  test('applies the first matching rule in the order of the policies', () => {
    const refuse = {
      action: 'refuse',
      name: 'late',
      reason: 'the shift is over',
      when: 'request.team == "dock"',
    };
    const first = decide([policy([ALLOW], 'a', 1), policy([refuse], 'b', 2)]);
    const second = decide([policy([ALLOW], 'a', 2), policy([refuse], 'b', 1)]);
    expect(first._unsafeUnwrap().rule).toBe('a/orders');
    expect(second._unsafeUnwrapErr().kind).toBe('refused');
  });

  test('gives expressions the body, headers, budgets and time', () => {
    const when =
      'request.body.urgent && request.headers["x-shift"] == "morning" && budget["b"] > 4 && time.getFullYear() == 1970';
    const decision = decide([
      policy([{...ALLOW, key: 'request.body.order', repeat: 'never', when}]),
    ])._unsafeUnwrap();
    expect(decision).toMatchObject({key: 'A-1', runsAtMostOnce: true});
  });

  test('refuses a request that matches no rule', () => {
    const decision = decide([policy([ALLOW])], {...REQUEST, service: 'x'});
    expect(decision._unsafeUnwrapErr().kind).toBe('no-rule');
  });

  test('refuses a request if a rule fails on it', () => {
    const rule = {...ALLOW, when: 'request.body.missing == "x"'};
    const decision = decide([policy([rule])]);
    expect(decision._unsafeUnwrapErr().kind).toBe('evaluation-failed');
  });

  test('reports the file, path and column of a problem', () => {
    const rule = {
      ...ALLOW,
      budget: 'request.promptTokens',
      when: 'request.unknown',
    };
    const problems = checkPolicy(policy([rule]), 'p.json');
    expect(problems.map(({file, path}) => [file, path])).toEqual([
      ['p.json', '/spec/rules/0/when'],
      ['p.json', '/spec/rules/0/budget'],
    ]);
    expect(problems[0]?.found).toContain('column 9');
  });

  test('rejects expressions with too many nodes or comprehensions', () => {
    const long = Array.from({length: 400}, () => 'true').join(' && ');
    const nested =
      'request.body.a.all(x, request.body.b.all(y, request.body.c.all(z, true)))';
    for (const when of [long, nested]) {
      expect(checkPolicy(policy([{...ALLOW, when}]), 'f')).toHaveLength(1);
    }
  });

  test('returns a decision or a typed failure for any body', () => {
    const rule = {...ALLOW, key: 'request.body.order'};
    const policies = [policy([rule])];
    fc.assert(
      fc.property(fc.jsonValue(), (body) => {
        const decision = decide(policies, {...REQUEST, body});
        expect(decision.isOk() || decision.error.kind !== undefined).toBe(true);
      }),
      {seed: 1},
    );
  });
});
