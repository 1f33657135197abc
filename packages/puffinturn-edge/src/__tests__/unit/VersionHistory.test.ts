/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against guesses at the version of a stream from an outdated list of upstreams. */
import {UPSTREAM_STATE} from 'puffinturn-fleet';
import {ManualClock} from 'shared';

import {VersionHistory} from '../../streams/VersionHistory';

const LIFETIME_MS = 30_000;
const {gone, ready} = UPSTREAM_STATE;

function record(version: string | undefined, state = ready as string) {
  return {service: 's', state: state as typeof ready, version};
}

function start() {
  const clock = new ManualClock();
  const mixed: string[] = [];
  const history = new VersionHistory(
    clock,
    () => LIFETIME_MS,
    (service) => mixed.push(service),
  );
  return {clock, history, mixed};
}

function listOf(revision: number, ...versions: (readonly [number, string])[]) {
  return {
    revision,
    versions: versions.map(([number, version]) => ({
      number,
      service: 's',
      version,
    })),
  };
}

describe('The versions of a service', () => {
  test('may be several until a control box has listed them', () => {
    const {history} = start();
    history.update([record('v1')]);
    expect(history.hasSeveral('s')).toBe(true);
    expect(history.soleVersion('s')).toBeUndefined();
    history.applyRegistered(listOf(1, [1, 'v1']), false);
    expect(history.hasSeveral('s')).toBe(true);
    expect(history.soleVersion('s')).toBeUndefined();
    expect(history.revision).toBe(-Infinity);
    history.applyRegistered(listOf(1, [1, 'v1']), true);
    expect(history.hasSeveral('s')).toBe(false);
    expect(history.soleVersion('s')).toBe('v1');
    expect(history.revision).toBe(1);
  });

  test('are one while all upstreams have the same, or name none', () => {
    const {history} = start();
    history.applyRegistered(listOf(0), true);
    history.update([record(undefined), record(undefined)]);
    expect(history.soleVersion('s')).toBe('');
    expect(history.hasSeveral('s')).toBe(false);
    expect(history.soleVersion('other')).toBeUndefined();
  });

  test('that are not listed count for the lifetime of a stream after their last upstream', async () => {
    const {clock, history} = start();
    history.applyRegistered(listOf(0), true);
    history.update([record('v1'), record('v2')]);
    history.update([record('v1', gone), record('v2')]);
    await clock.advance(LIFETIME_MS - 1);
    expect(history.soleVersion('s')).toBeUndefined();
    await clock.advance(1);
    expect(history.soleVersion('s')).toBe('v2');
  });

  test('that are listed count until they are listed no more', async () => {
    const {clock, history} = start();
    history.applyRegistered(listOf(2, [1, 'v1'], [2, 'v2']), true);
    history.update([record('v2')]);
    await clock.advance(2 * LIFETIME_MS);
    expect(history.soleVersion('s')).toBeUndefined();
    history.applyRegistered(listOf(3, [2, 'v2']), true);
    expect(history.soleVersion('s')).toBe('v2');
  });

  test('that were listed do not count again for an upstream that never deregistered', () => {
    const {history} = start();
    history.applyRegistered(listOf(2, [1, 'v1'], [2, 'v2']), true);
    history.update([record('v1'), record('v2')]);
    history.applyRegistered(listOf(3, [2, 'v2']), true);
    history.update([record('v1'), record('v2')]);
    expect(history.soleVersion('s')).toBe('v2');
  });

  test('are not taken from an older list', () => {
    const {history} = start();
    history.applyRegistered(listOf(2, [1, 'v1'], [2, 'v2']), true);
    history.applyRegistered(listOf(1, [1, 'v1']), true);
    expect(history.hasSeveral('s')).toBe(true);
  });

  test('include those that had left before this edge started', () => {
    const {history} = start();
    history.applyRegistered(listOf(0), true);
    history.update([record('v1', gone), record('v2')]);
    expect(history.hasSeveral('s')).toBe(true);
  });

  test('report a service once when it gets a second version', () => {
    const {history, mixed} = start();
    history.applyRegistered(listOf(1, [1, 'v1']), true);
    history.update([record('v1')]);
    expect(mixed).toEqual([]);
    history.applyRegistered(listOf(2, [1, 'v1'], [2, 'v2']), true);
    history.update([record('v1'), record('v2'), record('v3')]);
    expect(mixed).toEqual(['s']);
  });

  test('tell which one was alone before the next was listed', async () => {
    const {clock, history} = start();
    history.applyRegistered(listOf(1, [1, 'v1']), true);
    await clock.advance(5);
    history.applyRegistered(listOf(2, [1, 'v1'], [2, 'v2']), true);
    await clock.advance(LIFETIME_MS - 1);
    expect(history.formerSoleVersion('s')).toBe('v1');
    await clock.advance(1);
    expect(history.formerSoleVersion('s')).toBeUndefined();
  });

  test('do not tell it with one that is not listed beside them', () => {
    const {history} = start();
    history.applyRegistered(listOf(2, [1, 'v1'], [2, 'v2']), true);
    history.update([record('v0')]);
    expect(history.formerSoleVersion('s')).toBeUndefined();
  });
});
