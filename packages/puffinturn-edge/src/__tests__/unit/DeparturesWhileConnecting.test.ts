/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against requests that reach an upstream which left while its connection was made. */
import {RETRY_POLICY, UPSTREAM_STATE} from 'puffinturn-fleet';

import type {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import {UpstreamAdmission} from '../../upstreams/UpstreamAdmission';
import {
  createRoute,
  ForwardingFixture,
  TestUpstream,
} from '../utils/ForwardingFixture';

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

test.each([RETRY_POLICY.repeatable, RETRY_POLICY.never])(
  'a request (%s) goes to another upstream if its own leaves before it is connected',
  async (repetition) => {
    const admission = new ListeningAdmission();
    await using first = await TestUpstream.start('a');
    await using second = await TestUpstream.start('b');
    await using edge = await ForwardingFixture.start(
      [createRoute('look', {repetition})],
      () => ({admission}),
    );
    const upstreams = [first, second];
    edge.pool.merge(
      upstreams.map((upstream) => upstream.record()),
      'c1',
    );
    let left = '';
    admission.onConnecting = ({id}) => {
      left = id;
      const record = upstreams
        .find(({name}) => name === id)
        ?.record({
          sequence: 2,
          state: UPSTREAM_STATE.draining,
        });
      edge.pool.merge(record === undefined ? [] : [record], 'c1');
    };
    const {body, status} = await edge.sendRequest('look');
    expect(status).toBe(200);
    expect(body).not.toBe(left);
    const received = upstreams.find(({name}) => name === left)?.requestPaths;
    expect(received).toEqual([]);
  },
);
