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

describe('The versions of a service', () => {
  test('are one while all upstreams have the same, or name none', () => {
    const {history} = start();
    history.update([record(undefined), record(undefined)]);
    expect(history.soleVersion('s')).toBe('');
    expect(history.hasSeveral('s')).toBe(false);
    expect(history.soleVersion('other')).toBeUndefined();
  });

  test('count for the lifetime of a stream after their last upstream left', async () => {
    const {clock, history} = start();
    history.update([record('v1'), record('v2')]);
    history.update([record('v1', gone), record('v2')]);
    await clock.advance(LIFETIME_MS - 1);
    expect(history.soleVersion('s')).toBeUndefined();
    await clock.advance(1);
    expect(history.soleVersion('s')).toBe('v2');
  });

  test('include those that had left before this edge started', () => {
    const {history} = start();
    history.update([record('v1', gone), record('v2')]);
    expect(history.hasSeveral('s')).toBe(true);
  });

  test('report a service once when it gets a second version', async () => {
    const {history, mixed} = start();
    history.update([record('v1')]);
    expect(mixed).toEqual([]);
    history.update([record('v1'), record('v2')]);
    history.update([record('v1'), record('v2'), record('v3')]);
    expect(mixed).toEqual(['s']);
  });

  test('tell which one was alone before the next appeared', async () => {
    const {clock, history} = start();
    history.update([record('v1')]);
    await clock.advance(5);
    history.update([record('v1'), record('v2')]);
    await clock.advance(LIFETIME_MS - 1);
    expect(history.formerSoleVersion('s')).toBe('v1');
    await clock.advance(1);
    expect(history.formerSoleVersion('s')).toBeUndefined();
  });

  test('do not tell it if both were known from the start', () => {
    const {history} = start();
    history.update([record('v1'), record('v2')]);
    expect(history.formerSoleVersion('s')).toBeUndefined();
  });
});
