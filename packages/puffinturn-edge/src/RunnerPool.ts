/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** All runners that an edge may send to, by service. */
import type {DecisionLog} from 'puffinturn-decisions';
import type {RunnerRecord} from 'puffinturn-fleet';
import {RUNNER_STATE, RunnerTable} from 'puffinturn-fleet';
import type {Clock} from 'shared';

import {EdgeRunner} from './EdgeRunner';

/** Part of errors above which a runner may be grey. */
const GREY_RATE = 0.15;

/** How many times its siblings' part of errors a grey runner exceeds. */
const GREY_FACTOR = 1.5;

/** See the module comment. */
export class RunnerPool implements Disposable {
  private readonly table = new RunnerTable();
  private readonly byId = new Map<string, EdgeRunner>();
  private readonly byService = new Map<string, EdgeRunner[]>();

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
  ) {}

  /** Takes records in that some control box passed on. */
  merge(records: readonly RunnerRecord[], source: string): void {
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

  /** Runners of a service that take new requests. */
  serving(service: string): EdgeRunner[] {
    return (this.byService.get(service) ?? []).filter(({serves}) => serves);
  }

  /**
   * The part of errors above which a runner of a service fails far more
   * requests than its siblings do. Errors that all of them answer alike come
   * from the requests, not from a runner.
   */
  greyErrorRate(service: string): number {
    const rates = this.serving(service)
      .map(({errorRate}) => errorRate)
      .sort((a, b) => a - b);
    const median = rates[Math.floor((rates.length - 1) / 2)] ?? 0;
    return GREY_RATE + GREY_FACTOR * median;
  }

  /** Whether a runner fails far more requests than its siblings do. */
  isGrey({errorRate, record}: EdgeRunner): boolean {
    return errorRate > this.greyErrorRate(record.service);
  }

  /** Every runner known. */
  all(): EdgeRunner[] {
    return [...this.byId.values()];
  }

  [Symbol.dispose](): void {
    for (const runner of this.byId.values()) {
      runner[Symbol.dispose]();
    }
  }

  private take(record: RunnerRecord): void {
    const known = this.byId.get(record.id);
    if (record.state === RUNNER_STATE.gone) {
      this.drop(record.id);
      return;
    }
    if (known !== undefined && known.record.address === record.address) {
      known.record = record;
      return;
    }
    this.drop(record.id);
    const runner = new EdgeRunner(record, this.clock, this.log);
    this.byId.set(record.id, runner);
    const siblings = this.byService.get(record.service) ?? [];
    siblings.push(runner);
    this.byService.set(record.service, siblings);
  }

  private drop(id: string): void {
    const runner = this.byId.get(id);
    if (runner === undefined) {
      return;
    }
    this.byId.delete(id);
    const {service} = runner.record;
    const siblings = this.byService.get(service) ?? [];
    this.byService.set(
      service,
      siblings.filter((sibling) => sibling !== runner),
    );
    runner.record = {...runner.record, state: RUNNER_STATE.gone};
    runner.retire();
  }

  private note(record: RunnerRecord, source: string): void {
    const {address, id: runner, sequence, service, state} = record;
    this.log.note({
      address,
      event: 'runner-changed',
      runner,
      sequence,
      service,
      source,
      state,
    });
  }
}
