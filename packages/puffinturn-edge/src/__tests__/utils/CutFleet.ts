/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** An edge before two upstreams that send any bytes, directly or over another edge. */
import type {Route} from 'puffinturn-fleet';

import {RetryBudgets} from '../../requests/RetryBudgets';
import type {Responder} from './CutUpstream';
import {CutUpstream} from './CutUpstream';
import type {CallerResponse} from './ForwardingFixture';
import {ForwardingFixture} from './ForwardingFixture';
import {TunnelledEdge} from './TunnelledEdge';

/** How the edge reaches its upstreams. */
export const WAYS = ['directly', 'over a tunnel'] as const;

/** One of WAYS. */
export type Way = (typeof WAYS)[number];

/** What the caller got; a connection that broke before the head has no status. */
export type Received = Pick<CallerResponse, 'body' | 'isComplete' | 'status'>;

export const NO_RESPONSE: Received = {body: '', isComplete: false, status: 0};

/** An edge whose retries have no budget, and its upstreams. */
export class CutFleet implements AsyncDisposable {
  private constructor(
    readonly edge: ForwardingFixture,
    /** Closes the edge. */
    private readonly owner: AsyncDisposable,
    private readonly upstreams: readonly CutUpstream[],
  ) {}

  /** Starts the upstreams a and b; `respondAs` returns how one of them responds. */
  static async start(
    way: Way,
    routes: readonly Route[],
    respondAs: (upstream: string) => Responder,
  ): Promise<CutFleet> {
    const upstreams = [
      await CutUpstream.start('a', respondAs('a')),
      await CutUpstream.start('b', respondAs('b')),
    ];
    const records = upstreams.map((upstream) => upstream.record());
    const retryBudgets = new RetryBudgets({extra: 1e6, ratio: 1}, () => 1);
    if (way === 'over a tunnel') {
      const overrides = {retryBudgets};
      const tunnelled = await TunnelledEdge.start(routes, records, overrides);
      return new CutFleet(tunnelled.edge, tunnelled, upstreams);
    }
    const edge = await ForwardingFixture.start(routes, () => ({retryBudgets}));
    edge.pool.merge(records, 'test');
    return new CutFleet(edge, edge, upstreams);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.owner[Symbol.asyncDispose]();
    await Promise.all(this.upstreams.map((one) => one[Symbol.asyncDispose]()));
  }
}
