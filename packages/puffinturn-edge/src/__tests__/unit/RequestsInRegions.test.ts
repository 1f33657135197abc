/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** What becomes of a request, byte by byte, where regions bind. */
import type {Behaviour} from '../utils/ServingEdge';
import {
  breaksOff,
  isFull,
  serves,
  ServingEdge,
  streams,
} from '../utils/ServingEdge';

/** Stands in every body, so that it is found wherever it was copied to. */
const SECRET = 'a text that only upstreams may read';

async function edgeWith(
  behaviours: Readonly<Record<string, Behaviour>>,
): Promise<ServingEdge> {
  const serving = await ServingEdge.open();
  for (const [id, behaviour] of Object.entries(behaviours)) {
    await serving.start(id, behaviour);
  }
  return serving;
}

describe('A request that may be served in some regions', () => {
  test('reaches upstreams of these only, by its route and its team', async () => {
    await using serving = await edgeWith({
      'e1-a': serves,
      'e2-a': serves,
      'w1-a': serves,
    });
    serving.configure({allowedRegions: ['west', 'north']});
    expect((await serving.ask(SECRET)).status).toBe(200);
    serving.configure({}, {allowedRegions: ['west']});
    expect((await serving.ask(SECRET)).status).toBe(200);
    serving.configure(
      {allowedRegions: ['east', 'west']},
      {allowedRegions: ['west']},
    );
    expect((await serving.ask(SECRET)).status).toBe(200);
    expect(serving.reached).toEqual(['w1-a', 'w1-a', 'w1-a']);
  });

  test('is refused at once where none is left, with when to come back', async () => {
    await using serving = await edgeWith({'w1-a': serves});
    serving.configure({allowedRegions: ['east']});
    const answer = await serving.ask(SECRET);
    expect(answer).toMatchObject({retryAfter: '1', status: 503});
    expect(serving.causes).toEqual(['no-upstream-in-region']);
    expect(serving.reached).toEqual([]);
  });

  test('is refused where route and team have no region in common', async () => {
    await using serving = await edgeWith({'e1-a': serves, 'w1-a': serves});
    serving.configure({allowedRegions: ['east']}, {allowedRegions: ['west']});
    expect((await serving.ask(SECRET)).status).toBe(503);
    expect(serving.causes).toEqual(['no-upstream-in-region']);
    expect(serving.reached).toEqual([]);
  });

  test('is tried again within these only', async () => {
    await using serving = await edgeWith({
      'e1-a': isFull,
      'e2-a': isFull,
      'w1-a': serves,
    });
    serving.configure({allowedRegions: ['east']});
    const answer = await serving.ask(SECRET);
    expect(answer.status).toBe(503);
    expect(answer.retryAfter).toBeDefined();
    expect([...serving.reached].sort()).toEqual(['e1-a', 'e2-a']);
    expect(serving.causes).toEqual(['no-upstream-in-region']);
  });

  test('is resumed within these only', async () => {
    await using serving = await edgeWith({
      'e1-a': breaksOff,
      'w1-a': streams,
    });
    serving.configure({allowedRegions: ['east']});
    const answer = await serving.ask(SECRET);
    expect(answer.body).toContain('begun');
    expect(answer.body).not.toContain('ended');
    expect(serving.reached).toEqual(['e1-a']);
  });

  test('is resumed elsewhere where all regions are allowed', async () => {
    await using serving = await edgeWith({
      'e1-a': breaksOff,
      'w1-a': streams,
    });
    serving.configure({});
    const answer = await serving.ask(SECRET);
    expect(answer.body).toContain('begun');
    expect(answer.body).toContain('ended');
    expect(serving.reached).toEqual(['e1-a', 'w1-a']);
    expect(serving.arrivals[1]?.lastEvent).toBe('4');
  });

  test('goes nowhere that was taken away while it ran', async () => {
    const changes: (() => void)[] = [];
    const breaksOffLater: Behaviour = (request, response) => {
      changes.splice(0).forEach((change) => change());
      breaksOff(request, response);
    };
    await using serving = await edgeWith({
      'e1-a': breaksOffLater,
      'w1-a': streams,
    });
    serving.configure({});
    changes.push(() => serving.configure({allowedRegions: ['east']}));
    const answer = await serving.ask(SECRET);
    expect(answer.body).not.toContain('ended');
    expect(serving.reached).toEqual(['e1-a']);
    expect(serving.causes).toEqual(['no-upstream-in-region']);
  });

  test('is counted where it goes to another region, and only there', async () => {
    await using serving = await edgeWith({'e1-a': serves, 'w1-a': serves});
    const count = async () => {
      const {regionBytes, regionRequests} = serving.edge.metrics;
      const bytes = (await regionBytes.get()).values;
      const [requests] = (await regionRequests.get()).values;
      const of = (cause: string) =>
        bytes.find(({labels}) => labels.cause === cause)?.value ?? 0;
      return [requests?.value ?? 0, of('requests'), of('answers')];
    };
    serving.configure({allowedRegions: ['east']});
    await serving.ask(SECRET);
    expect(await count()).toEqual([0, 0, 0]);
    serving.configure({allowedRegions: ['west']});
    await serving.ask(SECRET);
    const [, requestBytes = 0, answerBytes = 0] = await count();
    expect(requestBytes).toBeGreaterThan(SECRET.length);
    expect(requestBytes).toBeLessThan(1_000);
    expect(answerBytes).toBeGreaterThan('done'.length);
    await serving.ask(SECRET);
    const [requests, both = 0, answers = 0] = await count();
    expect(requests).toBe(2);
    expect(both / requestBytes).toBeCloseTo(2, 1);
    expect(answers / answerBytes).toBeCloseTo(2, 1);
    const noted = serving.log.lines.filter(
      ({event}) => event === 'crossing-changed',
    );
    expect(noted).toHaveLength(1);
  });

  test('is neither sent to another box nor written to the log', async () => {
    await using serving = await edgeWith({
      'e1-a': isFull,
      'e2-a': breaksOff,
      'w1-a': serves,
    });
    serving.edge.learnBoxes([
      {box: 'w', hall: 'w1', incarnation: '1', role: 'edge'},
      {box: 'e', hall: 'e2', incarnation: '1', role: 'edge'},
    ]);
    serving.configure({allowedRegions: ['east']}, {prepaidTokens: 1_000});
    await serving.ask(SECRET);
    await serving.ask(SECRET);
    expect(serving.arrivals.every(({body}) => body === SECRET)).toBe(true);
    expect(serving.arrivals.length).toBeGreaterThan(0);
    expect(JSON.stringify(serving.link.sent)).not.toContain(SECRET);
    expect(JSON.stringify(serving.log.lines)).not.toContain(SECRET);
  });
});
