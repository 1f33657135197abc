/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Closes attempts in the ledger, as often as it takes to get an outcome. */
import type {
  AttemptId,
  AttemptOutcome,
  ControlClient,
  KeptAnswer,
  LedgerRecord,
} from 'puffinturn-ledger';
import type {Timeline} from 'puffinturn-timeline';
import {EVENT_KIND} from 'puffinturn-timeline';
import type {Clock} from 'shared';

import type {Attempt} from './Admission';
import {
  SETTLE_RETRY_MS,
  SETTLE_TIMEOUT_MS,
  SETTLE_WAIT_MS,
} from './GatewayConstants';

/** What settling needs. */
export interface SettlementParts {
  readonly clock: Clock;
  readonly control: ControlClient;
  readonly timeline: Timeline;
  /** Aborted when the process ends; open attempts are then left to others. */
  readonly signal: AbortSignal;
}

/** The ids of an attempt. */
export function attemptId({attempt, plan}: Attempt): AttemptId {
  return {attempt, key: plan.key, team: plan.request.team.name};
}

/** See the module comment. */
export class Settlement {
  private open = 0;

  constructor(private readonly parts: SettlementParts) {}

  /** Attempts whose closing has no outcome yet. */
  get pending(): number {
    return this.open;
  }

  /**
   * Bills an attempt once; resolves with what was billed, or undefined when
   * this attempt no longer holds the request and it is billed otherwise.
   */
  async settle(
    attempt: Attempt,
    outcome: 'settled' | 'unknown',
    charge: number,
    answer?: KeptAnswer,
  ): Promise<number | undefined> {
    const at = this.parts.clock.wallTime();
    const id = attemptId(attempt);
    const done = await this.close(attempt, {
      ...id,
      answer,
      at,
      charge,
      kind: 'settle',
      outcome,
    });
    const billed = done.kind === 'superseded' ? undefined : done.charge;
    this.parts.timeline.note(EVENT_KIND.settled, {
      budget: attempt.plan.decision.budget,
      detail: `${outcome} ${billed ?? 'elsewhere'}`,
      request: id.key,
      team: id.team,
    });
    return billed;
  }

  /** Like `settle`, but waits only a short while for the outcome. */
  async settleSoon(
    attempt: Attempt,
    charge: number,
  ): Promise<number | undefined> {
    const stop = new AbortController();
    const billed = await Promise.race([
      this.settle(attempt, 'settled', charge),
      this.parts.clock.sleep(SETTLE_WAIT_MS, stop.signal).then(() => undefined),
    ]);
    stop.abort();
    return billed;
  }

  /** Releases an attempt unbilled, so that its key may be admitted again. */
  async release(attempt: Attempt): Promise<AttemptOutcome> {
    const at = this.parts.clock.wallTime();
    const id = attemptId(attempt);
    const outcome = await this.close(attempt, {...id, at, kind: 'void'});
    this.parts.timeline.note(EVENT_KIND.voided, {
      budget: attempt.plan.decision.budget,
      request: id.key,
      team: id.team,
    });
    return outcome;
  }

  private async close(
    attempt: Attempt,
    record: LedgerRecord,
  ): Promise<AttemptOutcome> {
    const {clock, control, signal} = this.parts;
    this.open += 1;
    while (!signal.aborted) {
      const outcome = await control.submit(record, {
        timeoutMs: SETTLE_TIMEOUT_MS,
      });
      if (outcome.isOk()) {
        this.open -= 1;
        attempt.admissions.close(attempt.serial);
        return outcome.value as AttemptOutcome;
      }
      await clock.sleep(SETTLE_RETRY_MS, signal);
    }
    return {kind: 'superseded'};
  }
}
