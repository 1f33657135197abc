/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import fc from 'fast-check';

import type {FleetConfiguration, Route, Team} from '../../index';
import {
  applyChange,
  changeBetween,
  ConfigurationHistory,
  REPETITION,
} from '../../index';
import {configurationOf} from '../utils/FleetFixture';

const route = (at: number, timeoutMs: number): Route => ({
  anonymous: false,
  host: 'h',
  maxAttempts: 1,
  name: `r-${at}`,
  objectiveMs: 100,
  pathPrefix: `/${at}/`,
  priority: 0,
  repetition: REPETITION.never,
  streams: false,
  targets: [{service: 's', weight: 1}],
  timeoutMs,
});

const team = (at: number, prepaidTokens: number): Team => ({
  keys: [`k-${at}`],
  name: `t-${at}`,
  prepaidTokens,
  priority: 0,
});

const anyConfiguration = fc
  .record({
    routes: fc.dictionary(fc.constantFrom('1', '2', '3'), fc.nat(2)),
    teams: fc.option(fc.dictionary(fc.constantFrom('1', '2', '3'), fc.nat(2)), {
      nil: undefined,
    }),
    version: fc.nat(50),
  })
  .map(({routes, teams, version}): FleetConfiguration => {
    return {
      ...configurationOf(version),
      routes: Object.entries(routes).map(([at, ms]) => route(Number(at), ms)),
      teams:
        teams &&
        Object.entries(teams).map(([at, paid]) => team(Number(at), paid)),
    };
  });

describe('A change of a configuration', () => {
  test('carries allowed regions that come, change and go', () => {
    const lists = [undefined, ['east'], ['east', 'west'], ['west'], undefined];
    const versions = lists.map((allowedRegions, at): FleetConfiguration => ({
      ...configurationOf(at),
      routes: [{...route(1, 100), allowedRegions}, route(2, 100)],
      teams: [{...team(1, 9), allowedRegions}, team(2, 9)],
    }));
    let held = versions[0]!;
    for (const next of versions.slice(1)) {
      const change = changeBetween(held, next);
      expect(change.routes).toHaveLength(1);
      expect(change.teams).toHaveLength(1);
      const sent = JSON.parse(JSON.stringify(change)) as typeof change;
      held = applyChange(held, sent);
      expect(held.routes[0]?.allowedRegions).toEqual(
        next.routes[0]?.allowedRegions,
      );
      expect(held.teams?.[0]?.allowedRegions).toEqual(
        next.teams?.[0]?.allowedRegions,
      );
    }
  });

  test('leads from any configuration to any other', () => {
    fc.assert(
      fc.property(anyConfiguration, anyConfiguration, (base, next) => {
        const reached = applyChange(base, changeBetween(base, next));
        const byName = (found: FleetConfiguration) => ({
          ...found,
          routes: [...found.routes].sort((a, b) => (a.name < b.name ? -1 : 1)),
          teams: found.teams
            ? [...found.teams].sort((a, b) => (a.name < b.name ? -1 : 1))
            : undefined,
        });
        expect(byName(reached)).toEqual(byName(next));
      }),
      {seed: 7},
    );
  });

  test('holds only what differs', () => {
    const routes = Array.from({length: 500}, (_, at) => route(at, 100));
    const base = {...configurationOf(1), routes};
    const next = {
      ...configurationOf(2),
      routes: [...routes.slice(1), route(900, 1)],
    };
    const change = changeBetween(base, next);
    expect(change.routes).toEqual([route(900, 1)]);
    expect(change.removedRoutes).toEqual(['h /0/']);
  });
});

describe('The history of configurations', () => {
  test('knows the change from the versions before the newest', () => {
    const history = new ConfigurationHistory();
    for (const version of [1, 2, 3]) {
      history.add(configurationOf(version));
    }
    expect(history.changeSince(1)?.version).toBe(3);
    expect(history.changeSince(2)?.base).toBe(2);
    expect(history.changeSince(7)).toBeUndefined();
  });
});
