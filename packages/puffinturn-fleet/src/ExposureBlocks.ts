/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Exposure that one leader has taken out of the log for a roll-out. What edges are
 * granted is within a block that a record holds, so that the next leader, which takes
 * all of the newest block as used, never grants it again.
 */
import type {ExposureLedger} from './ExposureLedger';
import type {LeaderCalls} from './LeaderCalls';
import type {RolloutClock} from './RolloutClock';
import {BLOCK_REQUESTS} from './RolloutConstants';

/** What ExposureBlocks are made of. */
export interface ExposureBlocksParts {
  readonly service: string;
  /** The number of the order. */
  readonly number: number;
  /** What the log held as this leader began. */
  readonly granted: number;
  readonly elapsed: RolloutClock;
  readonly leader: LeaderCalls;
  readonly ledger: ExposureLedger;
}

/** See the module comment. */
export class ExposureBlocks {
  /** The most that may be granted. */
  private end: number;
  /** The record of the next block, while it is on its way. */
  private taking: Promise<boolean> | undefined;

  constructor(private readonly parts: ExposureBlocksParts) {
    this.end = parts.granted;
  }

  /** Whether the log holds this much, once the records for it are written. */
  async hold(granted: number): Promise<boolean> {
    while (this.end < granted) {
      this.taking ??= this.take();
      if (!(await this.taking)) {
        return false;
      }
    }
    return true;
  }

  /** Writes the time since the order and the requests counted, and takes nothing. */
  note(): Promise<boolean> {
    return this.propose(this.end);
  }

  private async take(): Promise<boolean> {
    const {budget, granted} = this.parts.ledger;
    const ahead = Math.min(budget, granted + BLOCK_REQUESTS);
    const wanted = Math.max(granted, ahead);
    const isHeld = await this.propose(wanted);
    this.end = isHeld ? Math.max(this.end, wanted) : this.end;
    this.taking = undefined;
    return isHeld;
  }

  private async propose(granted: number): Promise<boolean> {
    const {elapsed, leader, ledger, number, service} = this.parts;
    const held = await leader.propose({
      counted: ledger.requests,
      elapsedMs: elapsed.elapsedOf(service) ?? 0,
      granted,
      kind: 'exposure-block',
      number,
      service,
    });
    return held.isOk();
  }
}
