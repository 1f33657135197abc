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
  ConfigurationHistory,
  diffConfigurations,
  digestOf,
  RETRY_POLICY,
} from '../../index';
import {configurationOf} from '../utils/FleetFixture';

const createRoute = (index: number, timeoutMs: number): Route => ({
  anonymous: false,
  host: 'h',
  maxAttempts: 1,
  name: `r-${index}`,
  objectiveMs: 100,
  pathPrefix: `/${index}/`,
  priority: 0,
  repetition: RETRY_POLICY.never,
  streams: false,
  targets: [{service: 's', weight: 1}],
  timeoutMs,
});

const createTeam = (index: number, prepaidTokens: number): Team => ({
  keys: [`k-${index}`],
  name: `t-${index}`,
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
      routes: Object.entries(routes).map(([index, timeoutMs]) =>
        createRoute(Number(index), timeoutMs),
      ),
      teams:
        teams &&
        Object.entries(teams).map(([index, tokens]) =>
          createTeam(Number(index), tokens),
        ),
    };
  });

// A box that applies a change must end with exactly the new configuration.
describe('Configuration changes', () => {
  test('include allowed regions that are added, changed or removed', () => {
    const lists = [undefined, ['east'], ['east', 'west'], ['west'], undefined];
    const versions = lists.map(
      (allowedRegions, version): FleetConfiguration => ({
        ...configurationOf(version),
        routes: [{...createRoute(1, 100), allowedRegions}, createRoute(2, 100)],
        teams: [{...createTeam(1, 9), allowedRegions}, createTeam(2, 9)],
      }),
    );
    let current = versions[0]!;
    for (const next of versions.slice(1)) {
      const change = diffConfigurations(current, next);
      expect(change.routes).toHaveLength(1);
      expect(change.teams).toHaveLength(1);
      const sent = JSON.parse(JSON.stringify(change)) as typeof change;
      current = applyChange(current, sent);
      expect(current.routes[0]?.allowedRegions).toEqual(
        next.routes[0]?.allowedRegions,
      );
      expect(current.teams?.[0]?.allowedRegions).toEqual(
        next.teams?.[0]?.allowedRegions,
      );
    }
  });

  test('convert any configuration into any other', () => {
    fc.assert(
      fc.property(anyConfiguration, anyConfiguration, (base, next) => {
        const result = applyChange(base, diffConfigurations(base, next));
        const sortByName = (config: FleetConfiguration) => ({
          ...config,
          routes: [...config.routes].sort((a, b) => (a.name < b.name ? -1 : 1)),
          teams: config.teams
            ? [...config.teams].sort((a, b) => (a.name < b.name ? -1 : 1))
            : undefined,
        });
        expect(sortByName(result)).toEqual(sortByName(next));
        expect(digestOf(result)).toBe(digestOf(next));
      }),
      {seed: 7},
    );
  });

  test('carry a digest that differs for other content', () => {
    const base = {...configurationOf(1), routes: [createRoute(1, 100)]};
    const contents: FleetConfiguration[] = [
      base,
      {...base, routes: []},
      {...base, routes: [createRoute(1, 200)]},
      {...base, services: []},
      {...base, teams: [createTeam(1, 9)]},
      {...base, limits: {...base.limits, maxBodyBytes: 1}},
    ];
    expect(new Set(contents.map(digestOf)).size).toBe(contents.length);
    expect(digestOf({...base, version: 2})).toBe(digestOf(base));
    expect(diffConfigurations(base, contents[2]!).digest).toBe(
      digestOf(contents[2]!),
    );
  });

  test('contain only the differences', () => {
    const routes = Array.from({length: 500}, (_, index) =>
      createRoute(index, 100),
    );
    const base = {...configurationOf(1), routes};
    const next = {
      ...configurationOf(2),
      routes: [...routes.slice(1), createRoute(900, 1)],
    };
    const change = diffConfigurations(base, next);
    expect(change.routes).toEqual([createRoute(900, 1)]);
    expect(change.removedRoutes).toEqual(['h /0/']);
  });
});

// A box with a recent configuration must be sent the change, not the whole document.
describe('ConfigurationHistory', () => {
  test('returns the change from a previous version to the latest', () => {
    const history = new ConfigurationHistory();
    for (const version of [1, 2, 3]) {
      history.add(configurationOf(version));
    }
    expect(history.changeSince(1)?.version).toBe(3);
    expect(history.changeSince(2)?.base).toBe(2);
    expect(history.changeSince(7)).toBeUndefined();
  });
});
