/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against ignoring Retry-After in responses to requests that did not run: the
 * router kept sending requests to an overloaded upstream.
 */
import {okAsync} from 'neverthrow';
import type {AcquireRequest} from 'puffinturn-routing';
import {
  AdaptiveConcurrencyLimit,
  FairQueue,
  LeastInFlightBalancer,
  Router,
} from 'puffinturn-routing';
import {ManualClock, Random} from 'shared';

import {callUpstream} from '../../UpstreamCall';
import type {UpstreamResponse} from '../../UpstreamClient';
import {UpstreamClient} from '../../UpstreamClient';

const RETRY_AFTER_S = 3;

const ACQUIRE_REQUEST: AcquireRequest = {
  triedUpstreams: new Set(),
  cost: 1,
  deadline: 60_000,
  blockHashes: [],
  priority: 0,
  team: 't',
  weight: 1,
};

const CALL_REQUEST = {
  body: undefined,
  rejectsServerErrors: true,
  useNewConnection: false,
  headers: {},
  method: 'GET',
  path: '/',
};

/** Rejects every request with Retry-After. */
class OverloadedClient extends UpstreamClient {
  readonly urls: string[] = [];

  override send({url}: {readonly url: string}) {
    this.urls.push(url);
    return okAsync<UpstreamResponse, never>({
      body: emptyBody(),
      headers: {
        'puffinturn-not-run': 'true',
        'retry-after': String(RETRY_AFTER_S),
      },
      status: 503,
    });
  }

  override probe() {
    return Promise.resolve('listens' as const);
  }

  override async [Symbol.asyncDispose](): Promise<void> {}
}

async function* emptyBody(): AsyncGenerator<Uint8Array> {}

describe('An upstream that responds with Retry-After', () => {
  const clock = new ManualClock();
  const client = new OverloadedClient();
  const router = new Router({
    loadBalancer: new LeastInFlightBalancer(new Random(1)),
    clock,
    concurrencyLimit: new AdaptiveConcurrencyLimit(() => 1, clock),
    pool: 'p',
    queue: new FairQueue(clock),
    targetMs: 1_000,
  });
  router.setUpstreams([{hall: 'h', name: 'u', slots: 9, url: 'http://u'}]);

  /** Sends a request; returns the kind of the call or of the routing error. */
  async function send(): Promise<string> {
    const acquired = await router.acquire(ACQUIRE_REQUEST);
    if (acquired.isErr()) {
      return acquired.error.kind;
    }
    using slot = acquired.value;
    const noop = () => undefined;
    const parts = {
      client,
      clock,
      onLeaving: noop,
      onRateLimitChange: noop,
      onRetryAfter: noop,
    };
    const {signal} = new AbortController();
    return (await callUpstream(parts, slot, CALL_REQUEST, signal)).kind;
  }

  test('gets no requests until the delay has passed', async () => {
    expect(await send()).toBe('failed');
    expect([await send(), await send()]).toEqual(['overloaded', 'overloaded']);
    await clock.advance(RETRY_AFTER_S * 1_000);
    expect(await send()).toBe('failed');
    expect(client.urls).toHaveLength(2);
  });
});
