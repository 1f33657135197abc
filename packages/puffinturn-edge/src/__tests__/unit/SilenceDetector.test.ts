/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against lost links that go unnoticed, and against needless suspicions. */
import {ManualClock} from 'shared';

import {SilenceDetector} from '../../tunnels/SilenceDetector';
import {
  MAX_SILENCE_STEP_MS,
  MIN_SILENCE_MS,
  SILENCE_CHECK_INTERVAL_MS,
} from '../../tunnels/TunnelConstants';

describe('SilenceDetector', () => {
  const clock = new ManualClock();
  let detector: SilenceDetector;
  let reads: number;

  beforeEach(() => {
    detector = new SilenceDetector(clock);
    reads = 0;
  });

  /** Checks at the usual interval; returns whether it found silence. */
  async function checkOnce(traffic = {requests: 5, upstreams: 3}) {
    await clock.advance(SILENCE_CHECK_INTERVAL_MS);
    return detector.check({reads, ...traffic});
  }

  /** Lets one silence of 300 ms end, which is found before its end. */
  async function learnUsualSilence(): Promise<void> {
    for (let ms = 0; ms <= 300; ms += SILENCE_CHECK_INTERVAL_MS) {
      await checkOnce();
    }
    reads += 1;
    await checkOnce();
  }

  /** Checks until the time is over; returns when silence was found first, ms. */
  async function watch(
    forMs: number,
    {requests = 5, upstreams = 3, readEveryMs = Infinity} = {},
  ): Promise<number | undefined> {
    for (
      let ms = SILENCE_CHECK_INTERVAL_MS;
      ms <= forMs;
      ms += SILENCE_CHECK_INTERVAL_MS
    ) {
      reads += ms % readEveryMs === 0 ? 1 : 0;
      if (await checkOnce({requests, upstreams})) {
        return ms;
      }
    }
    return undefined;
  }

  test('finds silence while several requests are waiting', async () => {
    const foundAfterMs = await watch(1_000);
    expect(foundAfterMs).toBe(MIN_SILENCE_MS + SILENCE_CHECK_INTERVAL_MS);
  });

  test.each([
    {requests: 2, upstreams: 2},
    {requests: 9, upstreams: 1},
  ])(
    'ignores silence with $requests requests at $upstreams',
    async (traffic) => {
      expect(await watch(2_000, traffic)).toBeUndefined();
    },
  );

  test('finds none while responses arrive', async () => {
    expect(await watch(2_000, {readEveryMs: 100})).toBeUndefined();
  });

  /** Guards against a delay of this edge that counts as silence of its links. */
  test.each([200, 1_000, 5_000])(
    'does not count %i ms in which this edge was delayed',
    async (delayMs) => {
      await checkOnce();
      await clock.advance(delayMs);
      expect(detector.check({reads, requests: 5, upstreams: 3})).toBe(false);
      // What arrived meanwhile is read after the delayed check.
      reads += 1;
      expect(await checkOnce()).toBe(false);
      const foundAfterMs = await watch(1_000);
      expect(foundAfterMs).toBeLessThanOrEqual(
        2 * (MAX_SILENCE_STEP_MS + SILENCE_CHECK_INTERVAL_MS),
      );
    },
  );

  test('finds silence although each check is delayed', async () => {
    let hasFound = false;
    for (let count = 0; count < 10; count += 1) {
      await clock.advance(3 * SILENCE_CHECK_INTERVAL_MS);
      hasFound ||= detector.check({reads, requests: 5, upstreams: 3});
    }
    expect(hasFound).toBe(true);
  });

  test('waits for twice the usual time between responses', async () => {
    await learnUsualSilence();
    expect(await watch(2_100, {readEveryMs: 300})).toBeUndefined();
    const foundAfterMs = await watch(2_000);
    expect(foundAfterMs).toBeGreaterThan(2 * 200);
    expect(foundAfterMs).toBeLessThan(1_000);
  });
});
