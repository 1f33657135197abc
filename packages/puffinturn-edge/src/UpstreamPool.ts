/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** All upstreams that an edge may send to, by service. */
import type {DecisionLog} from 'puffinturn-decisions';
import type {UpstreamRecord} from 'puffinturn-fleet';
import {UPSTREAM_STATE, UpstreamTable} from 'puffinturn-fleet';
import type {Clock} from 'shared';

import {EdgeUpstream} from './EdgeUpstream';

/** Part of errors above which an upstream may be grey. */
const GREY_RATE = 0.15;

/** How many times its siblings' part of errors a grey upstream exceeds. */
const GREY_FACTOR = 1.5;

/** See the module comment. */
export class UpstreamPool implements Disposable {
  private readonly table = new UpstreamTable();
  private readonly byId = new Map<string, EdgeUpstream>();
  private readonly byService = new Map<string, EdgeUpstream[]>();

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
      }
    }
  }

  /** Every record, also of incarnations that are gone. */
  records(): UpstreamRecord[] {
    return this.table.records();
  }

  /** Upstreams of a service that take new requests. */
  serving(service: string): EdgeUpstream[] {
    return (this.byService.get(service) ?? []).filter(({serves}) => serves);
  }

  /**
   * The part of errors above which an upstream of a service fails far more
   * requests than its siblings do. Errors that all of them answer alike come
   * from the requests, not from an upstream.
   */
  greyErrorRate(service: string): number {
    const serving = this.serving(service);
    if (serving.every(({errorRate}) => errorRate <= GREY_RATE)) {
      return GREY_RATE;
    }
    const rates = serving.map(({errorRate}) => errorRate).sort((a, b) => a - b);
    const median = rates[Math.floor((rates.length - 1) / 2)] ?? 0;
    return GREY_RATE + GREY_FACTOR * median;
  }

  /** Whether an upstream fails far more requests than its siblings do. */
  isGrey({errorRate, record}: EdgeUpstream): boolean {
    return errorRate > this.greyErrorRate(record.service);
  }

  /** Every upstream known. */
  all(): EdgeUpstream[] {
    return [...this.byId.values()];
  }

  [Symbol.dispose](): void {
    for (const upstream of this.byId.values()) {
      upstream[Symbol.dispose]();
    }
  }

  private take(record: UpstreamRecord): void {
    const known = this.byId.get(record.id);
    if (record.state === UPSTREAM_STATE.gone) {
      this.drop(record.id);
      return;
    }
    if (known !== undefined && known.record.address === record.address) {
      known.record = record;
      return;
    }
    this.drop(record.id);
    const upstream = new EdgeUpstream(record, this.clock, this.log);
    this.byId.set(record.id, upstream);
    const siblings = this.byService.get(record.service) ?? [];
    siblings.push(upstream);
    this.byService.set(record.service, siblings);
  }

  private drop(id: string): void {
    const upstream = this.byId.get(id);
    if (upstream === undefined) {
      return;
    }
    this.byId.delete(id);
    const {service} = upstream.record;
    const siblings = this.byService.get(service) ?? [];
    this.byService.set(
      service,
      siblings.filter((sibling) => sibling !== upstream),
    );
    upstream.record = {...upstream.record, state: UPSTREAM_STATE.gone};
    upstream.retire();
  }

  private note(record: UpstreamRecord, source: string): void {
    const {address, id: upstream, sequence, service, state} = record;
    this.log.note({
      address,
      event: 'upstream-changed',
      upstream,
      sequence,
      service,
      source,
      state,
    });
  }
}
