/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {checkConfiguration} from '../../index';
import {configurationOf, routeOf, teamOf} from '../utils/FleetFixture';

// An invalid configuration must be rejected before it becomes active.
describe('checkConfiguration', () => {
  test('accepts a valid configuration', () => {
    expect(checkConfiguration(configurationOf(1)).isOk()).toBe(true);
  });

  test.each([
    [
      'an unknown service',
      {routes: [routeOf({targets: [{service: 'x', weight: 1}]})]},
    ],
    [
      'two routes with the same host and path prefix',
      {routes: [routeOf(), routeOf({host: 'A.example'})]},
    ],
    [
      'a target weight of 0',
      {routes: [routeOf({targets: [{service: 's', weight: 0}]})]},
    ],
    ['a route without targets', {routes: [routeOf({targets: []})]}],
    [
      'a negative weight',
      {
        routes: [
          routeOf({
            targets: [
              {service: 's', weight: 2},
              {service: 's', weight: -1},
            ],
          }),
        ],
      },
    ],
    ['a timeout of 0', {routes: [routeOf({timeoutMs: 0})]}],
    ['an API key used by two teams', {teams: [teamOf(), teamOf({name: 'u'})]}],
    [
      'two teams with the same name',
      {teams: [teamOf(), teamOf({keys: ['other']})]},
    ],
  ])('rejects %s and reports its path', (_, fields) => {
    const checked = checkConfiguration(configurationOf(1, fields));
    expect(checked._unsafeUnwrapErr().kind).toBe('invalid-configuration');
    expect(checked._unsafeUnwrapErr().path).toMatch(/^(routes|teams)\.\d/);
  });
});
