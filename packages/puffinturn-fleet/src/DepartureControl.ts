/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {Condition} from 'shared';
import {TaskGroup} from 'shared';

import type {DepartureOutcome} from './DepartureRegistry';
import type {DepartureReply, DepartureRequest} from './FleetMessages';
import {DEPARTURE_OUTCOME, FLEET_SERVICE} from './FleetMessages';
import type {StateControlParts} from './StateControlParts';
import type {
  Departure,
  UpstreamIncarnation,
  UpstreamRecord,
  UpstreamState,
  UpstreamTable,
} from './UpstreamTable';
import {compareIncarnations, UPSTREAM_STATE} from './UpstreamTable';

/**
 * Time limit of a departure, ms. Upstreams call another control box after 1 s without a
 * response.
 */
const DEPARTURE_TIMEOUT_MS = 800;

/** Dependencies of a DepartureControl. */
export interface DepartureControlParts extends StateControlParts {
  /** Called for every stored departure after any of them has changed. */
  readonly onStored: (departure: Departure) => void;
  /** Notified on every change of the machine. */
  readonly stateChanged: Condition;
  readonly upstreams: UpstreamTable;
}

/** An upstream's announcement that it leaves, and what this box knew of it before. */
export interface DepartureAnnouncement {
  readonly id: string;
  /** The incarnation that leaves; undefined if the announcement does not name it. */
  readonly incarnation: UpstreamIncarnation | undefined;
  /** The announced state. */
  readonly state: UpstreamState;
  readonly former: UpstreamRecord | undefined;
  /** Age of the former record, ms. */
  readonly formerAgeMs: number | undefined;
}

/**
 * Handles departures of upstreams at a control box. A departure is acknowledged once a
 * quorum has stored it in the replicated log, so that every control box, also one that
 * starts later, keeps the upstream out of service.
 */
export class DepartureControl implements AsyncDisposable {
  private appliedRevision = 0;
  private readonly handler: Disposable;
  private readonly tasks = new TaskGroup();

  constructor(private readonly parts: DepartureControlParts) {
    this.handler = parts.link.register(FLEET_SERVICE.recordDeparture, (body) =>
      this.storeAsLeader(body as DepartureRequest),
    );
    this.tasks.start((signal) => this.applyDepartures(signal));
  }

  /** The record as this box must treat it: an upstream that has departed is not ready. */
  withDeparture(record: UpstreamRecord): UpstreamRecord {
    const isReady = record.state === UPSTREAM_STATE.ready;
    return isReady && this.hasDeparted(record)
      ? {...record, state: UPSTREAM_STATE.draining}
      : record;
  }

  /** Stores a departure; returns whether a quorum has stored it. */
  async store(announcement: DepartureAnnouncement): Promise<boolean> {
    const {clock, leader, log, replica} = this.parts;
    const {former, formerAgeMs, id, incarnation, state} = announcement;
    if (incarnation && this.hasDeparted({...incarnation, id})) {
      return true;
    }
    const startedAt = clock.now();
    const request: DepartureRequest = {id, incarnation, latestKnown: former};
    const {outcome} = await leader.runOnLeader<DepartureReply>(
      FLEET_SERVICE.recordDeparture,
      request,
      {outcome: DEPARTURE_OUTCOME.leaderUnreachable},
      () => this.storeAsLeader(request),
      DEPARTURE_TIMEOUT_MS,
    );
    log.note({
      bornAt: incarnation?.bornAt,
      event: 'departure-decided',
      former: former?.state,
      formerAgeMs,
      leader: replica.activeLeaderBox,
      outcome,
      state,
      tookMs: Math.round(clock.now() - startedAt),
      upstream: id,
    });
    return outcome === DEPARTURE_OUTCOME.acknowledged;
  }

  /** Passes on the departures that the log has brought since the last call. */
  applyStored(): void {
    const {clock, machine, onStored} = this.parts;
    const {departures} = machine;
    if (departures.revision <= this.appliedRevision) {
      return;
    }
    this.appliedRevision = departures.revision;
    for (const departure of departures.list(clock.wallTime())) {
      onStored(departure);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.handler[Symbol.dispose]();
    this.tasks.abort();
    this.parts.stateChanged.notify();
    await this.tasks[Symbol.asyncDispose]();
  }

  private async storeAsLeader({
    id,
    incarnation,
    latestKnown,
  }: DepartureRequest): Promise<DepartureReply> {
    const {clock, leader, upstreams} = this.parts;
    const leaving =
      incarnation ??
      latestIncarnation(latestKnown, upstreams.getRegistered(id));
    if (leaving === undefined) {
      return {outcome: DEPARTURE_OUTCOME.unknownUpstream};
    }
    const departure = {bornAt: leaving.bornAt, id};
    if (this.hasDeparted(departure)) {
      return {outcome: DEPARTURE_OUTCOME.acknowledged};
    }
    const stored = await leader.propose<DepartureOutcome>(
      {at: clock.wallTime(), departure, kind: 'departure'},
      DEPARTURE_TIMEOUT_MS,
    );
    return stored.match(
      () => ({outcome: DEPARTURE_OUTCOME.acknowledged}),
      ({kind}) => ({outcome: kind}),
    );
  }

  private hasDeparted(incarnation: Departure): boolean {
    const {clock, machine} = this.parts;
    return machine.departures.has(incarnation, clock.wallTime());
  }

  private async applyDepartures(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.applyStored();
      await this.parts.stateChanged.wait();
    }
  }
}

/** The later one of two incarnations; undefined if none is known. */
function latestIncarnation(
  a: UpstreamIncarnation | undefined,
  b: UpstreamIncarnation | undefined,
): UpstreamIncarnation | undefined {
  if (a === undefined || b === undefined) {
    return a ?? b;
  }
  return compareIncarnations(a, b) >= 0 ? a : b;
}
