/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Temporary withdrawal of an overloaded edge from load balancing. For a few seconds it
 * reports not ready, so that new connections go to the other edges of its hall. It
 * needs the approval of a quorum of them, and each approves a limited number of
 * withdrawals at a time, so that enough edges stay in service.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import type {BoxRecord, WithdrawalReply} from 'puffinturn-fleet';
import {FLEET_SERVICE} from 'puffinturn-fleet';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {TaskGroup} from 'shared';

import {AGE_RESOLUTION_MS} from './AcceptBacklog';

/** Dependencies of OverloadWithdrawal. */
export interface OverloadWithdrawalParts {
  readonly self: BoxRecord;
  readonly clock: Clock;
  readonly link: Link;
  readonly log: DecisionLog;
  /** Edges of all halls, without this one. */
  readonly otherEdges: () => readonly BoxRecord[];
  /** Whether this edge can serve requests, regardless of a withdrawal. */
  readonly isServing: () => boolean;
  /** Upper bound of the waiting time of a connection accepted now, ms. */
  readonly queueAgeMs: () => number;
}

/**
 * Consecutive checks with waiting connections before an edge requests a withdrawal. The
 * backlog of a short pause of the process clears sooner, while load balancers need two
 * seconds to react, in which the callers of this edge go on being refused.
 */
const OVERLOADED_CHECKS = 3;

/** Queue age below which an edge has recovered, ms. */
const RECOVERED_AGE_MS = 250;

/** Interval between checks of the queue age, ms. */
const CHECK_INTERVAL_MS = 250;

/** Minimum duration of a withdrawal, ms; load balancers react after two seconds. */
const MIN_WITHDRAWAL_MS = 4_000;

/** Maximum duration of a withdrawal, ms. */
const MAX_WITHDRAWAL_MS = 8_000;

/** Minimum time from the end of a withdrawal to the next request for one, ms. */
const WITHDRAWAL_COOLDOWN_MS = 30_000;

/** Delay before a rejected request for a withdrawal is repeated, ms. */
const APPROVAL_RETRY_MS = 1_000;

/**
 * Timeout for the reply of another edge, ms. A healthy one replies within a few
 * milliseconds, but an overloaded edge reads the reply half a second late.
 */
const APPROVAL_TIMEOUT_MS = 1_000;

/** Maximum share of a hall's edges that may be withdrawn, as counted by each edge. */
const MAX_WITHDRAWN_SHARE = 0.25;

/** Share of the other edges in the hall that must approve a withdrawal. */
const APPROVAL_QUORUM = 0.75;

/** Withdraws an overloaded edge, and approves withdrawals of other edges. */
export class OverloadWithdrawal implements AsyncDisposable {
  private readonly tasks = new TaskGroup();
  private readonly handler: Disposable;
  /** When the approvals given to other edges expire, by box, monotonic ms. */
  private readonly approvedUntil = new Map<string, number>();
  private withdrawnAt: number | undefined;
  private nextRequestAt = -Infinity;
  /** Consecutive checks that found connections waiting. */
  private overloadedChecks = 0;

  constructor(private readonly parts: OverloadWithdrawalParts) {
    this.handler = parts.link.register(
      FLEET_SERVICE.requestWithdrawal,
      async (_, from): Promise<WithdrawalReply> => ({
        agreed: this.approveWithdrawal(from),
      }),
    );
    this.tasks.start((signal) => this.run(signal));
  }

  /** Whether this edge is withdrawn and should get no new connections. */
  get isWithdrawn(): boolean {
    return this.withdrawnAt !== undefined;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.handler[Symbol.dispose]();
    await this.tasks[Symbol.asyncDispose]();
  }

  private async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    while (!signal.aborted) {
      await clock.sleep(CHECK_INTERVAL_MS, signal);
      if (this.withdrawnAt === undefined) {
        await this.withdrawIfOverloaded();
      } else {
        this.rejoinIfDue(this.withdrawnAt);
      }
    }
  }

  private async withdrawIfOverloaded(): Promise<void> {
    const {clock, isServing, queueAgeMs} = this.parts;
    this.overloadedChecks = queueAgeMs() > 0 ? this.overloadedChecks + 1 : 0;
    const isOverloaded =
      this.overloadedChecks >= OVERLOADED_CHECKS &&
      queueAgeMs() >= AGE_RESOLUTION_MS;
    const mayRequest =
      isServing() &&
      this.maxWithdrawn() > 0 &&
      clock.now() >= this.nextRequestAt;
    if (!isOverloaded || !mayRequest) {
      return;
    }
    const peers = this.peersInHall();
    const approvals = await Promise.all(
      peers.map(({box}) => this.requestApproval(box)),
    );
    const approvedCount = approvals.filter((isApproved) => isApproved).length;
    const hasQuorum = approvedCount >= peers.length * APPROVAL_QUORUM;
    this.nextRequestAt = clock.now() + APPROVAL_RETRY_MS;
    this.withdrawnAt = hasQuorum ? clock.now() : undefined;
    this.logDecision(
      hasQuorum ? 'aside' : 'refused',
      approvedCount,
      peers.length,
    );
  }

  private rejoinIfDue(withdrawnAt: number): void {
    const {clock, queueAgeMs} = this.parts;
    const elapsedMs = clock.now() - withdrawnAt;
    const hasRecovered =
      elapsedMs >= MIN_WITHDRAWAL_MS && queueAgeMs() < RECOVERED_AGE_MS;
    if (hasRecovered || elapsedMs >= MAX_WITHDRAWAL_MS) {
      this.withdrawnAt = undefined;
      this.nextRequestAt = clock.now() + WITHDRAWAL_COOLDOWN_MS;
      this.logDecision('back', 0, 0);
    }
  }

  private async requestApproval(box: string): Promise<boolean> {
    const {link} = this.parts;
    const service = FLEET_SERVICE.requestWithdrawal;
    const reply = await link.call(box, service, null, APPROVAL_TIMEOUT_MS);
    return reply.isOk() && (reply.value as WithdrawalReply).agreed;
  }

  /** Decides on another edge's request; an overloaded edge approves none. */
  private approveWithdrawal(requester: string): boolean {
    const {clock, isServing, queueAgeMs} = this.parts;
    const now = clock.now();
    for (const [box, until] of this.approvedUntil) {
      if (until <= now) {
        this.approvedUntil.delete(box);
      }
    }
    const isAlreadyApproved = this.approvedUntil.has(requester);
    const isHealthy =
      isServing() && !this.isWithdrawn && queueAgeMs() < RECOVERED_AGE_MS;
    const isApproved =
      isHealthy &&
      (isAlreadyApproved || this.approvedUntil.size < this.maxWithdrawn());
    if (isApproved) {
      this.approvedUntil.set(
        requester,
        now + APPROVAL_TIMEOUT_MS + MAX_WITHDRAWAL_MS,
      );
    }
    return isApproved;
  }

  private maxWithdrawn(): number {
    return Math.floor((this.peersInHall().length + 1) * MAX_WITHDRAWN_SHARE);
  }

  private peersInHall(): readonly BoxRecord[] {
    const {otherEdges, self} = this.parts;
    return otherEdges().filter(({hall}) => hall === self.hall);
  }

  private logDecision(outcome: string, agreed: number, asked: number): void {
    const ageMs = Math.round(this.parts.queueAgeMs());
    const event = 'step-aside-decided';
    this.parts.log.note({ageMs, agreed, asked, event, outcome});
  }
}
