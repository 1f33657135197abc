/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against missed suspensions and false alarms on clock corrections. */
import {ManualClock} from '../../Clock';
import {SuspensionDetector} from '../../SuspensionDetector';

describe('SuspensionDetector', () => {
  let clock: ManualClock;
  let suspensions: number[];
  let watch: SuspensionDetector;

  beforeEach(() => {
    clock = new ManualClock();
    suspensions = [];
    watch = new SuspensionDetector(clock, (ms) => suspensions.push(ms));
  });

  afterEach(() => watch[Symbol.asyncDispose]());

  test('reports nothing while both clocks advance equally', async () => {
    await clock.advance(60_000);
    expect(suspensions).toEqual([]);
  });

  test('reports the duration of a suspension once', async () => {
    await clock.advance(1_000);
    clock.suspend(5_000);
    await clock.advance(60_000);
    expect(suspensions).toEqual([5_000]);
  });

  test('reports a suspension immediately on an explicit check', async () => {
    clock.suspend(2_000);
    watch.check();
    watch.check();
    expect(suspensions).toEqual([2_000]);
  });

  test('ignores slewing and a wall clock that is set back', async () => {
    for (let turn = 0; turn < 20; turn += 1) {
      clock.suspend(turn % 2 === 0 ? 200 : -3_000);
      await clock.advance(1_000);
    }
    expect(suspensions).toEqual([]);
  });
});
