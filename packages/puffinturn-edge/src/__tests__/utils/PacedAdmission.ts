/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The way that permits are compared with: a few edges, the same ones wherever the same
 * boxes are known, send to an upstream of a bounded rate, each at its own pace, and ask
 * nobody.
 */
import {LRUCache} from 'lru-cache';
import type {BoxRecord, ColdStart} from 'puffinturn-fleet';
import type {ColdTolerance} from 'puffinturn-permits';
import type {Clock} from 'shared';
import {hashOf, rendezvousWeight} from 'shared';

import type {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import type {AdmissionContext} from '../../upstreams/UpstreamAdmission';
import {
  maxRequestRate,
  UpstreamAdmission,
} from '../../upstreams/UpstreamAdmission';

/** How the edges share what one upstream bears. */
export interface PacedShares {
  /** Edges that may send to it at all. */
  readonly senders: number;
  /** Least time between two requests of one of them, ms. */
  readonly gapMs: number;
}

/** What a PacedAdmission is made of. */
export interface PacedAdmissionParts {
  readonly clock: Clock;
  /** The own box, and the other edges; a new array where the list has changed. */
  readonly box: string;
  readonly peers: () => readonly BoxRecord[];
  readonly tolerance: ColdTolerance;
}

const SECOND_MS = 1_000;

/** Part of the most that may arrive in a second which is handed out. */
const SHARED_PART = 0.85;

/** Gaps are longer by this factor, so that no second holds one request more. */
const GAP_MARGIN = 1.03;

/** Upstreams that something is remembered of; far more than are ever bounded. */
const MAX_REMEMBERED = 1_000;

/**
 * Shares that hold the sum within its bounds: no sender has more than its part in
 * any span of a second, and all together send no faster than the upstream bears.
 */
export function pacedShares(
  {requestsPerSecond}: Pick<ColdStart, 'requestsPerSecond'>,
  {extra, overage}: ColdTolerance,
  edges: number,
): PacedShares {
  const most = requestsPerSecond * overage + extra;
  const shared = Math.max(1, Math.floor(most * SHARED_PART));
  const senders = Math.min(Math.max(1, edges), shared);
  const perSender = Math.floor(shared / senders);
  const peakGapMs = SECOND_MS / perSender;
  const meanGapMs = (SECOND_MS * senders) / requestsPerSecond;
  return {gapMs: Math.max(peakGapMs, meanGapMs) * GAP_MARGIN, senders};
}

/** See the module comment. */
export class PacedAdmission extends UpstreamAdmission {
  private readonly lastSentAt = new LRUCache<string, number>({
    max: MAX_REMEMBERED,
  });
  private readonly startedAt: number;
  private edges: readonly BoxRecord[] | undefined;
  private readonly ownHash: number;
  private peerHashes: readonly number[] = [];

  constructor(private readonly parts: PacedAdmissionParts) {
    super();
    this.startedAt = parts.clock.now();
    this.ownHash = hashOf(parts.box);
  }

  override waitMs(upstream: EdgeUpstream, facts: AdmissionContext): number {
    const requestsPerSecond = maxRequestRate(upstream, facts);
    if (requestsPerSecond === Infinity) {
      return 0;
    }
    this.refresh();
    const {clock, tolerance} = this.parts;
    const edges = this.peerHashes.length + 1;
    const shares = pacedShares({requestsPerSecond}, tolerance, edges);
    if (this.rankFor(upstream) >= shares.senders) {
      return Infinity;
    }
    // A former life of this edge may have sent one just before this one began.
    const last = this.lastSentAt.get(upstream.id) ?? this.startedAt;
    return Math.max(0, last + shares.gapMs - clock.now());
  }

  override admit({id}: EdgeUpstream): boolean {
    this.lastSentAt.set(id, this.parts.clock.now());
    return true;
  }

  override shareLimit(): void {}

  /** How many edges come before this one for an upstream. */
  private rankFor({hash}: EdgeUpstream): number {
    const own = rendezvousWeight(this.ownHash, hash);
    return this.peerHashes.filter((peer) => rendezvousWeight(peer, hash) > own)
      .length;
  }

  private refresh(): void {
    const edges = this.parts.peers();
    if (edges !== this.edges) {
      this.edges = edges;
      this.peerHashes = edges.map(({box}) => hashOf(box));
    }
  }
}
