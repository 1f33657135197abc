/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against requests that leave their allowed regions, in any attempt or record. */
import type {UpstreamHandler} from '../utils/TestEdge';
import {
  breakMidStream,
  rejectAsFull,
  respondDone,
  respondWithStream,
  TestEdge,
} from '../utils/TestEdge';

/** Body of every request, to detect copies of it. */
const SECRET = 'a text that only upstreams may read';

async function startEdge(
  handlers: Readonly<Record<string, UpstreamHandler>>,
): Promise<TestEdge> {
  const testEdge = await TestEdge.open();
  for (const [id, handler] of Object.entries(handlers)) {
    await testEdge.startUpstream(id, handler);
  }
  return testEdge;
}

describe('A request with allowed regions', () => {
  test('reaches only upstreams in regions that its route and team allow', async () => {
    await using testEdge = await startEdge({
      'e1-a': respondDone,
      'e2-a': respondDone,
      'w1-a': respondDone,
    });
    testEdge.configure({allowedRegions: ['west', 'north']});
    expect((await testEdge.sendRequest(SECRET)).status).toBe(200);
    testEdge.configure({}, {allowedRegions: ['west']});
    expect((await testEdge.sendRequest(SECRET)).status).toBe(200);
    testEdge.configure(
      {allowedRegions: ['east', 'west']},
      {allowedRegions: ['west']},
    );
    expect((await testEdge.sendRequest(SECRET)).status).toBe(200);
    expect(testEdge.reachedUpstreams).toEqual(['w1-a', 'w1-a', 'w1-a']);
  });

  test('is rejected with Retry-After if no allowed region has an upstream', async () => {
    await using testEdge = await startEdge({'w1-a': respondDone});
    testEdge.configure({allowedRegions: ['east']});
    const response = await testEdge.sendRequest(SECRET);
    expect(response).toMatchObject({retryAfter: '1', status: 503});
    expect(testEdge.endCauses).toEqual(['no-upstream-in-region']);
    expect(testEdge.reachedUpstreams).toEqual([]);
  });

  test('is rejected if its route and team have no region in common', async () => {
    await using testEdge = await startEdge({
      'e1-a': respondDone,
      'w1-a': respondDone,
    });
    testEdge.configure({allowedRegions: ['east']}, {allowedRegions: ['west']});
    expect((await testEdge.sendRequest(SECRET)).status).toBe(503);
    expect(testEdge.endCauses).toEqual(['no-upstream-in-region']);
    expect(testEdge.reachedUpstreams).toEqual([]);
  });

  test('is retried only in allowed regions', async () => {
    await using testEdge = await startEdge({
      'e1-a': rejectAsFull,
      'e2-a': rejectAsFull,
      'w1-a': respondDone,
    });
    testEdge.configure({allowedRegions: ['east']});
    const response = await testEdge.sendRequest(SECRET);
    expect(response.status).toBe(503);
    expect(response.retryAfter).toBeDefined();
    expect([...testEdge.reachedUpstreams].sort()).toEqual(['e1-a', 'e2-a']);
    expect(testEdge.endCauses).toEqual(['no-upstream-in-region']);
  });

  test('is resumed only in allowed regions', async () => {
    await using testEdge = await startEdge({
      'e1-a': breakMidStream,
      'w1-a': respondWithStream,
    });
    testEdge.configure({allowedRegions: ['east']});
    const response = await testEdge.sendRequest(SECRET);
    expect(response.body).toContain('begun');
    expect(response.body).not.toContain('ended');
    expect(testEdge.reachedUpstreams).toEqual(['e1-a']);
  });

  test('is resumed in another region if all regions are allowed', async () => {
    await using testEdge = await startEdge({
      'e1-a': breakMidStream,
      'w1-a': respondWithStream,
    });
    testEdge.configure({});
    const response = await testEdge.sendRequest(SECRET);
    expect(response.body).toContain('begun');
    expect(response.body).toContain('ended');
    expect(testEdge.reachedUpstreams).toEqual(['e1-a', 'w1-a']);
    expect(testEdge.receivedRequests[1]?.lastEventId).toBe('4');
  });

  test('is not resumed in a region that was disallowed during the request', async () => {
    const changes: (() => void)[] = [];
    const changeThenBreak: UpstreamHandler = (request, response) => {
      changes.splice(0).forEach((change) => change());
      breakMidStream(request, response);
    };
    await using testEdge = await startEdge({
      'e1-a': changeThenBreak,
      'w1-a': respondWithStream,
    });
    testEdge.configure({});
    changes.push(() => testEdge.configure({allowedRegions: ['east']}));
    const response = await testEdge.sendRequest(SECRET);
    expect(response.body).not.toContain('ended');
    expect(testEdge.reachedUpstreams).toEqual(['e1-a']);
    expect(testEdge.endCauses).toEqual(['no-upstream-in-region']);
  });

  test('is counted as cross-region traffic only if sent to another region', async () => {
    await using testEdge = await startEdge({
      'e1-a': respondDone,
      'w1-a': respondDone,
    });
    const readCounters = async () => {
      const {regionBytes, regionRequests} = testEdge.edge.metrics;
      const bytes = (await regionBytes.get()).values;
      const [requests] = (await regionRequests.get()).values;
      const of = (cause: string) =>
        bytes.find(({labels}) => labels.cause === cause)?.value ?? 0;
      return [requests?.value ?? 0, of('requests'), of('answers')];
    };
    testEdge.configure({allowedRegions: ['east']});
    await testEdge.sendRequest(SECRET);
    expect(await readCounters()).toEqual([0, 0, 0]);
    testEdge.configure({allowedRegions: ['west']});
    await testEdge.sendRequest(SECRET);
    const [, requestBytes = 0, responseBytes = 0] = await readCounters();
    expect(requestBytes).toBeGreaterThan(SECRET.length);
    expect(requestBytes).toBeLessThan(1_000);
    expect(responseBytes).toBeGreaterThan('done'.length);
    await testEdge.sendRequest(SECRET);
    const [requests, totalRequestBytes = 0, totalResponseBytes = 0] =
      await readCounters();
    expect(requests).toBe(2);
    expect(totalRequestBytes / requestBytes).toBeCloseTo(2, 1);
    expect(totalResponseBytes / responseBytes).toBeCloseTo(2, 1);
    const crossingLines = testEdge.log.decisions.filter(
      ({event}) => event === 'crossing-changed',
    );
    expect(crossingLines).toHaveLength(1);
  });

  test('has its body neither sent to another box nor logged', async () => {
    await using testEdge = await startEdge({
      'e1-a': rejectAsFull,
      'e2-a': breakMidStream,
      'w1-a': respondDone,
    });
    testEdge.edge.updateBoxes([
      {box: 'w', hall: 'w1', incarnation: '1', role: 'edge'},
      {box: 'e', hall: 'e2', incarnation: '1', role: 'edge'},
    ]);
    testEdge.configure({allowedRegions: ['east']}, {prepaidTokens: 1_000});
    await testEdge.sendRequest(SECRET);
    await testEdge.sendRequest(SECRET);
    expect(testEdge.receivedRequests.every(({body}) => body === SECRET)).toBe(
      true,
    );
    expect(testEdge.receivedRequests.length).toBeGreaterThan(0);
    expect(JSON.stringify(testEdge.link.calls)).not.toContain(SECRET);
    expect(JSON.stringify(testEdge.log.decisions)).not.toContain(SECRET);
  });
});
