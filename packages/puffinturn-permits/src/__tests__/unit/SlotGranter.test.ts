/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against more requests at an upstream than it has slots. */
import {ManualClock} from 'shared';

import {SLOT_EXPIRY_MS, SLOT_RAMP_MS} from '../../SlotConstants';
import {SlotGranter} from '../../SlotGranter';
import type {SlotRequest} from '../../SlotMessages';

const SLOTS = 8;

describe('SlotGranter', () => {
  let clock: ManualClock;
  let granter: SlotGranter;

  beforeEach(() => {
    clock = new ManualClock();
    granter = new SlotGranter(clock);
  });

  function ask(box: string, fields: Partial<SlotRequest> = {}, rank = 0) {
    const request: SlotRequest = {
      hall: 'h',
      held: 0,
      id: 'u',
      incarnationId: 'u 1',
      isLeastUrgent: false,
      rejected: 0,
      slots: SLOTS,
      wanted: 0,
      ...fields,
    };
    return granter.grant(request, box, rank).granted;
  }

  async function rampUp(): Promise<void> {
    ask('a');
    await clock.advance(SLOT_RAMP_MS);
  }

  test('fills an upstream slowly that it does not know yet', async () => {
    expect(ask('a', {wanted: SLOTS})).toBe(SLOTS / 4);
    await clock.advance(SLOT_RAMP_MS / 2);
    const allowed = Math.floor(SLOTS * 0.625);
    expect(ask('b', {wanted: SLOTS})).toBe(allowed - SLOTS / 4);
  });

  test('grants all slots together, and no more', async () => {
    await rampUp();
    expect(ask('a', {wanted: 5})).toBe(5);
    expect(ask('b', {wanted: 5})).toBe(3);
    expect(ask('c', {wanted: 5})).toBe(0);
    expect(ask('a', {held: 4, wanted: 1})).toBe(1);
  });

  test('counts a repeated report once', async () => {
    await rampUp();
    ask('a', {held: 5});
    ask('a', {held: 5});
    expect(ask('b', {wanted: SLOTS})).toBe(3);
  });

  test('frees the slots of a box that sends no more reports', async () => {
    await rampUp();
    ask('a', {held: SLOTS});
    await clock.advance(SLOT_EXPIRY_MS);
    expect(ask('b', {wanted: 1})).toBe(0);
    await clock.advance(1);
    expect(ask('b', {wanted: 1})).toBe(1);
  });

  test('grants less after rejections, and gives a slot back each second', async () => {
    await rampUp();
    expect(ask('a', {rejected: 2, wanted: SLOTS})).toBe(SLOTS - 2);
    await clock.advance(1_000);
    expect(ask('b', {wanted: SLOTS})).toBe(1);
  });

  test('keeps half of the slots, however many rejections there are', async () => {
    await rampUp();
    expect(ask('a', {rejected: 99, wanted: SLOTS})).toBe(SLOTS / 2);
  });

  test('leaves the last slot to urgent requests', async () => {
    await rampUp();
    ask('a', {held: SLOTS - 1});
    expect(ask('b', {isLeastUrgent: true, wanted: 1})).toBe(0);
    expect(ask('b', {wanted: 1})).toBe(1);
  });

  test('grants a quarter in place of another box', async () => {
    await rampUp();
    expect(ask('a', {wanted: SLOTS}, 1)).toBe(SLOTS / 4);
  });
});
