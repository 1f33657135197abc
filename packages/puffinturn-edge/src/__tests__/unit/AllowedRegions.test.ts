/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {RegionEdge, routeIn, teamIn} from '../utils/RegionEdge';

const PROMPT = [
  {id: 'aa', tokens: 5_000},
  {id: 'bb', tokens: 1_000},
];

const ALL = ['e1-a', 'e2-a', 'e2-b', 'w1-a', 'w2-a', 'w2-b'];

function edgeWith(ids: readonly string[]): RegionEdge {
  const edge = new RegionEdge();
  for (const id of ids) {
    edge.add(id);
  }
  return edge;
}

describe('Allowed regions', () => {
  test('send requests only where they may be served', () => {
    const edge = edgeWith(ALL);
    const plan = edge.plan({allowedRegions: ['west']});
    expect([...edge.drawn(plan, 60)].sort()).toEqual(['w1-a', 'w2-a', 'w2-b']);
  });

  test('bind however busy or broken the allowed upstreams are', () => {
    const edge = edgeWith(ALL);
    edge.upstream('e1-a').answerTime.measured(5_000);
    edge.upstream('e2-a').unreachable();
    edge.upstream('e2-b').unreachable();
    const plan = edge.plan({allowedRegions: ['east']});
    expect(edge.drawn(plan, 60)).toEqual(new Set(['e1-a']));
  });

  test('bind a retry', () => {
    const edge = edgeWith(ALL);
    const plan = edge.plan({allowedRegions: ['east']});
    const tried = [edge.upstream('e1-a')];
    expect(['e2-a', 'e2-b']).toContain(edge.place(plan, tried)?.upstream.id);
    tried.push(edge.upstream('e2-a'), edge.upstream('e2-b'));
    expect(edge.place(plan, tried)).toBeUndefined();
  });

  test('bind the source of a copy of a prompt', () => {
    const edge = edgeWith(ALL);
    for (const id of ['e1-a', 'e2-a', 'e2-b']) {
      edge.upstream(id).prefixes.sent(PROMPT);
      edge.upstream(id).pendingTokens = 50_000;
    }
    const plan = edge.enginePlan(PROMPT, {allowedRegions: ['west']});
    const placed = edge.place(plan);
    expect(placed?.upstream.record.hall.startsWith('w')).toBe(true);
    expect(placed?.prefixSource?.record.hall.startsWith('e')).not.toBe(true);
  });

  test('bind also in a fleet of one region, or where none is known', () => {
    const few: Record<string, string>[] = [{}, {e1: 'east', e2: 'east'}];
    for (const byHall of few) {
      const edge = new RegionEdge({byHall});
      edge.add('e1-a');
      expect(edge.place(edge.plan({allowedRegions: ['west']}))).toBeUndefined();
    }
    const edge = new RegionEdge({byHall: {e1: 'east', e2: 'east'}});
    edge.add('e1-a');
    const plan = edge.plan({allowedRegions: ['east']});
    expect(edge.place(plan)?.upstream.id).toBe('e1-a');
  });

  test('are told apart from a lack of upstreams', () => {
    const edge = edgeWith(['w1-a']);
    const bound = edge.plan({allowedRegions: ['east']});
    expect(edge.lack(bound)).toEqual({
      cause: 'no-upstream-in-region',
      retryAfterS: 1,
    });
    edge.add('e1-a');
    expect(edge.lack(bound)).toEqual({
      cause: 'no-upstream-in-region',
      retryAfterS: 0.3,
    });
    expect(edge.lack(edge.plan())).toEqual({
      cause: 'no-upstream',
      retryAfterS: 0.3,
    });
  });

  test('that the newest configuration takes away bind a request under way', () => {
    const edge = edgeWith(ALL);
    const plan = edge.plan({route: routeIn(), team: teamIn()});
    edge.newest = ['west'];
    expect([...edge.drawn(plan, 60)].sort()).toEqual(['w1-a', 'w2-a', 'w2-b']);
  });

  test('that the newest configuration adds do not widen its plan', () => {
    const edge = edgeWith(ALL);
    const plan = edge.plan({allowedRegions: ['east']});
    edge.newest = undefined;
    expect([...edge.drawn(plan, 60)].sort()).toEqual(['e1-a', 'e2-a', 'e2-b']);
    edge.newest = ['west'];
    expect(edge.place(plan)).toBeUndefined();
  });
});
