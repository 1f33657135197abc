/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against requests that reach an upstream which left, or asked for a back-off, while
 * its connection was made.
 */
import {RETRY_POLICY, UPSTREAM_STATE} from 'puffinturn-fleet';

import type {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import {UpstreamAdmission} from '../../upstreams/UpstreamAdmission';
import {
  createRoute,
  ForwardingFixture,
  TestUpstream,
} from '../utils/ForwardingFixture';

/** Longer than the test, ms. */
const BACKOFF_MS = 60_000;

/** Admits every request; calls a listener once the first one has begun to connect. */
class ListeningAdmission extends UpstreamAdmission {
  onConnecting: ((upstream: EdgeUpstream) => void) | undefined;

  override waitMs(): number {
    return 0;
  }

  override async admit(upstream: EdgeUpstream): Promise<boolean> {
    const {onConnecting} = this;
    this.onConnecting = undefined;
    // The attempt begins in this iteration, and its connection is established in a later one.
    queueMicrotask(() => process.nextTick(() => onConnecting?.(upstream)));
    return true;
  }

  override cancel(): void {}

  override shareLimit(): void {}
}

/** Whether an upstream leaves, or asks for a back-off, while a connection to it is made. */
const WITHDRAWALS: Record<
  string,
  (edge: ForwardingFixture, upstream: EdgeUpstream) => void
> = {
  backOff: (_edge, upstream) => upstream.startBackoff(BACKOFF_MS),
  departure: ({pool}, {record}) => {
    const {sequence} = record;
    const state = UPSTREAM_STATE.draining;
    pool.merge([{...record, sequence: sequence + 1, state}], 'c1');
  },
};

describe('A request goes to another upstream', () => {
  for (const [name, withdraw] of Object.entries(WITHDRAWALS)) {
    test.each([RETRY_POLICY.repeatable, RETRY_POLICY.never])(
      `after a ${name} of its own before it is connected (%s)`,
      async (repetition) => {
        const admission = new ListeningAdmission();
        await using first = await TestUpstream.start('a');
        await using second = await TestUpstream.start('b');
        await using edge = await ForwardingFixture.start(
          [createRoute('look', {repetition})],
          () => ({admission}),
        );
        edge.pool.merge([first.record(), second.record()], 'c1');
        let withdrawn = '';
        admission.onConnecting = (upstream) => {
          withdrawn = upstream.id;
          withdraw(edge, upstream);
        };
        const {body, status} = await edge.sendRequest('look');
        expect(status).toBe(200);
        expect(body).not.toBe(withdrawn);
        const unused = withdrawn === 'a' ? first : second;
        expect(unused.requestPaths).toEqual([]);
      },
    );
  }
});
