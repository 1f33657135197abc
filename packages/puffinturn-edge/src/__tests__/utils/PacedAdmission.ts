/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Admission by pacing without coordination, compared with permits in tests. */
import {LRUCache} from 'lru-cache';
import type {BoxRecord, ColdStart} from 'puffinturn-fleet';
import type {ColdTolerance} from 'puffinturn-permits';
import type {Clock} from 'shared';
import {hash32, rendezvousWeight} from 'shared';

import type {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import type {AdmissionContext} from '../../upstreams/UpstreamAdmission';
import {
  maxRequestRate,
  UpstreamAdmission,
} from '../../upstreams/UpstreamAdmission';

/** How edges share the rate limit of one upstream. */
export interface Pacing {
  /** Number of edges that may send to the upstream. */
  readonly senders: number;
  /** Minimum time between two requests of one sender, ms. */
  readonly intervalMs: number;
}

/** Options of a PacedAdmission. */
export interface PacedAdmissionOptions {
  readonly clock: Clock;
  /** Name of the local box. */
  readonly box: string;
  /** The other edges; returns a new array if the list has changed. */
  readonly peers: () => readonly BoxRecord[];
  readonly tolerance: ColdTolerance;
}

const SECOND_MS = 1_000;

/** Share of the maximum rate that is assigned to senders, from 0 to 1. */
const TARGET_UTILIZATION = 0.85;

/** Factor on the interval, so that rounding doesn't fit an extra request into a second. */
const INTERVAL_MARGIN = 1.03;

/** Maximum number of upstreams whose last request is tracked. */
const MAX_TRACKED_UPSTREAMS = 1_000;

/**
 * Computes senders and intervals such that no sender exceeds its share in any second and
 * all senders together stay within the rate limit.
 */
export function computePacing(
  {requestsPerSecond}: Pick<ColdStart, 'requestsPerSecond'>,
  {extra, overage}: ColdTolerance,
  edges: number,
): Pacing {
  const maxPerSecond = requestsPerSecond * overage + extra;
  const sharedPerSecond = Math.max(
    1,
    Math.floor(maxPerSecond * TARGET_UTILIZATION),
  );
  const senders = Math.min(Math.max(1, edges), sharedPerSecond);
  const perSenderRate = Math.floor(sharedPerSecond / senders);
  const minIntervalMs = SECOND_MS / perSenderRate;
  const meanIntervalMs = (SECOND_MS * senders) / requestsPerSecond;
  return {
    intervalMs: Math.max(minIntervalMs, meanIntervalMs) * INTERVAL_MARGIN,
    senders,
  };
}

/**
 * Lets a few edges, chosen by rendezvous hashing, send to a rate-limited upstream. Each
 * sender paces its requests independently.
 */
export class PacedAdmission extends UpstreamAdmission {
  private readonly lastSentAt = new LRUCache<string, number>({
    max: MAX_TRACKED_UPSTREAMS,
  });
  private readonly startedAt: number;
  private knownPeers: readonly BoxRecord[] | undefined;
  private readonly ownHash: number;
  private peerHashes: readonly number[] = [];

  constructor(private readonly options: PacedAdmissionOptions) {
    super();
    this.startedAt = options.clock.now();
    this.ownHash = hash32(options.box);
  }

  override waitMs(upstream: EdgeUpstream, context: AdmissionContext): number {
    const requestsPerSecond = maxRequestRate(upstream, context);
    if (requestsPerSecond === Infinity) {
      return 0;
    }
    this.refreshPeers();
    const {clock, tolerance} = this.options;
    const edges = this.peerHashes.length + 1;
    const pacing = computePacing({requestsPerSecond}, tolerance, edges);
    if (this.senderRank(upstream) >= pacing.senders) {
      return Infinity;
    }
    // A previous incarnation of this edge may have sent a request just before the restart.
    const lastAt = this.lastSentAt.get(upstream.id) ?? this.startedAt;
    return Math.max(0, lastAt + pacing.intervalMs - clock.now());
  }

  override admit({id}: EdgeUpstream): boolean {
    this.lastSentAt.set(id, this.options.clock.now());
    return true;
  }

  override shareLimit(): void {}

  /** Number of edges ranked before this one as senders to an upstream. */
  private senderRank({hash}: EdgeUpstream): number {
    const ownWeight = rendezvousWeight(this.ownHash, hash);
    return this.peerHashes.filter(
      (peer) => rendezvousWeight(peer, hash) > ownWeight,
    ).length;
  }

  private refreshPeers(): void {
    const peers = this.options.peers();
    if (peers !== this.knownPeers) {
      this.knownPeers = peers;
      this.peerHashes = peers.map(({box}) => hash32(box));
    }
  }
}
