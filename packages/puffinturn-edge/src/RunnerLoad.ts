/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The load of a model engine as its own reports show it, other edges' requests
 * included. A report is old when it arrives and loses weight from then on.
 */
import type {Clock} from 'shared';

/** What an engine says of its load. */
export interface LoadReport {
  /** Requests that wait for a slot. */
  readonly queued: number;
  /** Requests in slots. */
  readonly active: number;
  /** Requests in slots that have made no event yet. */
  readonly reading: number;
}

/** Time in which a report loses most of its weight, ms. */
const FORGET_MS = 400;

/** A report younger than this need not be asked for again, ms. */
const FRESH_MS = 120;

/** Tokens that a request waiting or being read is taken to add. */
const TOKENS_EACH = 3_000;

/** Time that one waiting request needs for its slot, where all are taken, ms. */
const SLOT_WAIT_MS = 120;

/** Expected wait at an engine that did not answer for its load, ms. */
const SILENT_WAIT_MS = 400;

/** See the module comment. */
export class RunnerLoad {
  private report: LoadReport | undefined;
  private at = -Infinity;
  private silentAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** Whether asking again would bring nothing new. */
  get fresh(): boolean {
    const newest = Math.max(this.at, this.silentAt);
    return this.clock.now() - newest < FRESH_MS;
  }

  /** Notes a report that has just arrived. */
  reported(report: LoadReport): void {
    this.report = report;
    this.at = this.clock.now();
    this.silentAt = -Infinity;
  }

  /** Notes that the engine did not answer in time. */
  silent(): void {
    this.silentAt = this.clock.now();
  }

  /** Tokens that the engine has yet to read for others. */
  get backlogTokens(): number {
    const {queued = 0, reading = 0} = this.report ?? {};
    return (queued + reading / 2) * TOKENS_EACH * this.weightOf(this.at);
  }

  /** Further time until a new request gets a slot, ms. */
  waitMs(slots: number): number {
    const {active = 0, queued = 0} = this.report ?? {};
    const full = active >= slots;
    const wait = full ? (queued + 1) * SLOT_WAIT_MS : 0;
    return (
      wait * this.weightOf(this.at) +
      SILENT_WAIT_MS * this.weightOf(this.silentAt)
    );
  }

  /** Requests in slots, as far as the report still tells. */
  get active(): number {
    return (this.report?.active ?? 0) * this.weightOf(this.at);
  }

  private weightOf(at: number): number {
    return Math.exp((at - this.clock.now()) / FORGET_MS);
  }
}
