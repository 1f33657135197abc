/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** All upstreams that an edge may send to, by service. */
import type {DecisionLog} from 'puffinturn-decisions';
import type {Evacuations, UpstreamRecord} from 'puffinturn-fleet';
import {
  compareLives,
  NO_EVACUATIONS,
  UPSTREAM_STATE,
  UpstreamTable,
} from 'puffinturn-fleet';
import type {UpstreamLimit} from 'puffinturn-permits';
import {NO_LIMIT, rateOf} from 'puffinturn-permits';
import type {Clock} from 'shared';

import {EdgeUpstream} from './EdgeUpstream';

/** Part of errors above which an upstream may be grey. */
const GREY_RATE = 0.15;

/** How many times its siblings' part of errors a grey upstream exceeds. */
const GREY_FACTOR = 1.5;

/**
 * The part of errors above which one of the upstreams that serve a service fails
 * far more requests than its siblings do. Errors that all of them answer alike
 * come from the requests, not from an upstream.
 */
export function greyErrorRate(serving: readonly EdgeUpstream[]): number {
  if (serving.every(({errorRate}) => errorRate <= GREY_RATE)) {
    return GREY_RATE;
  }
  const rates = serving.map(({errorRate}) => errorRate).sort((a, b) => a - b);
  const median = rates[Math.floor((rates.length - 1) / 2)] ?? 0;
  return GREY_RATE + GREY_FACTOR * median;
}

