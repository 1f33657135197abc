/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against mixing the responses of two attempts, and against leaked connections. */
import type {IncomingMessage, ServerResponse} from 'node:http';

import {RETRY_POLICY} from 'puffinturn-fleet';
import {Random} from 'shared';

import {MAX_BUFFERED_RESPONSE_BYTES} from '../../EdgeConstants';
import {LeastRequests} from '../../upstreams/LoadBalancer';
import {
  createRoute,
  ForwardingFixture,
  TestUpstream,
  waitUntil,
} from '../utils/ForwardingFixture';

/** Always draws 0, so that upstreams with a high error rate are tried too. */
class ZeroRandom extends Random {
  override fraction(): number {
    return 0;
  }
}

const STREAM_ROUTE = createRoute('stream', {
  maxAttempts: 2,
  repetition: RETRY_POLICY.resumable,
  streams: true,
});
const LOOKUP_ROUTE = createRoute('look', {maxAttempts: 2});

/** Starts two upstreams, of which `first` is tried first. */
async function startServing() {
  const first = await TestUpstream.start('a');
  const second = await TestUpstream.start('b');
  const edge = await ForwardingFixture.start(
    [STREAM_ROUTE, LOOKUP_ROUTE],
    () => {
      const random = new ZeroRandom(1);
      const choice = new LeastRequests(random);
      return {engineBalancer: choice, plainBalancer: choice, random};
    },
  );
  edge.pool.merge([first.record(), second.record()], 'c1');
  return {
    first,
    second,
    edge,
    async [Symbol.asyncDispose]() {
      await edge[Symbol.asyncDispose]();
      await first[Symbol.asyncDispose]();
      await second[Symbol.asyncDispose]();
    },
  };
}

function respondError(_: IncomingMessage, response: ServerResponse): void {
  response.writeHead(500).end('no');
}

describe('Responses after a failed attempt', () => {
  test('a stream is forwarded event by event after a discarded error response', async () => {
    await using fixture = await startServing();
    const {first, second, edge} = fixture;
    first.handler = respondError;
    let finish = (): void => undefined;
    second.handler = (_, response) => {
      response.writeHead(200, {'content-type': 'text/event-stream'});
      response.write('id: 1\ndata: x\n\n');
      finish = () => void response.end('id: 2\ndata: y\n\n');
    };
    const failing = edge.pool.all().find(({id}) => id === 'a');
    if (failing !== undefined) {
      failing.errorRate = 0.9;
    }
    const result = edge.sendRequest('stream');
    await waitUntil(() => edge.receivedBytes > 0);
    finish();
    expect(await result).toMatchObject({status: 200, isComplete: true});
    expect(first.requestPaths).toHaveLength(1);
    expect(second.requestPaths).toHaveLength(1);
  });

  test('a partly forwarded response is not retried', async () => {
    await using fixture = await startServing();
    const {first, second, edge} = fixture;
    first.handler = (_, response) => {
      response.write('x'.repeat(2 * MAX_BUFFERED_RESPONSE_BYTES), () =>
        response.destroy(),
      );
    };
    const result = await edge.sendRequest('look');
    expect(result.isComplete).toBe(false);
    expect(second.requestPaths).toEqual([]);
  });

  test('a rejection with an endless body does not keep its connection open', async () => {
    await using fixture = await startServing();
    const {first, edge} = fixture;
    let closed = false;
    first.handler = (_, response) => {
      response.on('close', () => (closed = true));
      response.writeHead(503, {'x-not-run': '1'});
      response.write('never whole');
    };
    expect(await edge.sendRequest('look')).toMatchObject({
      body: 'b',
      status: 200,
    });
    await waitUntil(() => closed);
  });
});
