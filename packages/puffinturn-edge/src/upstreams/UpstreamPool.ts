/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Upstreams known to an edge, by service. */
import type {DecisionLog} from 'puffinturn-decisions';
import type {Evacuations, UpstreamRecord} from 'puffinturn-fleet';
import {
  compareIncarnations,
  DEFAULT_STREAM_LIFETIME_MS,
  NO_EVACUATIONS,
  UPSTREAM_STATE,
  UpstreamTable,
  upstreamVersion,
} from 'puffinturn-fleet';
import type {UpstreamRateLimit} from 'puffinturn-permits';
import {maxRequestsPerSecond, NO_LIMIT} from 'puffinturn-permits';
import type {Clock} from 'shared';

import {VersionHistory} from '../streams/VersionHistory';
import {EdgeUpstream} from './EdgeUpstream';

/** Traffic between this edge and the upstreams of one service. */
export interface ServiceTraffic {
  /** Number of reads over direct connections to the present upstreams. */
  readonly reads: number;
  /** Requests in flight. */
  readonly requests: number;
  /** Upstreams that have some of them. */
  readonly upstreams: number;
}

/** Error rate above which an upstream may be degraded, from 0 to 1. */
const MIN_DEGRADED_ERROR_RATE = 0.15;

/** Multiple of the median error rate that is added to the threshold. */
const DEGRADED_MEDIAN_FACTOR = 1.5;

/**
 * Error rate above which an upstream of a service counts as degraded. It rises with the
 * median rate, because errors common to all upstreams are caused by the requests.
 */
export function degradedErrorThreshold(
  serving: readonly EdgeUpstream[],
): number {
  if (serving.every(({errorRate}) => errorRate <= MIN_DEGRADED_ERROR_RATE)) {
    return MIN_DEGRADED_ERROR_RATE;
  }
  const rates = serving.map(({errorRate}) => errorRate).sort((a, b) => a - b);
  const median = rates[Math.floor((rates.length - 1) / 2)] ?? 0;
  return MIN_DEGRADED_ERROR_RATE + DEGRADED_MEDIAN_FACTOR * median;
}

/**
 * Merges the records of upstreams from control boxes and lists the upstreams that serve a
 * service. Disposing it closes all connections.
 */
