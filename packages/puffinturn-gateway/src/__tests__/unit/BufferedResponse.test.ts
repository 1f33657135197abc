/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {BufferedResponse} from '../../BufferedResponse';
import {RESPONSE_HIGH_WATER_MARK_BYTES} from '../../GatewayConstants';

const EVENT_BYTES = 32;

/** Events that a reader may leave unread before the writer waits. */
const EVENTS = RESPONSE_HIGH_WATER_MARK_BYTES / EVENT_BYTES;

/** How often the length of one chunk may be looked up. */
const MAX_LOOK_UPS = 10;

/** A chunk that counts how often its length is looked up. */
class CountedChunk extends Uint8Array {
  lookUps = 0;

  override get length(): number {
    this.lookUps += 1;
    return super.length;
  }
}

/** Appends a chunk; returns whether the writer need not wait. */
async function isTaken(
  response: BufferedResponse,
  chunk: Uint8Array,
): Promise<boolean> {
  const appended = response.append(chunk).then(() => true);
  const nextTurn = new Promise<boolean>((resolve) =>
    setImmediate(() => resolve(false)),
  );
  return Promise.race([appended, nextTurn]);
}

describe('BufferedResponse', () => {
  // Guards against a gateway that is kept busy by small events whose caller does not read:
  // each one had all unread ones counted again.
  test('counts each unread chunk once', async () => {
    const response = new BufferedResponse(1, false);
    using _reader = response.createReader();
    const chunks = Array.from(
      {length: EVENTS},
      () => new CountedChunk(EVENT_BYTES),
    );
    for (const chunk of chunks) {
      await response.append(chunk);
    }
    const lookUps = chunks.map((chunk) => chunk.lookUps);
    expect(Math.max(...lookUps)).toBeLessThan(MAX_LOOK_UPS);
  });

  test('lets its writer wait until enough has been read', async () => {
    const response = new BufferedResponse(1, false);
    using reader = response.createReader();
    const whole = new Uint8Array(RESPONSE_HIGH_WATER_MARK_BYTES);
    const one = new Uint8Array(1);
    expect(await isTaken(response, whole)).toBe(true);
    expect(await isTaken(response, one)).toBe(false);
    expect(await reader.readAvailable()).toEqual([whole, one]);
    expect(await isTaken(response, whole)).toBe(true);
    expect(await isTaken(response, one)).toBe(false);
  });

  test('that is kept for later readers never lets its writer wait', async () => {
    const response = new BufferedResponse(1, true);
    using _reader = response.createReader();
    const more = new Uint8Array(2 * RESPONSE_HIGH_WATER_MARK_BYTES);
    expect(await isTaken(response, more)).toBe(true);
    expect(await isTaken(response, more)).toBe(true);
  });
});
