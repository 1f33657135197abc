/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {Decision} from 'puffinturn-decisions';
import {DecisionLog} from 'puffinturn-decisions';
import type {AllowanceOutcome, AllowanceRequest} from 'puffinturn-fleet';

/** A killed process of a box. */
interface KilledProcess {
  readonly incarnationId: string;
  /** Tokens that it held and that no request had reserved. */
  readonly free: number;
}

/**
 * Checks that no more tokens are reclaimed than the killed processes of a box had left:
 * those that they held, and those on the way between them and the control plane.
 */
export class ReclaimChecker {
  /** Tokens that were reclaimed. */
  reclaimed = 0;
  /** Tokens that were reclaimed although they had been spent or lent. */
  wronglyReclaimed = 0;
  /** Tokens on the way by incarnation: granted or returned, but not received. */
  private readonly inFlight = new Map<string, number>();
  private readonly lastSequences = new Map<string, number>();
  /** The killed processes of each box since its last reclaim. */
  private readonly killed = new Map<string, KilledProcess[]>();

  /** A log that records which tokens an edge received and returned. */
  createLog(incarnationId: string): DecisionLog {
    return new MovementLog((amount) =>
      this.addInFlight(incarnationId, -amount),
    );
  }

  recordKill(box: string, incarnationId: string, free: number): void {
    const processes = this.killed.get(box) ?? [];
    this.killed.set(box, [...processes, {free, incarnationId}]);
  }

  /** Records an exchange as it was applied. */
  recordExchange(
    {asks, box, holder, sequence}: AllowanceRequest,
    {grants, reclaimed}: AllowanceOutcome,
  ): void {
    const isApplied =
      sequence > (this.lastSequences.get(holder) ?? 0) &&
      grants.length === asks.length;
    if (isApplied) {
      this.lastSequences.set(holder, sequence);
      const granted = grants.reduce((sum, grant) => sum + grant.granted, 0);
      const returned = asks.reduce((sum, {back}) => sum + back, 0);
      this.addInFlight(holder, granted - returned);
    }
    if (reclaimed !== undefined) {
      const sum = reclaimed.reduce((total, {amount}) => total + amount, 0);
      const left = (this.killed.get(box) ?? []).reduce(
        (total, {free, incarnationId}) =>
          total + free + (this.inFlight.get(incarnationId) ?? 0),
        0,
      );
      this.reclaimed += sum;
      this.wronglyReclaimed += Math.max(0, sum - left);
      this.killed.delete(box);
    }
  }

  private addInFlight(incarnationId: string, tokens: number): void {
    const current = this.inFlight.get(incarnationId) ?? 0;
    this.inFlight.set(incarnationId, current + tokens);
  }
}

/** Reports the tokens that an edge received from the control plane, less returned ones. */
class MovementLog extends DecisionLog {
  constructor(private readonly onMovement: (amount: number) => void) {
    super();
  }

  override note(decision: Decision): void {
    const isMovement =
      decision.event === 'allowance-moved' &&
      (decision.source === 'core' || decision.source === 'returned');
    if (isMovement) {
      this.onMovement(decision.amount);
    }
  }
}
