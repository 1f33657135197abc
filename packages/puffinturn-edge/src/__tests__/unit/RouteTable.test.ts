/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {Route} from 'puffinturn-fleet';
import {REPETITION} from 'puffinturn-fleet';

import {RouteTable} from '../../index';
import {configurationOf} from '../utils/EdgeFixture';

function route(name: string, pathPrefix: string, weights: number[]): Route {
  return {
    anonymous: name === 'open',
    host: 'Host.example',
    maxAttempts: 1,
    name,
    objectiveMs: 1,
    pathPrefix,
    priority: 0,
    repetition: REPETITION.never,
    streams: false,
    targets: weights.map((weight, at) => ({service: `s${at}`, weight})),
    timeoutMs: 1,
  };
}

const CONFIGURATION = configurationOf(1, {
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

  test('takes the longest prefix, whatever the case of the host', () => {
    expect(table.find('host.EXAMPLE', '/a/b/c')?.name).toBe('long');
    expect(table.find('host.example', '/a/bc')?.name).toBe('short');
    expect(table.find('host.example', '/b/')).toBeUndefined();
    expect(table.find('other.example', '/a/')).toBeUndefined();
  });

  test('draws a service by weight', () => {
    const long = table.find('host.example', '/a/b/');
    expect(long && table.serviceFor(long, 0)?.name).toBe('s0');
    expect(long && table.serviceFor(long, 0.24)?.name).toBe('s0');
    expect(long && table.serviceFor(long, 0.26)?.name).toBe('s1');
    expect(long && table.serviceFor(long, 0.999)?.name).toBe('s1');
  });

  test('allows a route and a team of another version what both may now', () => {
    const [short] = CONFIGURATION.routes;
    const [team] = CONFIGURATION.teams ?? [];
    const allowedBy = (ofRoute?: string[], ofTeam?: string[]) =>
      new RouteTable({
        ...CONFIGURATION,
        routes: [{...short!, allowedRegions: ofRoute}],
        teams: [{...team!, allowedRegions: ofTeam}],
      }).allowedRegions(short!, team);
    expect(allowedBy()).toBeUndefined();
    expect(allowedBy(['east'])).toEqual(['east']);
    expect(allowedBy(undefined, ['west'])).toEqual(['west']);
    expect(allowedBy(['east', 'west'], ['west'])).toEqual(['west']);
    expect(allowedBy(['east'], ['west'])).toEqual([]);
    const gone = new RouteTable(configurationOf(2));
    expect(gone.allowedRegions(short!, team)).toBeUndefined();
  });

  test('wants a key but on open routes', () => {
    const short = table.find('host.example', '/a/');
    const open = table.find('host.example', '/o/');
    expect(short && table.needsKey(short)).toBe(true);
    expect(open && table.needsKey(open)).toBe(false);
    expect(table.teamOf('k')?.name).toBe('t');
    expect(table.teamOf('x')).toBeUndefined();
    expect(table.teamOf(undefined)).toBeUndefined();
  });

  test('lets the least urgent requests to engines give way, if others are there', () => {
    const engine = {
      copyMsPerToken: undefined,
      memoryTokens: 1,
      slots: 1,
      tokensPerEvent: 1,
    };
    const toEngine = (priority: number) => ({
      ...route(`rank ${priority}`, `/${priority}/`, [1]),
      priority,
    });
    // Service s1 is no engine: its rank does not count.
    const plain = {...route('plain', '/p/', [0, 1]), priority: 7};
    const tableOf = (...ranks: number[]) =>
      new RouteTable(
        configurationOf(1, {
          routes: [...ranks.map(toEngine), plain],
          services: [
            {engine, maxConnections: 1, name: 's0'},
            {engine: undefined, maxConnections: 1, name: 's1'},
          ],
        }),
      );
    const mixed = tableOf(0, 1, 2);
    const isLeastUrgent = [0, 1, 2].map((rank) =>
      mixed.isLeastUrgent(toEngine(rank)),
    );
    expect(isLeastUrgent).toEqual([false, false, true]);
    expect(tableOf(1, 1).isLeastUrgent(toEngine(1))).toBe(false);
  });
});
