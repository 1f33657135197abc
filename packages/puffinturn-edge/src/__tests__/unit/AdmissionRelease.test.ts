/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against slots that stay taken although their request was not sent or has ended. */
import {RetryBudgets} from '../../requests/RetryBudgets';
import type {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import {UpstreamAdmission} from '../../upstreams/UpstreamAdmission';
import {
  createRoute,
  ForwardingFixture,
  TestUpstream,
} from '../utils/ForwardingFixture';

/** Admits every request and counts those that were not given back. */
class CountingAdmission extends UpstreamAdmission {
  admittedCount = 0;
  heldCount = 0;

  override waitMs(): number {
    return 0;
  }

  override async admit(): Promise<boolean> {
    this.admittedCount += 1;
    this.heldCount += 1;
    return true;
  }

  override cancel(_upstream: EdgeUpstream): void {
    this.heldCount -= 1;
  }

  override shareLimit(): void {}
}

/** Allows no retry. */
class EmptyRetryBudgets extends RetryBudgets {
  override tryConsume(): boolean {
    return false;
  }
}

test('a request that the retry budget refuses gives its slot back', async () => {
  const admission = new CountingAdmission();
  const retryBudgets = new EmptyRetryBudgets({extra: 0, ratio: 0}, () => 1);
  await using first = await TestUpstream.start('a');
  await using second = await TestUpstream.start('b');
  await using edge = await ForwardingFixture.start(
    [createRoute('look', {maxAttempts: 2})],
    () => ({admission, retryBudgets}),
  );
  for (const upstream of [first, second]) {
    upstream.handler = (_, response) => {
      response.writeHead(503, {'x-not-run': '1'}).end();
    };
  }
  edge.pool.merge([first.record(), second.record()], 'c1');
  const {status} = await edge.sendRequest('look');
  expect(status).toBe(503);
  expect(admission.admittedCount).toBe(2);
  expect(admission.heldCount).toBe(0);
});
