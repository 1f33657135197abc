/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {Readable} from 'node:stream';

import {jest} from '@jest/globals';
import type {UpstreamSlot} from 'puffinturn-routing';

import type {StartedCall} from '../../UpstreamCall';
import {readBody} from '../../UpstreamCall';

const BODY_BYTES = 32 * 1024;

/** Parts that blocks of growing size need for a body of this length. */
const MAX_KEPT_PARTS = 20;

/** A call whose body arrives in these chunks. */
async function startCall(
  chunks: readonly Uint8Array[],
  abort = (): void => undefined,
): Promise<StartedCall> {
  const body = Readable.from(chunks);
  const remainingChunks: AsyncIterator<Uint8Array> =
    body[Symbol.asyncIterator]();
  return {
    abort,
    firstByteMs: 0,
    firstChunk: await remainingChunks.next(),
    kind: 'started',
    remainingChunks,
    response: {body, headers: {}, status: 200},
    slot: {} as UpstreamSlot,
  };
}

function bytesOf(text: string): Uint8Array[] {
  return [...Buffer.from(text)].map((byte) => Uint8Array.of(byte));
}

describe('The body of an upstream', () => {
  // Guards against a gateway whose memory runs out at a body that comes byte by byte.
  test('is not kept as one buffer for each of its chunks', async () => {
    const text = 'abcdefgh'.repeat(BODY_BYTES / 8);
    const call = await startCall(bytesOf(text));
    const concat = jest.spyOn(Buffer, 'concat');
    const body = await readBody(call, BODY_BYTES);
    const kept = concat.mock.calls.map(([list]) => list.length);
    concat.mockRestore();
    expect(body?.toString()).toBe(text);
    expect(Math.max(0, ...kept)).toBeLessThan(MAX_KEPT_PARTS);
  });

  test('is empty where the response has none', async () => {
    const body = await readBody(await startCall([]), BODY_BYTES);
    expect(body).toEqual(Buffer.alloc(0));
  });

  test('is given up where it is too long, and its call is cancelled', async () => {
    const abort = jest.fn();
    const call = await startCall(bytesOf('abcd'), abort);
    expect(await readBody(call, 3)).toBeUndefined();
    expect(abort).toHaveBeenCalledTimes(1);
  });

  test('is none where the connection is lost', async () => {
    const call = await startCall(bytesOf('abcd'));
    (call.response.body as Readable).destroy(new Error('lost'));
    expect(await readBody(call, BODY_BYTES)).toBeUndefined();
  });
});
