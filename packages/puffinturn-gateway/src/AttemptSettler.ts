/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Closes attempts in the ledger, with retries until the outcome is known. */
import type {
  AttemptId,
  AttemptOutcome,
  ControlClient,
  LedgerRecord,
  StoredResponse,
} from 'puffinturn-ledger';
import type {Timeline} from 'puffinturn-timeline';
import {EVENT_KIND} from 'puffinturn-timeline';
import type {Clock} from 'shared';
import {resolveWithin} from 'shared';

import type {AdmittedAttempt} from './Admission';
import {
  SETTLE_RETRY_MS,
  SETTLE_TIMEOUT_MS,
  SETTLE_WAIT_MS,
} from './GatewayConstants';

/** Dependencies of an AttemptSettler. */
export interface AttemptSettlerParts {
  readonly clock: Clock;
  readonly control: ControlClient;
  readonly timeline: Timeline;
  /** Aborted when the process stops; other boxes then close the open attempts. */
  readonly signal: AbortSignal;
}

/** The identifier of an attempt in the ledger. */
export function toAttemptId({attemptNumber, plan}: AdmittedAttempt): AttemptId {
  return {attempt: attemptNumber, key: plan.key, team: plan.request.team.name};
}

/** Settles or releases attempts. */
export class AttemptSettler {
  private unresolvedCount = 0;

  constructor(private readonly parts: AttemptSettlerParts) {}

  /** Number of attempts whose settlement or release has no outcome yet. */
  get pendingCount(): number {
    return this.unresolvedCount;
  }

  /**
   * Bills an attempt once. Returns the billed units, or undefined if another
   * attempt has taken over the request and its billing.
   */
  async settle(
    attempt: AdmittedAttempt,
    outcome: 'settled' | 'unknown',
    charge: number,
    answer?: StoredResponse,
  ): Promise<number | undefined> {
    const at = this.parts.clock.wallTime();
    const id = toAttemptId(attempt);
    const result = await this.close(attempt, {
      ...id,
      answer,
      at,
      charge,
      kind: 'settle',
      outcome,
    });
    const billed = result.kind === 'superseded' ? undefined : result.charge;
    this.parts.timeline.note(EVENT_KIND.settled, {
      budget: attempt.plan.decision.budget,
      detail: `${outcome} ${billed ?? 'elsewhere'}`,
      request: id.key,
      team: id.team,
    });
    return billed;
  }

  /**
   * Like `settle`, but returns undefined after SETTLE_WAIT_MS. The settlement
   * continues in the background.
   */
  settleWithTimeout(
    attempt: AdmittedAttempt,
    charge: number,
  ): Promise<number | undefined> {
    return resolveWithin(
      this.parts.clock,
      this.settle(attempt, 'settled', charge),
      SETTLE_WAIT_MS,
    );
  }

  /** Releases an attempt without billing, so that its key can be admitted again. */
  async release(attempt: AdmittedAttempt): Promise<AttemptOutcome> {
    const at = this.parts.clock.wallTime();
    const id = toAttemptId(attempt);
    const outcome = await this.close(attempt, {...id, at, kind: 'void'});
    this.parts.timeline.note(EVENT_KIND.voided, {
      budget: attempt.plan.decision.budget,
      request: id.key,
      team: id.team,
    });
    return outcome;
  }

  private async close(
    attempt: AdmittedAttempt,
    record: LedgerRecord,
  ): Promise<AttemptOutcome> {
    const {clock, control, signal} = this.parts;
    this.unresolvedCount += 1;
    while (!signal.aborted) {
      const outcome = await control.submit(record, {
        timeoutMs: SETTLE_TIMEOUT_MS,
      });
      if (outcome.isOk()) {
        this.unresolvedCount -= 1;
        attempt.admissions.close(attempt.serial);
        return outcome.value as AttemptOutcome;
      }
      await clock.sleep(SETTLE_RETRY_MS, signal);
    }
    return {kind: 'superseded'};
  }
}
