/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Admits requests through the control group before they are sent upstream. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {AdmitOutcome, ControlClient, RequestView} from 'puffinturn-ledger';
import type {BoxMember, OpenAdmissions} from 'puffinturn-membership';
import type {Clock} from 'shared';

import {
  ADMIT_TIMEOUT_MS,
  MAX_ADMISSION_TRIES,
  POLL_INTERVAL_MS,
} from './GatewayConstants';
import type {GatewayFailure} from './GatewayFailure';
import {createFailure} from './GatewayFailure';
import type {RequestPlan} from './RequestPlan';

/** An attempt that this box may run. `serial` identifies its admission. */
export interface AdmittedAttempt {
  readonly plan: RequestPlan;
  readonly attemptNumber: number;
  readonly serial: number;
  readonly admissions: OpenAdmissions;
  /** Deadline for the first token, monotonic ms. */
  readonly deadline: number;
}

/** A request that the ledger already contains, owned by another attempt. */
export interface KnownRequest {
  readonly plan: RequestPlan;
  readonly view: RequestView;
}

/** Whether a request runs here, is already known, or is admitted by another region. */
export type AdmissionResult =
  | {
      readonly kind: 'other-region';
      readonly plan: RequestPlan;
      readonly region: string;
    }
  | {readonly kind: 'attempt'; readonly attempt: AdmittedAttempt}
  | {readonly kind: 'known'; readonly known: KnownRequest};

/** Dependencies and settings of Admission. */
export interface AdmissionParts {
  readonly box: string;
  readonly region: string;
  readonly clock: Clock;
  readonly control: ControlClient;
  readonly member: BoxMember;
  /** How long closed requests are kept, ms. */
  readonly retentionMs: (isAtMostOnce: boolean) => number;
  /** Called with the units that a budget has left. */
  readonly onBudgetAvailable: (budget: string, available: number) => void;
}

/** Plans a request with the current configuration. */
export type Planner = () => Result<RequestPlan, GatewayFailure>;

type Step =
  | {readonly kind: 'retry'}
  | {
      readonly kind: 'done';
      readonly result: Result<AdmissionResult, GatewayFailure>;
    };

/** Admits requests and reserves their worst-case cost. */
export class Admission {
  constructor(private readonly parts: AdmissionParts) {}

  /** Admits a request, planning it again if the configuration has changed. */
  async admit(
    planner: Planner,
    startedAt: number,
  ): Promise<Result<AdmissionResult, GatewayFailure>> {
    for (let tryIndex = 0; tryIndex < MAX_ADMISSION_TRIES; tryIndex += 1) {
      if (!this.parts.member.isReady) {
        return err(notReadyFailure());
      }
      const plan = planner();
      if (plan.isErr()) {
        // The configuration of this box may be outdated: plan again with a newer one.
        if (tryIndex === 0 && (await this.parts.member.refreshConfig())) {
          continue;
        }
        return err(plan.error);
      }
      const homeRegion = this.otherHomeRegion(plan.value);
      if (homeRegion !== undefined) {
        return ok({kind: 'other-region', plan: plan.value, region: homeRegion});
      }
      const step = await this.tryAdmit(plan.value, startedAt);
      if (step.kind === 'done') {
        return step.result;
      }
    }
    return err(notReadyFailure());
  }

  /**
   * The home region of the budget of an at-most-once request, if it is not
   * this region. Only the home region stores the keys of such requests, so
   * that two regions cannot run the same one.
   */
  private otherHomeRegion({decision}: RequestPlan): string | undefined {
    const {member, region} = this.parts;
    const homeRegion = member.config.budgetHomeRegion(decision.budget);
    return decision.runsAtMostOnce && homeRegion !== region
      ? homeRegion
      : undefined;
  }

  private async tryAdmit(plan: RequestPlan, startedAt: number): Promise<Step> {
    const {clock, control, member} = this.parts;
    const {admissions} = member;
    const serial = admissions.allocate();
    const deadline = startedAt + plan.decision.deadlineMs;
    const waitMs = Math.max(0, deadline - clock.now());
    const outcome = await control.submit(this.createRecord(plan, serial), {
      priority: plan.decision.priority,
      timeoutMs: waitMs + ADMIT_TIMEOUT_MS,
      waitMs,
    });
    if (outcome.isOk() && outcome.value.kind === 'admitted') {
      const {attempt: attemptNumber, available} = outcome.value;
      this.parts.onBudgetAvailable(plan.decision.budget, available);
      const attempt = {admissions, attemptNumber, deadline, plan, serial};
      return done(ok({attempt, kind: 'attempt'}));
    }
    // No attempt runs with this serial. If the request was admitted despite
    // the error, closing the serial lets the ledger release it.
    admissions.close(serial);
    return outcome.isErr()
      ? done(err(controlUnavailableFailure()))
      : this.handleRefusal(plan, outcome.value as AdmitOutcome);
  }

  private async handleRefusal(
    plan: RequestPlan,
    outcome: AdmitOutcome,
  ): Promise<Step> {
    const {clock, member} = this.parts;
    switch (outcome.kind) {
      case 'present':
        return done(ok({kind: 'known', known: {plan, view: outcome.request}}));
      case 'key-conflict':
        return done(
          err(
            createFailure(
              'key_conflict',
              'this key belongs to a request with other content',
            ),
          ),
        );
      case 'insufficient':
        this.parts.onBudgetAvailable(plan.decision.budget, outcome.available);
        return done(
          err(
            budgetExhaustedFailure(plan, outcome.available, outcome.reserved),
          ),
        );
      case 'no-budget': {
        const message = `there is no budget ${plan.decision.budget}`;
        return done(err(createFailure('budget_exhausted', message)));
      }
      case 'stale-config':
        await member.waitForConfig(outcome.configIndex, ADMIT_TIMEOUT_MS);
        return {kind: 'retry'};
      default:
        await clock.sleep(2 * POLL_INTERVAL_MS);
        return {kind: 'retry'};
    }
  }

  private createRecord(plan: RequestPlan, serial: number) {
    const {box, clock, retentionMs, member} = this.parts;
    const {decision, digest, isKeyGenerated, key, request, reserve} = plan;
    return {
      at: clock.wallTime(),
      box,
      budget: decision.budget,
      configIndex: plan.configIndex,
      digest,
      generatedKey: isKeyGenerated,
      incarnation: member.incarnation,
      keepMs: retentionMs(decision.runsAtMostOnce),
      key,
      kind: 'admit',
      marked: decision.runsAtMostOnce,
      reserve,
      serial,
      team: request.team.name,
    } as const;
  }
}

function done(result: Result<AdmissionResult, GatewayFailure>): Step {
  return {kind: 'done', result};
}

function notReadyFailure(): GatewayFailure {
  const message = 'this box is not up to date with its region';
  return createFailure('not_ready', message, 1_000);
}

function controlUnavailableFailure(): GatewayFailure {
  const message = 'the control boxes of this region cannot be reached';
  return createFailure('control_unavailable', message, 2_000);
}

function budgetExhaustedFailure(
  plan: RequestPlan,
  available: number,
  reserved: number,
): GatewayFailure {
  const {decision, reserve} = plan;
  const message = `budget ${decision.budget} has ${available} units left (${reserved} more are reserved); this request may cost ${reserve}`;
  // Only the release of reserved units can free budget soon.
  const retryAfterMs = reserved > 0 ? 5_000 : undefined;
  return createFailure('budget_exhausted', message, retryAfterMs);
}
