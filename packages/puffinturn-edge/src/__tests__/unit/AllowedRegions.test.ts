/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {RegionEdge, routeAllowedIn, teamAllowedIn} from '../utils/RegionEdge';

const PROMPT = [
  {id: 'aa', tokens: 5_000},
  {id: 'bb', tokens: 1_000},
];

const ALL_UPSTREAMS = ['e1-a', 'e2-a', 'e2-b', 'w1-a', 'w2-a', 'w2-b'];

function edgeWith(ids: readonly string[]): RegionEdge {
  const edge = new RegionEdge();
  for (const id of ids) {
    edge.addUpstream(id);
  }
  return edge;
}

// Guards against requests and prompts that leave the regions where they are allowed.
describe('Allowed regions', () => {
  test('limit requests to upstreams in these regions', () => {
    const edge = edgeWith(ALL_UPSTREAMS);
    const plan = edge.createPlan({allowedRegions: ['west']});
    expect([...edge.selectedIds(plan, 60)].sort()).toEqual([
      'w1-a',
      'w2-a',
      'w2-b',
    ]);
  });

  test('apply even if the allowed upstreams are busy or have failed', () => {
    const edge = edgeWith(ALL_UPSTREAMS);
    edge.upstream('e1-a').responseTime.recordDuration(5_000);
    edge.upstream('e2-a').recordConnectFailure();
    edge.upstream('e2-b').recordConnectFailure();
    const plan = edge.createPlan({allowedRegions: ['east']});
    expect(edge.selectedIds(plan, 60)).toEqual(new Set(['e1-a']));
  });

  test('apply to retries', () => {
    const edge = edgeWith(ALL_UPSTREAMS);
    const plan = edge.createPlan({allowedRegions: ['east']});
    const tried = [edge.upstream('e1-a')];
    expect(['e2-a', 'e2-b']).toContain(edge.select(plan, tried)?.upstream.id);
    tried.push(edge.upstream('e2-a'), edge.upstream('e2-b'));
    expect(edge.select(plan, tried)).toBeUndefined();
  });

  test('apply to the source of a prompt copy', () => {
    const edge = edgeWith(ALL_UPSTREAMS);
    for (const id of ['e1-a', 'e2-a', 'e2-b']) {
      edge.upstream(id).cachedPrefixes.recordPrompt(PROMPT);
      edge.upstream(id).pendingTokens = 50_000;
    }
    const plan = edge.createEnginePlan(PROMPT, {allowedRegions: ['west']});
    const placement = edge.select(plan);
    expect(placement?.upstream.record.hall.startsWith('w')).toBe(true);
    expect(placement?.prefixSource?.record.hall.startsWith('e')).not.toBe(true);
  });

  test('apply in a fleet with one region or without regions', () => {
    const regionMaps: Record<string, string>[] = [{}, {e1: 'east', e2: 'east'}];
    for (const regionByHall of regionMaps) {
      const edge = new RegionEdge({regionByHall});
      edge.addUpstream('e1-a');
      expect(
        edge.select(edge.createPlan({allowedRegions: ['west']})),
      ).toBeUndefined();
    }
    const edge = new RegionEdge({regionByHall: {e1: 'east', e2: 'east'}});
    edge.addUpstream('e1-a');
    const plan = edge.createPlan({allowedRegions: ['east']});
    expect(edge.select(plan)?.upstream.id).toBe('e1-a');
  });

  test('cause a rejection distinct from that for missing upstreams', () => {
    const edge = edgeWith(['w1-a']);
    const restricted = edge.createPlan({allowedRegions: ['east']});
    expect(edge.rejection(restricted)).toEqual({
      cause: 'no-upstream-in-region',
      retryAfterS: 1,
    });
    edge.addUpstream('e1-a');
    expect(edge.rejection(restricted)).toEqual({
      cause: 'no-upstream-in-region',
      retryAfterS: 0.3,
    });
    expect(edge.rejection(edge.createPlan())).toEqual({
      cause: 'no-upstream',
      retryAfterS: 0.3,
    });
  });

  test('removed by a newer configuration apply to requests in flight', () => {
    const edge = edgeWith(ALL_UPSTREAMS);
    const plan = edge.createPlan({
      route: routeAllowedIn(),
      team: teamAllowedIn(),
    });
    edge.newestAllowedRegions = ['west'];
    expect([...edge.selectedIds(plan, 60)].sort()).toEqual([
      'w1-a',
      'w2-a',
      'w2-b',
    ]);
  });

  test('added by a newer configuration do not apply to requests in flight', () => {
    const edge = edgeWith(ALL_UPSTREAMS);
    const plan = edge.createPlan({allowedRegions: ['east']});
    edge.newestAllowedRegions = undefined;
    expect([...edge.selectedIds(plan, 60)].sort()).toEqual([
      'e1-a',
      'e2-a',
      'e2-b',
    ]);
    edge.newestAllowedRegions = ['west'];
    expect(edge.select(plan)).toBeUndefined();
  });
});
