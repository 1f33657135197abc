/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against requests that get the wrong route, service, team or regions. */
import type {Route} from 'puffinturn-fleet';
import {RETRY_POLICY} from 'puffinturn-fleet';

import {RouteTable} from '../../index';
import {makeConfiguration} from '../utils/EdgeFixture';

function route(name: string, pathPrefix: string, weights: number[]): Route {
  return {
    anonymous: name === 'open',
    host: 'Host.example',
    maxAttempts: 1,
    name,
    objectiveMs: 1,
    pathPrefix,
    priority: 0,
    repetition: RETRY_POLICY.never,
    streams: false,
    targets: weights.map((weight, at) => ({service: `s${at}`, weight})),
    timeoutMs: 1,
  };
}

const CONFIGURATION = makeConfiguration(1, {
  routes: [
    route('short', '/a/', [1]),
    route('long', '/a/b/', [1, 3]),
    route('open', '/o/', [1]),
  ],
  services: ['s0', 's1'].map((name) => ({
    engine: undefined,
    maxConnections: 1,
    name,
  })),
  teams: [{keys: ['k'], name: 't', prepaidTokens: 1, priority: 0}],
});

describe('RouteTable', () => {
  const table = new RouteTable(CONFIGURATION);

  test('finds the longest prefix and ignores the case of the host', () => {
    expect(table.findRoute('host.EXAMPLE', '/a/b/c')?.name).toBe('long');
    expect(table.findRoute('host.example', '/a/bc')?.name).toBe('short');
    expect(table.findRoute('host.example', '/b/')).toBeUndefined();
    expect(table.findRoute('other.example', '/a/')).toBeUndefined();
  });

  test('selects a service by weight', () => {
    const long = table.findRoute('host.example', '/a/b/');
    expect(long && table.pickService(long, 0)?.name).toBe('s0');
    expect(long && table.pickService(long, 0.24)?.name).toBe('s0');
    expect(long && table.pickService(long, 0.26)?.name).toBe('s1');
    expect(long && table.pickService(long, 0.999)?.name).toBe('s1');
  });

  test('returns the regions that the current route and team both allow', () => {
    const [short] = CONFIGURATION.routes;
    const [team] = CONFIGURATION.teams ?? [];
    const allowedBy = (routeRegions?: string[], teamRegions?: string[]) =>
      new RouteTable({
        ...CONFIGURATION,
        routes: [{...short!, allowedRegions: routeRegions}],
        teams: [{...team!, allowedRegions: teamRegions}],
      }).findAllowedRegions(short!, team);
    expect(allowedBy()).toBeUndefined();
    expect(allowedBy(['east'])).toEqual(['east']);
    expect(allowedBy(undefined, ['west'])).toEqual(['west']);
    expect(allowedBy(['east', 'west'], ['west'])).toEqual(['west']);
    expect(allowedBy(['east'], ['west'])).toEqual([]);
    const emptyTable = new RouteTable(makeConfiguration(2));
    expect(emptyTable.findAllowedRegions(short!, team)).toBeUndefined();
  });

  test('requires a key except on anonymous routes', () => {
    const short = table.findRoute('host.example', '/a/');
    const open = table.findRoute('host.example', '/o/');
    expect(short && table.requiresKey(short)).toBe(true);
    expect(open && table.requiresKey(open)).toBe(false);
    expect(table.findTeam('k')?.name).toBe('t');
    expect(table.findTeam('x')).toBeUndefined();
    expect(table.findTeam(undefined)).toBeUndefined();
  });

  test('recognizes the least urgent of several priorities of routes to engines', () => {
    const engine = {
      copyMsPerToken: undefined,
      memoryTokens: 1,
      slots: 1,
      tokensPerEvent: 1,
    };
    const engineRoute = (priority: number) => ({
      ...route(`rank ${priority}`, `/${priority}/`, [1]),
      priority,
    });
    // Service s1 has no engine, so this priority is ignored.
    const plain = {...route('plain', '/p/', [0, 1]), priority: 7};
    const createTable = (...ranks: number[]) =>
      new RouteTable(
        makeConfiguration(1, {
          routes: [...ranks.map(engineRoute), plain],
          services: [
            {engine, maxConnections: 1, name: 's0'},
            {engine: undefined, maxConnections: 1, name: 's1'},
          ],
        }),
      );
    const threeRanks = createTable(0, 1, 2);
    const isLeastUrgent = [0, 1, 2].map((rank) =>
      threeRanks.isLeastUrgent(engineRoute(rank)),
    );
    expect(isLeastUrgent).toEqual([false, false, true]);
    expect(createTable(1, 1).isLeastUrgent(engineRoute(1))).toBe(false);
  });
});
