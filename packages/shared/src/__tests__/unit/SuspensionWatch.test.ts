/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {ManualClock} from '../../Clock';
import {SuspensionWatch} from '../../SuspensionWatch';

describe('A watch over suspensions', () => {
  let clock: ManualClock;
  let missed: number[];
  let watch: SuspensionWatch;

  beforeEach(() => {
    clock = new ManualClock();
    missed = [];
    watch = new SuspensionWatch(clock, (ms) => missed.push(ms));
  });

  afterEach(() => watch[Symbol.asyncDispose]());

  test('tells nothing while both clocks run alike', async () => {
    await clock.advance(60_000);
    expect(missed).toEqual([]);
  });

  test('tells once how long the steady clock stood still', async () => {
    await clock.advance(1_000);
    clock.suspend(5_000);
    await clock.advance(60_000);
    expect(missed).toEqual([5_000]);
  });

  test('tells at once whoever asks', async () => {
    clock.suspend(2_000);
    watch.look();
    watch.look();
    expect(missed).toEqual([2_000]);
  });

  test('leaves slewing and a time of day that is set back alone', async () => {
    for (let turn = 0; turn < 20; turn += 1) {
      clock.suspend(turn % 2 === 0 ? 200 : -3_000);
      await clock.advance(1_000);
    }
    expect(missed).toEqual([]);
  });
});
