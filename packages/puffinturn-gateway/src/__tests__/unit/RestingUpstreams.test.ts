/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * An engine that was overloaded turned a request away and asked for three seconds
 * of rest; the box sent it nine more within that time. Of an answer that says that
 * the request did not run nothing else was read, and the router was not told: the
 * next request found the engine as free as before.
 */
import {okAsync} from 'neverthrow';
import type {PlaceRequest} from 'puffinturn-routing';
import {
  AdaptiveLimit,
  FairQueue,
  LeastInFlightChoice,
  Router,
} from 'puffinturn-routing';
import {ManualClock, Random} from 'shared';

import {callUpstream} from '../../UpstreamCall';
import type {UpstreamAnswer} from '../../UpstreamClient';
import {UpstreamClient} from '../../UpstreamClient';

const REST_S = 3;

const PLACE_REQUEST: PlaceRequest = {
  avoid: new Set(),
  cost: 1,
  deadline: 60_000,
  prefix: [],
  priority: 0,
  team: 't',
  weight: 1,
};

const CALL_REQUEST = {
  body: undefined,
  failsOnError: true,
  fresh: false,
  headers: {},
  method: 'GET',
  path: '/',
};

/** Every upstream turns requests away and asks for rest. */
class OverloadedClient extends UpstreamClient {
  readonly urls: string[] = [];

  override send({url}: {readonly url: string}) {
    this.urls.push(url);
    return okAsync<UpstreamAnswer, never>({
      body: nothing(),
      headers: {'puffinturn-not-run': 'true', 'retry-after': String(REST_S)},
      status: 503,
    });
  }

  override probe() {
    return Promise.resolve('listens' as const);
  }

  override async [Symbol.asyncDispose](): Promise<void> {}
}

async function* nothing(): AsyncGenerator<Uint8Array> {}

describe('An upstream that asks for rest', () => {
  const clock = new ManualClock();
  const client = new OverloadedClient();
  const router = new Router({
    choice: new LeastInFlightChoice(new Random(1)),
    clock,
    limit: new AdaptiveLimit(() => 1, clock),
    pool: 'p',
    queue: new FairQueue(clock),
    targetMs: 1_000,
  });
  router.declare([{hall: 'h', name: 'u', slots: 9, url: 'http://u'}]);

  /** Asks for a place and sends a request there; why not, where there is none. */
  async function send(): Promise<string> {
    const found = await router.acquire(PLACE_REQUEST);
    if (found.isErr()) {
      return found.error.kind;
    }
    using place = found.value;
    const ignore = () => undefined;
    const parts = {
      client,
      clock,
      onLeaving: ignore,
      onLimit: ignore,
      onRest: ignore,
    };
    const {signal} = new AbortController();
    return (await callUpstream(parts, place, CALL_REQUEST, signal)).kind;
  }

  test('gets no request until its time is over', async () => {
    expect(await send()).toBe('failed');
    expect([await send(), await send()]).toEqual(['overloaded', 'overloaded']);
    await clock.advance(REST_S * 1_000);
    expect(await send()).toBe('failed');
    expect(client.urls).toHaveLength(2);
  });
});
