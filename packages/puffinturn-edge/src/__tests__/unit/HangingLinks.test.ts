/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against responses that are ended because links hang, with no better way. */
import type {ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

import {RETRY_POLICY} from 'puffinturn-fleet';

import {RetryBudgets} from '../../requests/RetryBudgets';
import type {LinkListener} from '../../tunnels/ServiceLinks';
import type {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import type {CallerResponse} from '../utils/ForwardingFixture';
import {
  createRoute,
  ForwardingFixture,
  TestUpstream,
  waitUntil,
} from '../utils/ForwardingFixture';

const FIRST_EVENT = 'id: 1\ndata: one\n\n';
const SECOND_EVENT = 'id: 2\ndata: two\n\n';
const WHOLE_STREAM = FIRST_EVENT + SECOND_EVENT;
/** Time after which a response that was ended would have ended, ms. */
const OBSERVATION_MS = 100;

const RETRY_LIMIT = {extra: 10, ratio: 0.2};

const ROUTE = createRoute('stream', {
  maxAttempts: 2,
  repetition: RETRY_POLICY.resumable,
  streams: true,
  // Longer than a test may take: a response that waits until then fails it.
  timeoutMs: 400_000,
});

/** A stream that has begun over a link that hangs. */
class HangingStream implements AsyncDisposable {
  /** Responses that have not ended, in the order of their begin. */
  readonly responses: ServerResponse[] = [];
  isLost = false;
  /** Whether no upstream has a place, and whether that begins once a request leaves. */
  isFull = false;
  fillsOnLeaving = false;
  private readonly upstreams: TestUpstream[] = [];
  private readonly listeners = new Set<LinkListener>();
  private edge: ForwardingFixture | undefined;
  private first: TestUpstream | undefined;
  private pending: Promise<CallerResponse> | undefined;

  /** Starts an edge and upstreams, and a stream whose caller has its first event. */
  static async begin(
    upstreamCount = 2,
    mayRetry = true,
  ): Promise<HangingStream> {
    const stream = new HangingStream();
    await stream.start(upstreamCount, mayRetry);
    await stream.send();
    return stream;
  }

  /** What the caller has got when its stream has ended. */
  get response(): Promise<CallerResponse | undefined> {
    return Promise.resolve(this.pending);
  }

  private async start(upstreamCount: number, mayRetry: boolean): Promise<void> {
    this.edge = await ForwardingFixture.start(
      [ROUTE],
      ({directLinks, exposureController}) => ({
        exposureController: Object.assign(exposureController, {
          mayContinue: () => !this.isFull,
          mayResume: () => {
            throw new Error('a continued response must not count as resumed');
          },
          candidateGroups: (_: unknown, serving: readonly EdgeUpstream[]) =>
            this.isFull ? [] : [serving],
        }),
        directLinks: Object.assign(directLinks, {
          areLost: () => this.isLost,
          needsTunnel: () => this.isLost,
          watchRequest: (_: string, listener: LinkListener) => {
            this.listeners.add(listener);
            return {[Symbol.dispose]: () => this.listeners.delete(listener)};
          },
        }),
        retryBudgets: Object.assign(new RetryBudgets(RETRY_LIMIT, () => 1), {
          tryConsume: () => {
            this.isFull ||= this.fillsOnLeaving;
            return mayRetry;
          },
        }),
      }),
    );
    for (let index = 0; index < upstreamCount; index += 1) {
      const upstream = await TestUpstream.start(`u${index}`);
      this.upstreams.push(upstream);
      upstream.handler = (incoming, response) => {
        response.setHeader('Content-Type', 'text/event-stream');
        const isResumed = incoming.headers['x-last-event'] === '1';
        response.write(isResumed ? SECOND_EVENT : FIRST_EVENT);
        this.first ??= upstream;
        this.responses.push(response);
      };
    }
    const records = this.upstreams.map((upstream) => upstream.record());
    this.edge.pool.merge(records, 'test');
  }

  private async send(): Promise<void> {
    const {edge} = this;
    this.pending = edge?.sendRequest('stream');
    await waitUntil(() => this.responses.length === 1);
    await waitUntil(() => (edge?.receivedBytes ?? 0) > 0);
  }

  hang(): void {
    this.listeners.forEach((listener) => listener.onHang());
  }

  findBypass(): void {
    this.listeners.forEach((listener) => void listener.onBypass());
  }

  /** All upstreams leave. */
  leave(): void {
    this.upstreams.forEach((upstream) => this.drain(upstream));
  }

  /** All upstreams leave but the one that began the stream. */
  leaveAtOther(): void {
    const others = this.upstreams.filter((upstream) => upstream !== this.first);
    others.forEach((upstream) => this.drain(upstream));
  }

  private drain(upstream: TestUpstream): void {
    this.edge?.pool.find(upstream.record().id)?.markDraining();
  }

  /** Lets the first response complete as if the link had gone on. */
  async goOn(): Promise<void> {
    await delay(OBSERVATION_MS);
    this.responses[0]?.end(SECOND_EVENT);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.edge?.[Symbol.asyncDispose]();
    for (const upstream of this.upstreams) {
      await upstream[Symbol.asyncDispose]();
    }
  }
}

describe('A response that has begun over a link that hangs', () => {
  test('goes on when the link does, while no other way is known', async () => {
    await using stream = await HangingStream.begin();
    stream.hang();
    await stream.goOn();
    expect((await stream.response)?.body).toBe(WHOLE_STREAM);
    expect(stream.responses).toHaveLength(1);
  });

  test('is continued by another upstream once there is another way', async () => {
    await using stream = await HangingStream.begin();
    stream.hang();
    stream.findBypass();
    await waitUntil(() => stream.responses.length === 2);
    stream.responses[1]?.end();
    expect((await stream.response)?.body).toBe(WHOLE_STREAM);
  });

  test.each([
    ['no other upstream', 1, true],
    ['no retry left', 2, false],
  ])('goes on if there is %s', async (_, upstreams, mayRetry) => {
    await using stream = await HangingStream.begin(upstreams, mayRetry);
    stream.findBypass();
    await stream.goOn();
    expect((await stream.response)?.body).toBe(WHOLE_STREAM);
    expect(stream.responses).toHaveLength(1);
  });

  test('waits if the place for it is taken before its next attempt', async () => {
    await using stream = await HangingStream.begin();
    stream.fillsOnLeaving = true;
    stream.findBypass();
    await delay(OBSERVATION_MS);
    const {isFull} = stream;
    stream.isFull = false;
    setTimeout(() => stream.responses[1]?.end(), 5 * OBSERVATION_MS);
    expect((await stream.response)?.body).toBe(WHOLE_STREAM);
    expect(isFull).toBe(true);
  });

  test('ends if all upstreams of its version leave while it waits', async () => {
    await using stream = await HangingStream.begin();
    stream.fillsOnLeaving = true;
    stream.findBypass();
    await delay(OBSERVATION_MS);
    stream.leave();
    const {body, isComplete} = (await stream.response) ?? {};
    expect({body, isComplete}).toEqual({body: FIRST_EVENT, isComplete: false});
  });

  test('goes on at its former upstream if the other one has left', async () => {
    await using stream = await HangingStream.begin();
    stream.fillsOnLeaving = true;
    stream.findBypass();
    await delay(OBSERVATION_MS);
    stream.leaveAtOther();
    stream.isFull = false;
    await waitUntil(() => stream.responses.length === 2);
    stream.responses[1]?.end();
    expect((await stream.response)?.body).toBe(WHOLE_STREAM);
  });

  test('waits for the links if the other way is gone before its next attempt', async () => {
    await using stream = await HangingStream.begin();
    stream.isLost = true;
    stream.findBypass();
    await delay(OBSERVATION_MS);
    stream.isLost = false;
    await waitUntil(() => stream.responses.length === 2);
    stream.responses[1]?.end();
    expect((await stream.response)?.body).toBe(WHOLE_STREAM);
  });
});