/** See the module comment. */
export class UpstreamPool implements Disposable {
  private readonly table = new UpstreamTable();
  private readonly byId = new Map<string, EdgeUpstream>();
  private readonly byService = new Map<string, EdgeUpstream[]>();
  /** Upstreams at each address, the one that was heard of last at the end. */
  private readonly byAddress = new Map<string, EdgeUpstream[]>();
  /** Those that are gone and may have requests open. */
  private readonly retired = new Set<EdgeUpstream>();
  /** Upstreams that take new requests, kept until any upstream changes. */
  private readonly servingLists = new Map<string, readonly EdgeUpstream[]>();
  private evacuated = NO_EVACUATIONS;

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
  ) {}

  /** Takes records in that some control box passed on. */
  merge(records: readonly UpstreamRecord[], source: string): void {
    for (const record of records) {
      if (this.table.merge(record, this.clock.now())) {
        this.note(record, source);
      }
      const merged = this.table.get(record.id);
      if (merged !== undefined) {
        this.take(merged);
        this.learnLimit(record.id, merged.limit ?? NO_LIMIT, source);
      }
    }
  }

  /** Every record, also of upstreams that are gone. */
  records(): UpstreamRecord[] {
    return this.table.records();
  }

  /** The evacuations in force here. */
  get evacuations(): Evacuations {
    return this.evacuated;
  }

  /**
   * Puts evacuations in force, unless newer ones are. Upstreams of a hall that is
   * in service again may have turned cold in the meantime, before any heartbeat
   * of theirs told so: they are taken to be as cold as after a start.
   */
  evacuate(
    found: Evacuations,
    source: string,
    coldMsOf: (service: string) => number,
  ): void {
    const {halls, revision} = this.evacuated;
    if (found.revision <= revision) {
      return;
    }
    this.evacuated = found;
    this.servingLists.clear();
    const returned = halls.filter((hall) => !found.halls.includes(hall));
    const now = this.clock.now();
    for (const upstream of this.byId.values()) {
      if (returned.includes(upstream.record.hall)) {
        upstream.turnsCold(now + coldMsOf(upstream.record.service));
      }
    }
    this.log.note({
      event: 'evacuations-adopted',
      former: revision,
      halls: found.halls,
      revision: found.revision,
      source,
    });
  }

  /** Upstreams of a service that take new requests. */
  serving(service: string): readonly EdgeUpstream[] {
    const known = this.servingLists.get(service);
    if (known !== undefined) {
      return known;
    }
    const found = this.findServing(service);
    this.servingLists.set(service, found);
    return found;
  }

  private findServing(service: string): readonly EdgeUpstream[] {
    const {halls} = this.evacuated;
    return (this.byService.get(service) ?? []).filter(
      (upstream) =>
        upstream.serves &&
        this.isNewest(upstream) &&
        !halls.includes(upstream.record.hall),
    );
  }

  /**
   * Whether no incarnation that was heard of later serves at the same address.
   * Of two of them at most one lives: mostly the later one, unless a word of the
   * former was held up on its way. Then it turns a request away, and the other
   * one counts again. Saves a request that is turned away at each edge for each
   * upstream that crashed and came back.
   */
  private isNewest(upstream: EdgeUpstream): boolean {
    const siblings = this.byAddress.get(upstream.record.address) ?? [];
    const newest = siblings.findLast(({serves}) => serves);
    return newest === undefined || newest === upstream;
  }

  /** Whether an upstream fails far more requests than its siblings do. */
  isGrey({errorRate, record}: EdgeUpstream): boolean {
    return errorRate > greyErrorRate(this.serving(record.service));
  }

  /** Requests of this edge open at upstreams of any version but the given one. */
  openBesides(service: string, version: string): number {
    const upstreams = [...(this.byService.get(service) ?? []), ...this.retired];
    return upstreams
      .filter(({record}) => record.service === service)
      .filter(({record}) => record.version !== version)
      .reduce((sum, {inFlight}) => sum + inFlight, 0);
  }

  /** Notes what an upstream has said of its limit, for edges that take over from here. */
  noteLimit({id, limits, record: {bornAt}}: EdgeUpstream): void {
    this.table.hearLimit({bornAt, id}, limits.limit, this.clock.now());
  }

  /** What is known of an upstream's limit here. */
  limitOf(id: string): UpstreamLimit {
    return this.byId.get(id)?.limits.limit ?? NO_LIMIT;
  }

  /** How many upstreams name a limit. */
  get limitedUpstreams(): number {
    return this.all().filter(({limits}) => rateOf(limits.limit) < Infinity)
      .length;
  }

  /** Takes over what another box knows of an upstream's limit. */
  learnLimit(id: string, found: UpstreamLimit, source: string): void {
    const upstream = this.byId.get(id);
    if (upstream?.limits.learn(found) !== true) {
      return;
    }
    this.noteLimit(upstream);
    const {perSecond, revision} = upstream.limits.limit;
    const event = 'upstream-limited';
    this.log.note({event, perSecond, revision, source, upstream: id});
  }

  /** Ends all idle connections: they may have ended at the other end, unheard. */
  dropIdle(): void {
    for (const {connections} of this.byId.values()) {
      connections.dropIdle();
    }
  }

  /** Every upstream known. */
  all(): EdgeUpstream[] {
    return [...this.byId.values()];
  }

  [Symbol.dispose](): void {
    for (const upstream of [...this.byId.values(), ...this.retired]) {
      upstream[Symbol.dispose]();
    }
  }

  private take(record: UpstreamRecord): void {
    const known = this.byId.get(record.id);
    this.endFormerLives(record);
    if (known !== undefined && compareLives(record, known.record) !== 0) {
      this.replace(known, record);
    } else if (record.state === UPSTREAM_STATE.gone) {
      this.drop(record.id);
    } else if (known !== undefined && isSamePlace(known.record, record)) {
      if (isListedOtherwise(known.record, record)) {
        this.servingLists.clear();
      }
      known.record = record;
      known.turnsCold(this.table.coldUntil(record.id));
    } else {
      this.drop(record.id);
      this.add(record).goesOnAs(known);
    }
  }

  private replace(former: EdgeUpstream, record: UpstreamRecord): void {
    this.log.note({
      bornAt: record.bornAt,
      event: 'upstream-restarted',
      former: former.record.bornAt,
      open: former.inFlight,
      upstream: record.id,
    });
    former.isSupplanted();
    this.drop(record.id);
    this.endFormerLives(record);
    if (record.state !== UPSTREAM_STATE.gone) {
      this.add(record).isAskedAs(former);
    }
  }

  /**
   * Ends all that this edge has open with former lives: their connections lead to
   * processes that are over, and may be silent for good.
   */
  private endFormerLives(record: UpstreamRecord): void {
    for (const upstream of this.retired) {
      const {id, record: former} = upstream;
      if (id === record.id && compareLives(former, record) < 0) {
        this.retired.delete(upstream);
        upstream[Symbol.dispose]();
      }
    }
  }

  private add(record: UpstreamRecord): EdgeUpstream {
    const upstream = new EdgeUpstream(record, this.clock, this.log, () =>
      this.servingLists.clear(),
    );
    upstream.turnsCold(this.table.coldUntil(record.id));
    this.servingLists.clear();
    this.byId.set(record.id, upstream);
    addTo(this.byService, record.service, upstream);
    addTo(this.byAddress, record.address, upstream);
    return upstream;
  }

  private drop(id: string): void {
    const upstream = this.byId.get(id);
    if (upstream === undefined) {
      return;
    }
    this.byId.delete(id);
    this.servingLists.clear();
    removeFrom(this.byService, upstream.record.service, upstream);
    removeFrom(this.byAddress, upstream.record.address, upstream);
    upstream.record = {...upstream.record, state: UPSTREAM_STATE.gone};
    upstream.retire();
    this.forgetEnded();
    this.retired.add(upstream);
  }

  private forgetEnded(): void {
    for (const upstream of this.retired) {
      if (upstream.inFlight === 0) {
        this.retired.delete(upstream);
      }
    }
  }

  private note(record: UpstreamRecord, source: string): void {
    const {address, bornAt, id: upstream, sequence, service, state} = record;
    this.log.note({
      address,
      bornAt,
      event: 'upstream-changed',
      upstream,
      sequence,
      service,
      source,
      state,
    });
  }
}

/** Whether one life still serves the same service where it did. */
function isSamePlace(a: UpstreamRecord, b: UpstreamRecord): boolean {
  return a.address === b.address && a.service === b.service;
}

/** Whether lists of upstreams that take new requests may differ with a record. */
function isListedOtherwise(a: UpstreamRecord, b: UpstreamRecord): boolean {
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
  const left = (lists.get(key) ?? []).filter((other) => other !== upstream);
  if (left.length === 0) {
    lists.delete(key);
  } else {
    lists.set(key, left);
  }
}
