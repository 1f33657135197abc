/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Tracks how recent the state of a control box is. Hearing from a leader does not show that:
 * a box may lack entries while it hears from one.
 */
import type {Leadership, Replica} from 'puffinturn-log';
import type {Link} from 'puffinturn-wire';
import type {Clock, SuspensionDetector} from 'shared';
import {TaskGroup} from 'shared';

import {FLEET_SERVICE} from './FleetMessages';
import type {LeaderCalls} from './LeaderCalls';

/** Interval between two confirmations, ms. */
const CONFIRMATION_INTERVAL_MS = 250;

/** Interval between two attempts while the state is not confirmed, ms. */
const RETRY_INTERVAL_MS = 100;

/**
 * Age from which the state counts as outdated, ms. Above the time in which two confirmations
 * are lost, and well below that within which changes have to be in force.
 */
const MAX_AGE_MS = 800;

/** Timeout of one confirmation, ms. */
const CONFIRMATION_TIMEOUT_MS = 500;

/** Interval at which it is checked whether a confirmed entry has been applied, ms. */
const APPLY_CHECK_INTERVAL_MS = 20;

/** Dependencies of a StateConfirmation. */
export interface StateConfirmationParts {
  readonly clock: Clock;
  readonly leader: LeaderCalls;
  readonly link: Link;
  readonly replica: Pick<Replica, 'appliedThrough' | 'leadership'>;
  readonly suspension: Pick<SuspensionDetector, 'check'>;
  /** Called before a confirmation counts, to bring derived state up to date. */
  readonly onApplied: () => void;
}

/** A leader's proof; undefined if the box that was asked can't prove that it leads. */
interface ConfirmationReply {
  readonly leadership: Leadership | undefined;
}

/** Confirms regularly that a control box has all that a quorum has stored. */
export class StateConfirmation implements AsyncDisposable {
  private confirmedAt = -Infinity;
  /** Proofs from before do not count, as the clock has not counted a suspension since. */
  private validSince = -Infinity;
  private readonly handler: Disposable;
  private readonly tasks = new TaskGroup();

  constructor(private readonly parts: StateConfirmationParts) {
    this.handler = parts.link.register(
      FLEET_SERVICE.confirmState,
      async (): Promise<ConfirmationReply> => this.confirmAsLeader(),
    );
    this.tasks.start((signal) => this.run(signal));
  }

  /** Time since when entries may be missing here, ms; Infinity before a confirmation. */
  get ageMs(): number {
    this.parts.suspension.check();
    return this.parts.clock.now() - this.confirmedAt;
  }

  /** Forgets all confirmations; called after a suspension. */
  invalidate(): void {
    this.confirmedAt = -Infinity;
    this.validSince = this.parts.clock.now();
  }

  /** Whether the last confirmation is recent enough for others to use this box. */
  get isRecent(): boolean {
    return this.msUntilOutdated > 0;
  }

  /** Time until the state is outdated unless it is confirmed again, ms. */
  get msUntilOutdated(): number {
    return Math.max(0, MAX_AGE_MS - this.ageMs);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.handler[Symbol.dispose]();
    await this.tasks[Symbol.asyncDispose]();
  }

  private confirmAsLeader(): ConfirmationReply {
    const {clock, replica, suspension} = this.parts;
    suspension.check();
    const {leadership} = replica;
    const isValid =
      leadership !== undefined &&
      clock.now() - leadership.ageMs >= this.validSince;
    return {leadership: isValid ? leadership : undefined};
  }

  private async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.confirm(signal);
      await this.parts.clock.sleep(
        this.isRecent ? CONFIRMATION_INTERVAL_MS : RETRY_INTERVAL_MS,
        signal,
      );
    }
  }

  private async confirm(signal: AbortSignal): Promise<void> {
    const {clock, leader, onApplied, suspension} = this.parts;
    const startedAt = clock.now();
    const {leadership} = await leader.runOnLeader<ConfirmationReply>(
      FLEET_SERVICE.confirmState,
      null,
      {leadership: undefined},
      async () => this.confirmAsLeader(),
      CONFIRMATION_TIMEOUT_MS,
    );
    if (!leadership) {
      return;
    }
    const {ageMs, commitIndex} = leadership;
    const deadline = startedAt + CONFIRMATION_TIMEOUT_MS;
    const isApplied = await this.waitUntilApplied(
      commitIndex,
      deadline,
      signal,
    );
    suspension.check();
    if (isApplied && startedAt >= this.validSince) {
      onApplied();
      // The proof was given after the request was sent, so it is no older than this.
      this.confirmedAt = Math.max(this.confirmedAt, startedAt - ageMs);
    }
  }

  private async waitUntilApplied(
    index: number,
    deadline: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {clock, replica} = this.parts;
    while (replica.appliedThrough < index) {
      if (signal.aborted || clock.now() >= deadline) {
        return false;
      }
      await clock.sleep(APPLY_CHECK_INTERVAL_MS, signal);
    }
    return true;
  }
}
