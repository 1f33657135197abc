/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against mixing the responses of two attempts, and against leaked connections. */
import type {IncomingMessage, ServerResponse} from 'node:http';

import {REPETITION} from 'puffinturn-fleet';
import {Random} from 'shared';

import {WHOLE_ANSWER_BYTES} from '../../EdgeConstants';
import {LeastInFlight} from '../../upstreams/UpstreamChoice';
import {
  ServingFixture,
  servingRoute,
  TestUpstream,
  until,
} from '../utils/ServingFixture';

/** Always draws 0, so that upstreams with a high error rate are tried too. */
class ZeroRandom extends Random {
  override fraction(): number {
    return 0;
  }
}

const STREAM_ROUTE = servingRoute('stream', {
  maxAttempts: 2,
  repetition: REPETITION.resumable,
  streams: true,
});
const LOOKUP_ROUTE = servingRoute('look', {maxAttempts: 2});

/** Starts two upstreams, of which `first` is tried first. */
async function startServing() {
  const first = await TestUpstream.start('a');
  const second = await TestUpstream.start('b');
  const serving = await ServingFixture.start(
    [STREAM_ROUTE, LOOKUP_ROUTE],
    () => {
      const random = new ZeroRandom(1);
      const choice = new LeastInFlight(random);
      return {engineChoice: choice, plainChoice: choice, random};
    },
  );
  serving.pool.merge([first.record(), second.record()], 'c1');
  return {
    first,
    second,
    serving,
    async [Symbol.asyncDispose]() {
      await serving[Symbol.asyncDispose]();
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
    const {first, second, serving} = fixture;
    first.answer = respondError;
    let finish = (): void => undefined;
    second.answer = (_, response) => {
      response.writeHead(200, {'content-type': 'text/event-stream'});
      response.write('id: 1\ndata: x\n\n');
      finish = () => void response.end('id: 2\ndata: y\n\n');
    };
    const failing = serving.pool.all().find(({id}) => id === 'a');
    if (failing !== undefined) {
      failing.errorRate = 0.9;
    }
    const result = serving.ask('stream');
    await until(() => serving.received > 0);
    finish();
    expect(await result).toMatchObject({status: 200, whole: true});
    expect(first.seen).toHaveLength(1);
    expect(second.seen).toHaveLength(1);
  });

  test('a partly forwarded response is not retried', async () => {
    await using fixture = await startServing();
    const {first, second, serving} = fixture;
    first.answer = (_, response) => {
      response.write('x'.repeat(2 * WHOLE_ANSWER_BYTES), () =>
        response.destroy(),
      );
    };
    const result = await serving.ask('look');
    expect(result.whole).toBe(false);
    expect(second.seen).toEqual([]);
  });

  test('a rejection with an endless body does not keep its connection open', async () => {
    await using fixture = await startServing();
    const {first, serving} = fixture;
    let closed = false;
    first.answer = (_, response) => {
      response.on('close', () => (closed = true));
      response.writeHead(503, {'x-not-run': '1'});
      response.write('never whole');
    };
    expect(await serving.ask('look')).toMatchObject({body: 'b', status: 200});
    await until(() => closed);
  });
});