export class UpstreamPool implements Disposable {
  private readonly table = new UpstreamTable();
  private readonly byId = new Map<string, EdgeUpstream>();
  private readonly byService = new Map<string, EdgeUpstream[]>();
  /** Upstreams by address, the most recently added one last. */
  private readonly byAddress = new Map<string, EdgeUpstream[]>();
  /** Removed upstreams that may still have requests in flight. */
  private readonly removed = new Set<EdgeUpstream>();
  /** Serving upstreams by service, cached until any upstream changes. */
  private readonly servingCache = new Map<string, readonly EdgeUpstream[]>();
  private activeEvacuations = NO_EVACUATIONS;

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
    /** The versions that services have had lately. */
    readonly versions = new VersionHistory(
      clock,
      () => DEFAULT_STREAM_LIFETIME_MS,
    ),
  ) {}

  /** Merges records received from the control box `source`. */
  merge(records: readonly UpstreamRecord[], source: string): void {
    this.mergeRecords(records, source);
    this.versions.update(this.table.records());
  }

  private mergeRecords(
    records: readonly UpstreamRecord[],
    source: string,
  ): void {
    for (const record of records) {
      if (this.table.merge(record, this.clock.now())) {
        this.logChange(record, source);
      }
      const merged = this.table.get(record.id);
      if (merged !== undefined) {
        this.applyRecord(merged);
        this.mergeLimit(record.id, merged.limit ?? NO_LIMIT, source);
      }
    }
  }

  /** Whether all upstreams of a version that are known here leave or have left. */
  hasVersionLeft(service: string, version: string): boolean {
    const known = this.table
      .records()
      .filter((record) => record.service === service)
      .filter((record) => upstreamVersion(record) === version);
    return (
      known.length > 0 &&
      known.every(({state}) => state !== UPSTREAM_STATE.ready)
    );
  }

  /** All records, including those of upstreams that are gone. */
  records(): UpstreamRecord[] {
    return this.table.records();
  }

  /** The evacuations in effect. */
  get evacuations(): Evacuations {
    return this.activeEvacuations;
  }

  /**
   * Applies evacuations unless a newer revision is in effect. Upstreams of a hall that
   * returns to service are treated as freshly started: they may have become cold without
   * a heartbeat having reported it.
   */
  applyEvacuations(
    update: Evacuations,
    source: string,
    coldMsOf: (service: string) => number,
  ): void {
    const {halls, revision} = this.activeEvacuations;
    if (update.revision <= revision) {
      return;
    }
    this.activeEvacuations = update;
    this.servingCache.clear();
    const returnedHalls = halls.filter((hall) => !update.halls.includes(hall));
    const now = this.clock.now();
    for (const upstream of this.byId.values()) {
      if (returnedHalls.includes(upstream.record.hall)) {
        upstream.markCold(now + coldMsOf(upstream.record.service));
      }
    }
    this.log.note({
      event: 'evacuations-adopted',
      former: revision,
      halls: update.halls,
      revision: update.revision,
      source,
    });
  }

  /** Upstreams of a service that accept new requests. */
  servingUpstreams(service: string): readonly EdgeUpstream[] {
    const cached = this.servingCache.get(service);
    if (cached !== undefined) {
      return cached;
    }
    const upstreams = this.findServing(service);
    this.servingCache.set(service, upstreams);
    return upstreams;
  }

  private findServing(service: string): readonly EdgeUpstream[] {
    const {halls} = this.activeEvacuations;
    return (this.byService.get(service) ?? []).filter(
      (upstream) =>
        upstream.isServing &&
        this.isLatestAtAddress(upstream) &&
        !halls.includes(upstream.record.hall),
    );
  }

  /**
   * Whether the upstream is the most recently added one that serves at its address. This
   * avoids requests to a crashed upstream whose address was reused. If upstreams were
   * added in the wrong order, the first rejected request marks the other as replaced.
   */
  private isLatestAtAddress(upstream: EdgeUpstream): boolean {
    const siblings = this.byAddress.get(upstream.record.address) ?? [];
    const latest = siblings.findLast(({isServing}) => isServing);
    return latest === undefined || latest === upstream;
  }

  /** Whether the error rate of an upstream is far above that of its service. */
  isDegraded({errorRate, record}: EdgeUpstream): boolean {
    return (
      errorRate > degradedErrorThreshold(this.servingUpstreams(record.service))
    );
  }

  /**
   * Requests of this edge in flight at upstreams of other versions than the given one.
   */
  inFlightOnOtherVersions(service: string, version: string): number {
    const upstreams = [...(this.byService.get(service) ?? []), ...this.removed];
    return upstreams
      .filter(({record}) => record.service === service)
      .filter(({record}) => record.version !== version)
      .reduce((sum, {inFlight}) => sum + inFlight, 0);
  }

  /**
   * Stores the rate limit of an upstream in its record, for the handover to another
   * edge.
   */
  recordLimit({id, limits, record: {bornAt}}: EdgeUpstream): void {
    this.table.updateLimit({bornAt, id}, limits.limit, this.clock.now());
  }

  /** The known rate limit of an upstream. */
  limitOf(id: string): UpstreamRateLimit {
    return this.byId.get(id)?.limits.limit ?? NO_LIMIT;
  }

  /** Number of upstreams that state a rate limit. */
  get limitedUpstreamCount(): number {
    return this.all().filter(
      ({limits}) => maxRequestsPerSecond(limits.limit) < Infinity,
    ).length;
  }

  /** Adopts the rate limit of an upstream from another box if it is newer. */
  mergeLimit(id: string, learned: UpstreamRateLimit, source: string): void {
    const upstream = this.byId.get(id);
    if (upstream?.limits.merge(learned) !== true) {
      return;
    }
    this.recordLimit(upstream);
    const {perSecond, revision} = upstream.limits.limit;
    const event = 'upstream-limited';
    this.log.note({event, perSecond, revision, source, upstream: id});
  }

  /** Closes all idle connections, which the peers may have closed unnoticed. */
  closeIdleConnections(): void {
    for (const {connections} of this.byId.values()) {
      connections.closeIdle();
    }
  }

  /** Names of the services that have upstreams. */
  services(): readonly string[] {
    return [...this.byService.keys()];
  }

  /** Requests of this edge in flight at a service, and reads from it since the start. */
  trafficOf(service: string): ServiceTraffic {
    let reads = 0;
    let requests = 0;
    let upstreams = 0;
    for (const {connections, inFlight} of this.byService.get(service) ?? []) {
      reads += connections.readCount;
      requests += inFlight;
      upstreams += inFlight > 0 ? 1 : 0;
    }
    return {reads, requests, upstreams};
  }

  /** The upstream with an id; undefined if it is unknown or was removed. */
  find(id: string): EdgeUpstream | undefined {
    return this.byId.get(id);
  }

  /** All known upstreams, except removed ones. */
  all(): EdgeUpstream[] {
    return [...this.byId.values()];
  }

  [Symbol.dispose](): void {
    for (const upstream of [...this.byId.values(), ...this.removed]) {
      upstream[Symbol.dispose]();
    }
  }

  private applyRecord(record: UpstreamRecord): void {
    const known = this.byId.get(record.id);
    this.disposePreviousIncarnations(record);
    if (
      known !== undefined &&
      compareIncarnations(record, known.record) !== 0
    ) {
      this.replaceIncarnation(known, record);
    } else if (record.state === UPSTREAM_STATE.gone) {
      known?.markDeregistered();
      this.remove(record.id);
    } else if (
      known !== undefined &&
      hasSameAddressAndService(known.record, record)
    ) {
      if (affectsServingList(known.record, record)) {
        this.servingCache.clear();
      }
      known.updateRecord(record);
      known.markCold(this.table.coldUntil(record.id));
    } else {
      this.remove(record.id);
      this.add(record).inheritStateFrom(known);
    }
  }

  private replaceIncarnation(
    previous: EdgeUpstream,
    record: UpstreamRecord,
  ): void {
    const {inFlight} = previous;
    previous.markSuperseded();
    this.remove(record.id);
    this.disposePreviousIncarnations(record);
    const isGone = record.state === UPSTREAM_STATE.gone;
    const next = isGone ? undefined : this.add(record);
    next?.inheritSignalsFrom(previous);
    this.log.note({
      bornAt: record.bornAt,
      event: 'upstream-restarted',
      former: previous.record.bornAt,
      leaving: next?.hasInheritedDrain ?? isGone,
      open: inFlight,
      upstream: record.id,
    });
  }

  /**
   * Closes all connections to previous incarnations. Their processes have ended, and a
   * request that is still open there might never complete.
   */
  private disposePreviousIncarnations(record: UpstreamRecord): void {
    for (const upstream of this.removed) {
      const {id, record: removedRecord} = upstream;
      if (id === record.id && compareIncarnations(removedRecord, record) < 0) {
        this.removed.delete(upstream);
        upstream[Symbol.dispose]();
      }
    }
  }

  private add(record: UpstreamRecord): EdgeUpstream {
    const upstream = new EdgeUpstream(
      record,
      this.clock,
      this.log,
      () => this.servingCache.clear(),
      () => this.replaceOthersAtAddress(upstream),
    );
    upstream.markCold(this.table.coldUntil(record.id));
    this.servingCache.clear();
    this.byId.set(record.id, upstream);
    addTo(this.byService, record.service, upstream);
    addTo(this.byAddress, record.address, upstream);
    return upstream;
  }

  /**
   * Marks the other upstreams at the address of one that has responded as replaced: a
   * crashed process sends no deregistration, and each request to it would be wasted.
   */
  private replaceOthersAtAddress(upstream: EdgeUpstream): void {
    for (const other of this.byAddress.get(upstream.record.address) ?? []) {
      if (other !== upstream && other.isServing) {
        other.markReplaced();
      }
    }
  }

  private remove(id: string): void {
    const upstream = this.byId.get(id);
    if (upstream === undefined) {
      return;
    }
    this.byId.delete(id);
    this.servingCache.clear();
    removeFrom(this.byService, upstream.record.service, upstream);
    removeFrom(this.byAddress, upstream.record.address, upstream);
    upstream.markGone();
    upstream.drainConnections();
    this.forgetFinished();
    this.removed.add(upstream);
  }

  private forgetFinished(): void {
    for (const upstream of this.removed) {
      if (upstream.inFlight === 0) {
        this.removed.delete(upstream);
      }
    }
  }

  private logChange(record: UpstreamRecord, source: string): void {
    const {
      address,
      bornAt,
      id: upstream,
      sequence,
      service,
      state,
      version,
    } = record;
    this.log.note({
      address,
      bornAt,
      event: 'upstream-changed',
      upstream,
      sequence,
      service,
      source,
      state,
      version,
    });
  }
}

function hasSameAddressAndService(
  a: UpstreamRecord,
  b: UpstreamRecord,
): boolean {
  return a.address === b.address && a.service === b.service;
}

/** Whether a changed record may change the list of serving upstreams. */
function affectsServingList(a: UpstreamRecord, b: UpstreamRecord): boolean {
  return a.hall !== b.hall || a.state !== b.state;
}

function addTo(
  lists: Map<string, EdgeUpstream[]>,
  key: string,
  upstream: EdgeUpstream,
): void {
  lists.set(key, [...(lists.get(key) ?? []), upstream]);
}

function removeFrom(
  lists: Map<string, EdgeUpstream[]>,
  key: string,
  upstream: EdgeUpstream,
): void {
  const remaining = (lists.get(key) ?? []).filter(
    (other) => other !== upstream,
  );
  if (remaining.length === 0) {
    lists.delete(key);
  } else {
    lists.set(key, remaining);
  }
}
