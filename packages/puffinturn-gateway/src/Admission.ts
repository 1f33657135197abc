/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Admits requests through the control group before anything is sent. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {AdmitOutcome, ControlClient, RequestView} from 'puffinturn-ledger';
import type {BoxMember, OpenAdmissions} from 'puffinturn-membership';
import type {Clock} from 'shared';

import {
  ADMIT_TIMEOUT_MS,
  FOLLOW_PAUSE_MS,
  MAX_REDECISIONS,
} from './GatewayConstants';
import type {GatewayFailure} from './GatewayFailure';
import {gatewayFailure} from './GatewayFailure';
import type {Plan} from './Plan';

/** An attempt that this box may run. */
export interface Attempt {
  readonly plan: Plan;
  readonly attempt: number;
  readonly serial: number;
  readonly admissions: OpenAdmissions;
  /** When it must have its first token, ms of the box's clock. */
  readonly deadline: number;
}

/** The request is known already; another attempt has it. */
export interface Known {
  readonly plan: Plan;
  readonly view: RequestView;
}

/** May run here, is known already, or is another region's to admit. */
export type Admitted =
  | {
      readonly kind: 'elsewhere';
      readonly plan: Plan;
      readonly region: string;
    }
  | {readonly kind: 'attempt'; readonly attempt: Attempt}
  | {readonly kind: 'known'; readonly known: Known};

/** What admission needs. */
export interface AdmissionParts {
  readonly box: string;
  readonly region: string;
  readonly clock: Clock;
  readonly control: ControlClient;
  readonly member: BoxMember;
  /** How long closed requests stay, ms. */
  readonly keepMs: (marked: boolean) => number;
  /** Told what a budget has left. */
  readonly onAvailable: (budget: string, available: number) => void;
}

/** Plans a request under the configuration that is known now. */
export type Planner = () => Result<Plan, GatewayFailure>;

type Step =
  | {readonly kind: 'again'}
  | {readonly kind: 'end'; readonly result: Result<Admitted, GatewayFailure>};

/** See the module comment. */
export class Admission {
  constructor(private readonly parts: AdmissionParts) {}

  /** Admits, deciding again whenever the configuration has changed. */
  async admit(
    planner: Planner,
    startedAt: number,
  ): Promise<Result<Admitted, GatewayFailure>> {
    for (let turn = 0; turn < MAX_REDECISIONS; turn += 1) {
      if (!this.parts.member.isReady) {
        return err(notReady());
      }
      const plan = planner();
      if (plan.isErr()) {
        // A refusal must not rest on a configuration that has been replaced.
        if (turn === 0 && (await this.parts.member.refresh())) {
          continue;
        }
        return err(plan.error);
      }
      const home = this.homeElsewhere(plan.value);
      if (home !== undefined) {
        return ok({kind: 'elsewhere', plan: plan.value, region: home});
      }
      const step = await this.tryOnce(plan.value, startedAt);
      if (step.kind === 'end') {
        return step.result;
      }
    }
    return err(notReady());
  }

  /**
   * The keys of never-repeated requests are kept by the home region of their
   * budget alone, so that no second region can run the same one.
   */
  private homeElsewhere({decision}: Plan): string | undefined {
    const {member, region} = this.parts;
    const home = member.config.budgetHome(decision.budget);
    return decision.marked && home !== region ? home : undefined;
  }

  private async tryOnce(plan: Plan, startedAt: number): Promise<Step> {
    const {clock, control, member} = this.parts;
    const {admissions} = member;
    const serial = admissions.next();
    const deadline = startedAt + plan.decision.deadlineMs;
    const waitMs = Math.max(0, deadline - clock.now());
    const outcome = await control.submit(this.record(plan, serial), {
      priority: plan.decision.priority,
      timeoutMs: waitMs + ADMIT_TIMEOUT_MS,
      waitMs,
    });
    if (outcome.isOk() && outcome.value.kind === 'admitted') {
      const {attempt, available} = outcome.value;
      this.parts.onAvailable(plan.decision.budget, available);
      const admitted = {admissions, attempt, deadline, plan, serial};
      return end(ok({attempt: admitted, kind: 'attempt'}));
    }
    // Nothing will run under this serial; if it was admitted after all, the
    // rising floor releases it.
    admissions.close(serial);
    return outcome.isErr()
      ? end(err(unavailable()))
      : this.afterRefusal(plan, outcome.value as AdmitOutcome);
  }

  private async afterRefusal(plan: Plan, outcome: AdmitOutcome): Promise<Step> {
    const {clock, member} = this.parts;
    switch (outcome.kind) {
      case 'present':
        return end(ok({kind: 'known', known: {plan, view: outcome.request}}));
      case 'key-conflict':
        return end(
          err(
            gatewayFailure(
              'key_conflict',
              'this key belongs to a request with other content',
            ),
          ),
        );
      case 'insufficient':
        this.parts.onAvailable(plan.decision.budget, outcome.available);
        return end(err(exhausted(plan, outcome.available, outcome.reserved)));
      case 'no-budget': {
        const message = `there is no budget ${plan.decision.budget}`;
        return end(err(gatewayFailure('budget_exhausted', message)));
      }
      case 'stale-config':
        await member.waitForConfig(outcome.configIndex, ADMIT_TIMEOUT_MS);
        return {kind: 'again'};
      default:
        await clock.sleep(2 * FOLLOW_PAUSE_MS);
        return {kind: 'again'};
    }
  }

  private record(plan: Plan, serial: number) {
    const {box, clock, keepMs, member} = this.parts;
    const {decision, digest, generatedKey, key, request, reserve} = plan;
    return {
      at: clock.wallTime(),
      box,
      budget: decision.budget,
      configIndex: plan.configIndex,
      digest,
      generatedKey,
      incarnation: member.incarnation,
      keepMs: keepMs(decision.marked),
      key,
      kind: 'admit',
      marked: decision.marked,
      reserve,
      serial,
      team: request.team.name,
    } as const;
  }
}

function end(result: Result<Admitted, GatewayFailure>): Step {
  return {kind: 'end', result};
}

function notReady(): GatewayFailure {
  const message = 'this box is not up to date with its region';
  return gatewayFailure('not_ready', message, 1_000);
}

function unavailable(): GatewayFailure {
  const message = 'the control boxes of this region cannot be reached';
  return gatewayFailure('control_unavailable', message, 2_000);
}

function exhausted(
  plan: Plan,
  available: number,
  reserved: number,
): GatewayFailure {
  const {decision, reserve} = plan;
  const message = `budget ${decision.budget} has ${available} units left (${reserved} more are reserved); this request may cost ${reserve}`;
  // Only reservations in flight can make room soon.
  const retryAfterMs = reserved > 0 ? 5_000 : undefined;
  return gatewayFailure('budget_exhausted', message, retryAfterMs);
}
