/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against edges whose memory runs out because of response bodies that nobody gets, or
 * that come in very many pieces.
 */
import {ServerResponse} from 'node:http';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

import type {CallerRequest} from '../../callers/CallerRequest';
import {BufferedRelay, RELAY_OUTCOME} from '../../callers/ResponseRelay';
import type {UpstreamResponse} from '../../connections/UpstreamResponse';
import {createUpstreamResponse} from '../utils/createUpstreamResponse';

const MEBIBYTE = 1_024 * 1_024;
const MAX_GROWTH_BYTES = 8 * MEBIBYTE;
const COLLECTIONS = 20;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function createRelay(): BufferedRelay {
  const response = new ServerResponse({method: 'GET'} as never);
  const caller = {
    closesConnection: false,
    response,
  } as unknown as CallerRequest;
  return new BufferedRelay(caller, () => undefined);
}

function usedBytes(): number {
  const {arrayBuffers, heapUsed} = process.memoryUsage();
  return arrayBuffers + heapUsed;
}

/** Memory in use after garbage collections, the last part of which is concurrent, bytes. */
async function retainedBytes(): Promise<number> {
  let least = Infinity;
  for (let count = 0; count < COLLECTIONS; count += 1) {
    collectGarbage();
    await new Promise((resolve) => setTimeout(resolve, 10));
    least = Math.min(least, usedBytes());
  }
  return least;
}

function pushChunks(
  response: UpstreamResponse,
  count: number,
  length: number,
): void {
  for (let index = 0; index < count; index += 1) {
    response.push(Buffer.allocUnsafeSlow(length));
  }
}

describe('BufferedRelay', () => {
  test.each([
    ['a response that is discarded ahead of a retry', true],
    ['a response whose request has ended', false],
  ])('keeps nothing of %s', async (_, discard) => {
    const relay = createRelay();
    const response = createUpstreamResponse();
    const outcome = relay.relay(response, discard);
    if (!discard) {
      relay.cancel();
    }
    const before = await retainedBytes();
    pushChunks(response, 64, MEBIBYTE);
    expect((await retainedBytes()) - before).toBeLessThan(MAX_GROWTH_BYTES);
    response.end(true);
    expect(await outcome).toBe(
      discard ? RELAY_OUTCOME.incomplete : RELAY_OUTCOME.cancelled,
    );
  });

  test('keeps a body in chunks of a byte in little more than its length', async () => {
    const relay = createRelay();
    const response = createUpstreamResponse();
    void relay.relay(response, false);
    const before = await retainedBytes();
    pushChunks(response, 200_000, 1);
    expect((await retainedBytes()) - before).toBeLessThan(MAX_GROWTH_BYTES);
    response.end(false);
  });
});
