/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {ExposureLedger} from './ExposureLedger';
import type {LeaderCalls} from './LeaderCalls';
import type {RolloutClock} from './RolloutClock';
import {GRANT_BLOCK_REQUESTS} from './RolloutConstants';

/** Dependencies of an ExposureAllocator. */
export interface ExposureAllocatorParts {
  readonly service: string;
  /** The number of the order. */
  readonly number: number;
  /** Exposure allocated in the log at the start of this leader's term. */
  readonly initialGranted: number;
  readonly rolloutClock: RolloutClock;
  readonly leader: LeaderCalls;
  readonly ledger: ExposureLedger;
}

/**
 * Allocates exposure for a rollout in the log, in blocks, before the leader grants it.
 * A new leader treats the whole newest block as used, so exposure is never granted
 * twice.
 */
export class ExposureAllocator {
  /** Total exposure allocated in the log. */
  private limit: number;
  /** The allocation in flight, if any. */
  private pendingBlock: Promise<boolean> | undefined;

  constructor(private readonly parts: ExposureAllocatorParts) {
    this.limit = parts.initialGranted;
  }

  /**
   * Allocates until the log covers `granted`. Returns false if a record could not be
   * written.
   */
  async ensurePersisted(granted: number): Promise<boolean> {
    while (this.limit < granted) {
      this.pendingBlock ??= this.allocateBlock();
      if (!(await this.pendingBlock)) {
        return false;
      }
    }
    return true;
  }

  /** Writes the elapsed time and the request count without allocating exposure. */
  recordProgress(): Promise<boolean> {
    return this.propose(this.limit);
  }

  private async allocateBlock(): Promise<boolean> {
    const {budget, granted} = this.parts.ledger;
    const withNextBlock = Math.min(budget, granted + GRANT_BLOCK_REQUESTS);
    const newLimit = Math.max(granted, withNextBlock);
    const isAccepted = await this.propose(newLimit);
    this.limit = isAccepted ? Math.max(this.limit, newLimit) : this.limit;
    this.pendingBlock = undefined;
    return isAccepted;
  }

  private async propose(granted: number): Promise<boolean> {
    const {leader, ledger, number, rolloutClock, service} = this.parts;
    const result = await leader.propose({
      counted: ledger.requests,
      elapsedMs: rolloutClock.getElapsedMs(service) ?? 0,
      granted,
      kind: 'exposure-block',
      number,
      service,
    });
    return result.isOk();
  }
}
