/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {checkConfiguration} from '../../index';
import {configurationOf, routeOf, teamOf} from '../utils/FleetFixture';

describe('checkConfiguration', () => {
  test('takes a sound configuration', () => {
    expect(checkConfiguration(configurationOf(1)).isOk()).toBe(true);
  });

  test.each([
    [
      'an unknown service',
      {routes: [routeOf({targets: [{service: 'x', weight: 1}]})]},
    ],
    [
      'two routes at one place',
      {routes: [routeOf(), routeOf({host: 'A.example'})]},
    ],
    [
      'weights of 0',
      {routes: [routeOf({targets: [{service: 's', weight: 0}]})]},
    ],
    ['no target', {routes: [routeOf({targets: []})]}],
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
    ['a time-out of 0', {routes: [routeOf({timeoutMs: 0})]}],
    ['a shared key', {teams: [teamOf(), teamOf({name: 'u'})]}],
    ['a team twice', {teams: [teamOf(), teamOf({keys: ['other']})]}],
  ])('refuses %s and says where', (_, fields) => {
    const checked = checkConfiguration(configurationOf(1, fields));
    expect(checked._unsafeUnwrapErr().kind).toBe('invalid-configuration');
    expect(checked._unsafeUnwrapErr().path).toMatch(/^(routes|teams)\.\d/);
  });
});
