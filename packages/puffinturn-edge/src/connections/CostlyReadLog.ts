/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Logs that the bytes of an upstream cost much work. */
import type {CostlyReads, DecisionLog} from 'puffinturn-decisions';
import type {Clock, ReadLoad} from 'shared';

/** Minimum time between two lines about one upstream, ms. */
const LOG_INTERVAL_MS = 1_000;

/** Adds up the costly reads of one upstream between lines. */
export class CostlyReadLog {
  private total: ReadLoad | undefined;
  private iterations = 0;
  private maxTookMs = 0;
  private loggedAt = -Infinity;

  constructor(
    private readonly upstream: string,
    private readonly clock: Clock,
    private readonly log: DecisionLog,
  ) {}

  /** Adds what one connection read in one iteration of the event loop. */
  record(load: ReadLoad): void {
    this.total = this.total === undefined ? load : addLoads(this.total, load);
    this.iterations += 1;
    this.maxTookMs = Math.max(this.maxTookMs, load.tookMs);
    const now = this.clock.now();
    if (now - this.loggedAt >= LOG_INTERVAL_MS) {
      this.loggedAt = now;
      this.write(this.total);
    }
  }

  private write(total: ReadLoad): void {
    const line: CostlyReads = {
      ...total,
      event: 'costly-reads',
      iterations: this.iterations,
      maxTookMs: Math.round(this.maxTookMs),
      tookMs: Math.round(total.tookMs),
      upstream: this.upstream,
    };
    this.log.note(line);
    this.total = undefined;
    this.iterations = 0;
    this.maxTookMs = 0;
  }
}

function addLoads(one: ReadLoad, other: ReadLoad): ReadLoad {
  return {
    bytes: one.bytes + other.bytes,
    pieces: one.pieces + other.pieces,
    reads: one.reads + other.reads,
    tookMs: one.tookMs + other.tookMs,
  };
}
