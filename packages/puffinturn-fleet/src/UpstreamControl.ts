/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {Condition} from 'shared';

import type {DepartureAnnouncement} from './DepartureControl';
import {DepartureControl} from './DepartureControl';
import type {LimitReportsRequest} from './FleetMessages';
import {FLEET_SERVICE} from './FleetMessages';
import type {StateControlParts} from './StateControlParts';
import {UpstreamRefusals} from './UpstreamRefusals';
import type {Departure, UpstreamRecord} from './UpstreamTable';
import {UPSTREAM_STATE, UpstreamTable} from './UpstreamTable';
import {VersionControl} from './VersionControl';

/** Dependencies of an UpstreamControl. */
export interface UpstreamControlParts extends StateControlParts {
  /** Notified on every change that watching boxes have to receive. */
  readonly stateChanged: Condition;
}

/**
 * Keeps the upstreams known to a control box, from their heartbeats and deregistrations,
 * from the other control boxes, from the limits that edges report and from the log.
 */
export class UpstreamControl implements AsyncDisposable {
  /** Known upstreams. */
  readonly table = new UpstreamTable();
  private readonly departureControl: DepartureControl;
  private readonly versionControl: VersionControl;
  private readonly refusals: UpstreamRefusals;
  private readonly limitHandler: Disposable;

  constructor(private readonly parts: UpstreamControlParts) {
    const {clock, link, log} = parts;
    this.refusals = new UpstreamRefusals(clock, log);
    this.departureControl = new DepartureControl({
      ...parts,
      onStored: (departure) => this.applyDeparture(departure),
      upstreams: this.table,
    });
    this.versionControl = new VersionControl({
      ...parts,
      upstreams: this.table,
    });
    this.limitHandler = link.register(
      FLEET_SERVICE.reportLimits,
      async (body) => {
        this.recordLimits(body as LimitReportsRequest);
        return null;
      },
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.limitHandler[Symbol.dispose]();
    await this.departureControl[Symbol.asyncDispose]();
    await this.versionControl[Symbol.asyncDispose]();
    await this.refusals[Symbol.asyncDispose]();
  }

  /** Takes the departures that the log has brought into the table. */
  applyStoredDepartures(): void {
    this.departureControl.applyStored();
  }

  /** Records a heartbeat of an upstream; returns whether to acknowledge it. */
  async acceptHeartbeat(record: UpstreamRecord): Promise<boolean> {
    const {id, state} = record;
    const former = this.describeFormer(id);
    if (state === UPSTREAM_STATE.ready) {
      await this.versionControl.ensureStored(record);
    }
    this.mergeRecord(record);
    return (
      state === UPSTREAM_STATE.ready ||
      this.departureControl.store({...former, id, incarnation: record, state})
    );
  }

  /** Merges a record that a box or the upstream itself has sent. */
  mergeRecord(record: UpstreamRecord, source = 'heartbeat'): void {
    const {stateChanged, clock} = this.parts;
    const {revision} = this.table;
    const current = this.departureControl.withDeparture(record);
    if (this.table.merge(current, clock.now())) {
      this.logUpstreamChange(current, source);
    }
    if (this.table.revision > revision) {
      stateChanged.notify();
    }
  }

  /**
   * Marks an incarnation of an upstream as gone, the known one by default; returns whether
   * to acknowledge its deregistration.
   */
  async acceptDeregistration(id: string, bornAt?: number): Promise<boolean> {
    const former = this.describeFormer(id);
    if (this.table.markGone(id, this.parts.clock.now(), bornAt)) {
      this.publishDeparture(id, 'leave');
    }
    const incarnation = bornAt === undefined ? undefined : {bornAt};
    const state = UPSTREAM_STATE.gone;
    return this.departureControl.store({...former, id, incarnation, state});
  }

  /** Counts a rejected heartbeat; the known upstreams stay unchanged. */
  countRejectedHeartbeat(id: string, cause: string): void {
    this.refusals.recordRefusal(id, cause);
  }

  /** Records the limits that upstreams reported to an edge. */
  private recordLimits({box: source, reports}: LimitReportsRequest): void {
    const {stateChanged, clock, log} = this.parts;
    for (const {bornAt, id, limit} of reports) {
      if (this.table.updateLimit({bornAt, id}, limit, clock.now())) {
        const {perSecond, revision} = limit;
        const event = 'upstream-limited';
        log.note({event, perSecond, revision, source, upstream: id});
        stateChanged.notify();
      }
    }
  }

  private applyDeparture(departure: Departure): void {
    if (this.table.markDeparted(departure, this.parts.clock.now())) {
      this.publishDeparture(departure.id, 'log');
    }
  }

  private publishDeparture(id: string, source: string): void {
    const record = this.table.get(id);
    if (record !== undefined) {
      this.logUpstreamChange(record, source);
    }
    this.parts.stateChanged.notify();
  }

  /** What this box knows of an upstream that is about to change. */
  private describeFormer(
    id: string,
  ): Pick<DepartureAnnouncement, 'former' | 'formerAgeMs'> {
    const {table} = this;
    const formerAgeMs = table.recordAgeMs(id, this.parts.clock.now());
    return {former: table.getRegistered(id), formerAgeMs};
  }

  private logUpstreamChange(record: UpstreamRecord, source: string): void {
    const {address, bornAt, id, sequence, service, state} = record;
    this.parts.log.note({
      address,
      bornAt,
      event: 'upstream-changed',
      upstream: id,
      sequence,
      service,
      source,
      state,
    });
  }
}
