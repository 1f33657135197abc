/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

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

/** Draws so that upstreams with many errors are tried too. */
class LowDraws extends Random {
  override fraction(): number {
    return 0;
  }
}

const ROUTE = servingRoute('stream', {
  maxAttempts: 2,
  repetition: REPETITION.resumable,
  streams: true,
});
const LOOKUP = servingRoute('look', {maxAttempts: 2});

/** Two upstreams, of which the first is tried first. */
async function start() {
  const first = await TestUpstream.start('a');
  const second = await TestUpstream.start('b');
  const serving = await ServingFixture.start([ROUTE, LOOKUP], () => {
    const random = new LowDraws(1);
    const choice = new LeastInFlight(random);
    return {engineChoice: choice, plainChoice: choice, random};
  });
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

function fail(_: IncomingMessage, response: ServerResponse): void {
  response.writeHead(500).end('no');
}

describe('An answer that follows another one', () => {
  test('a stream passes event by event after an error that was dropped', async () => {
    await using both = await start();
    const {first, second, serving} = both;
    first.answer = fail;
    let finish = (): void => undefined;
    second.answer = (_, response) => {
      response.writeHead(200, {'content-type': 'text/event-stream'});
      response.write('id: 1\ndata: x\n\n');
      finish = () => void response.end('id: 2\ndata: y\n\n');
    };
    const grey = serving.pool.all().find(({id}) => id === 'a');
    if (grey !== undefined) {
      grey.errorRate = 0.9;
    }
    const got = serving.ask('stream');
    await until(() => serving.received > 0);
    finish();
    expect(await got).toMatchObject({status: 200, whole: true});
    expect(first.seen).toHaveLength(1);
    expect(second.seen).toHaveLength(1);
  });

  test('none follows an answer of which a part was passed on', async () => {
    await using both = await start();
    const {first, second, serving} = both;
    first.answer = (_, response) => {
      response.write('x'.repeat(2 * WHOLE_ANSWER_BYTES), () =>
        response.destroy(),
      );
    };
    const got = await serving.ask('look');
    expect(got.whole).toBe(false);
    expect(second.seen).toEqual([]);
  });

  test('a rejection whose body never ends does not hold its connection', async () => {
    await using both = await start();
    const {first, serving} = both;
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
