/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Runs a sequence of steps against a fleet and checks the invariants. */
import type {BoxBreakage} from 'puffinturn-daemon';
import type {CallerRequest, Gateway} from 'puffinturn-gateway';
import type {DeclareReply} from 'puffinturn-ledger';
import {allocatedUnits, outstandingGrants} from 'puffinturn-ledger';
import type {Declaration} from 'puffinturn-settings';
import type {TimelineEvent} from 'puffinturn-timeline';
import {invariant} from 'shared';

import {createCallerRequest} from './CallerRequests';
import {
  BUDGET_NAME,
  budgetDeclaration,
  drainDeclaration,
  INITIAL_CALL_PRICE,
  INITIAL_LIMIT,
  initialDeclarations,
  serviceDeclaration,
} from './FuzzDeclarations';
import {FUZZ_BOXES, FuzzFleet} from './FuzzFleet';
import type {Breach, CallerAttempt} from './Oracle';
import {Oracle} from './Oracle';
import type {Step} from './Step';
import {REQUEST_KIND, SERVICE_URLS} from './Step';

/** Deliberate faults in the code under test that the fuzzer can enable. */
export type FuzzBreakage = BoxBreakage & {readonly skipSync?: boolean};

/** Number of occurrences of each step and outcome, by name. */
export type Counts = Map<string, number>;

/** The result of a run. */
export interface RunReport {
  readonly breaches: readonly Breach[];
  readonly counts: Counts;
  /** Events of all boxes, in order of time. */
  readonly timeline: readonly TimelineEvent[];
  /** Attempts of callers, in the order in which they were sent. */
  readonly attempts: readonly CallerAttempt[];
}

const REPAIR_SETTLE_MS = 100_000;
const ATTEMPT_TIMEOUT_MS = 30_000;
const REGIONS = ['north', 'south'] as const;

/** A single run on a new fleet. */
export class FuzzRun {
  private readonly fleet: FuzzFleet;
  private readonly oracle: Oracle;
  private readonly counts: Counts = new Map();
  private readonly breaches: Breach[] = [];
  private readonly pending = new Set<Promise<void>>();
  private unkeyedCount = 0;
  private priceNumber = 1;
  private price = INITIAL_CALL_PRICE;
  private limitNumber = 1;
  private limit = INITIAL_LIMIT;
  private drainNumber = 0;
  private drainedSince: number | undefined;

  private constructor(seed: number, breakage: FuzzBreakage) {
    this.fleet = new FuzzFleet(seed, {breakage});
    this.oracle = new Oracle(this.fleet.upstreams);
    this.oracle.highestLimit = INITIAL_LIMIT;
  }

  /** Runs all steps, removes all faults and checks the invariants. */
  static async run(
    seed: number,
    steps: readonly Step[],
    breakage: FuzzBreakage = {},
  ): Promise<RunReport> {
    const run = new FuzzRun(seed, breakage);
    await using _fleet = run.fleet;
    try {
      await run.prepare();
      for (const step of steps) {
        run.increment(step.kind);
        await run.applyStep(step);
        await run.fleet.clock.advance(step.afterMs);
        run.checkBudgets();
      }
      await run.finish();
    } catch (error) {
      const detail = error instanceof Error ? (error.stack ?? '') : '';
      run.breaches.push({detail, promise: 'no invariant fails'});
    }
    return {
      attempts: run.oracle.attempts,
      breaches: run.breaches,
      counts: run.counts,
      timeline: run.fleet.events(),
    };
  }

  private increment(name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }

  private async prepare(): Promise<void> {
    await this.fleet.startAll();
    for (const declaration of initialDeclarations()) {
      const reply = this.fleet.declare('n1', declaration, 'setup');
      const accepted = await this.fleet.advanceUntilSettled(reply);
      invariant(
        accepted?.isOk(),
        `initial declaration ${declaration.name} was not accepted`,
      );
    }
    await this.fleet.clock.advance(1_500);
  }

  private async finish(): Promise<void> {
    await this.fleet.repair(REPAIR_SETTLE_MS);
    await this.fleet.advanceUntilSettled(Promise.all(this.pending));
    this.recordDrainEnd();
    this.checkBudgets();
    this.checkFinalState();
    this.breaches.push(...this.oracle.findBreaches());
    this.countOutcomes();
  }

  private async applyStep(step: Step): Promise<void> {
    const {fleet} = this;
    switch (step.kind) {
      case 'request':
        return this.startRequest(step);
      case 'kill':
        return fleet.kill(step.box);
      case 'start':
        return fleet.start(step.box);
      case 'lose-disk':
        this.increment(
          (await fleet.loseDisk(step.box)) ? 'disk lost' : 'disk kept',
        );
        return;
      case 'freeze':
        return fleet.incarnations.get(step.box)?.clock.pause();
      case 'thaw':
        return fleet.incarnations.get(step.box)?.clock.resume();
      case 'isolate':
        return fleet.network.partition(
          [step.box],
          FUZZ_BOXES.map(({name}) => name).filter((name) => name !== step.box),
        );
      case 'one-way-cut':
        return fleet.network.dropMessages(step.from, step.to);
      case 'part-regions':
        return fleet.network.partition(
          boxNamesIn('north'),
          boxNamesIn('south'),
        );
      case 'heal':
        return fleet.network.heal();
      case 'delay':
        fleet.network.delayRange = {maxMs: step.highMs, minMs: 1};
        return;
      case 'restart-group':
        return this.restartGroup(step.boxes);
      case 'disk-errors':
        return fleet.setDiskErrors(step.boxes, step.errors);
      case 'upstream':
        this.increment(`upstream ${step.mode}`);
        return fleet.upstreams.setMode(step.url, step.mode);
      case 'price':
        return this.changePrice([step.box]);
      case 'racing-price':
        return this.changePrice(step.boxes);
      case 'top-up':
        return this.topUp(step.box);
      case 'drain':
        return this.changeDrain(step.box, step.on);
    }
  }

  private async restartGroup(boxes: readonly string[]): Promise<void> {
    const detail = await this.fleet.restartGroup(boxes);
    if (detail !== undefined) {
      this.breaches.push({detail, promise: 'a restart loses nothing'});
    }
  }

  // Requests

  private startRequest(step: Extract<Step, {kind: 'request'}>): void {
    const gateway = this.fleet.incarnations.get(step.box)?.box.gateway;
    if (gateway === undefined) {
      return;
    }
    this.unkeyedCount += 1;
    const suffix =
      step.request === REQUEST_KIND.unkeyed ? this.unkeyedCount : '';
    const attempt: CallerAttempt = {
      kind: step.request,
      isAbandoned: step.leavesAfterMs !== null,
      name: `${step.request}-${step.name}${suffix}`,
      priceAtStart: this.oracle.acceptedPrice,
      region: FUZZ_BOXES.find(({name}) => name === step.box)?.region ?? '',
    };
    this.oracle.attempts.push(attempt);
    const completion = this.runAttempt(gateway, step, attempt);
    this.pending.add(completion);
    void completion.finally(() => this.pending.delete(completion));
  }

  /** Sends one attempt; it gets no response if its box is killed. */
  private async runAttempt(
    gateway: Gateway,
    step: Extract<Step, {kind: 'request'}>,
    attempt: CallerAttempt,
  ): Promise<void> {
    const member = this.fleet.incarnations.get(step.box)?.box.member;
    const request =
      member && createCallerRequest(member, attempt.kind, attempt.name);
    if (request === undefined) {
      attempt.outcome = 'not-run';
      attempt.code = 'invalid_key';
      return;
    }
    const timeout = this.fleet.clock.sleep(ATTEMPT_TIMEOUT_MS);
    await Promise.race([
      this.recordResponse(gateway, request, step, attempt),
      timeout,
    ]);
  }

  private async recordResponse(
    gateway: Gateway,
    request: CallerRequest,
    step: Extract<Step, {kind: 'request'}>,
    attempt: CallerAttempt,
  ): Promise<void> {
    const result = await gateway.handle(request);
    if (!this.isSameIncarnation(step.box, gateway)) {
      return;
    }
    if (result.isErr()) {
      attempt.outcome = result.error.outcome;
      attempt.code = result.error.kind;
      return;
    }
    const {response} = result.value;
    const reader = response.createReader();
    if (step.leavesAfterMs !== null) {
      void this.fleet.clock
        .sleep(step.leavesAfterMs)
        .then(() => reader[Symbol.dispose]());
      return;
    }
    const receivedChunks: Uint8Array[] = [];
    for (;;) {
      const chunks = await reader.readAvailable();
      if (chunks.length === 0) {
        break;
      }
      receivedChunks.push(...chunks);
    }
    reader[Symbol.dispose]();
    if (!this.isSameIncarnation(step.box, gateway)) {
      return;
    }
    const {end, head} = response;
    attempt.isComplete = end?.kind === 'whole';
    attempt.outcome =
      end?.kind === 'failed'
        ? end.failure.outcome
        : (head?.outcome ?? 'unknown');
    attempt.code = end?.kind === 'failed' ? end.failure.kind : 'ok';
    attempt.billed = head?.billed;
    attempt.body = responseText(
      Buffer.concat(receivedChunks).toString(),
      attempt,
    );
  }

  /** Whether the box still runs the incarnation that the attempt was sent to. */
  private isSameIncarnation(box: string, gateway: Gateway): boolean {
    return this.fleet.incarnations.get(box)?.box.gateway === gateway;
  }

  // Operator changes

  private changePrice(boxes: readonly string[]): void {
    this.priceNumber += 1;
    const number = this.priceNumber;
    let accepted = 0;
    for (const [index, box] of boxes.entries()) {
      this.price += 1;
      const {price} = this;
      this.sendDeclaration(
        box,
        serviceDeclaration(number, price),
        `operator-${index}`,
        (reply) => {
          if (reply.outcome.kind !== 'accepted') {
            this.increment(`change ${reply.outcome.kind}`);
            return;
          }
          accepted += 1;
          if (accepted > 1 && box !== boxes[0]) {
            this.breaches.push({
              detail: `number ${number} was accepted twice`,
              promise: 'one of several racing changes wins',
            });
          }
          if (reply.pending.length === 0) {
            this.oracle.acceptedPrice = Math.max(
              this.oracle.acceptedPrice,
              price,
            );
          }
        },
      );
    }
  }

  private topUp(box: string): void {
    this.limitNumber += 1;
    this.limit += 50;
    this.oracle.highestLimit = this.limit;
    this.sendDeclaration(
      box,
      budgetDeclaration(this.limitNumber, this.limit),
      'top-up',
      () => {},
    );
  }

  private changeDrain(box: string, on: boolean): void {
    this.drainNumber += 1;
    // Until the reply arrives the upstream may be drained or not, so nothing is checked.
    this.recordDrainEnd();
    const number = this.drainNumber;
    this.sendDeclaration(
      box,
      drainDeclaration(number, on),
      'drain',
      ({outcome, pending}) => {
        const isNewest = number === this.drainNumber;
        if (
          outcome.kind === 'accepted' &&
          pending.length === 0 &&
          isNewest &&
          on
        ) {
          this.drainedSince = this.fleet.clock.now();
        }
      },
    );
  }

  private recordDrainEnd(): void {
    if (this.drainedSince !== undefined) {
      this.oracle.drains.push({
        fromMs: this.drainedSince,
        untilMs: this.fleet.clock.now(),
        url: SERVICE_URLS[0],
      });
    }
    this.drainedSince = undefined;
  }

  private sendDeclaration(
    box: string,
    declaration: Declaration,
    operator: string,
    onReply: (reply: DeclareReply) => void,
  ): void {
    const completion = this.fleet
      .declare(box, declaration, operator)
      .then((reply) => {
        if (reply?.isOk() === true) {
          this.increment('change answered');
          onReply(reply.value);
        }
      });
    this.pending.add(completion);
    void completion.finally(() => this.pending.delete(completion));
  }

  // Invariants

  /** Checks the charges and reservations of all regions against the limit. */
  private checkBudgets(): void {
    let spent = 0;
    for (const region of REGIONS) {
      const state = this.fleet
        .mostAppliedLedger(region)
        ?.budgets.get(BUDGET_NAME);
      spent += state === undefined ? 0 : state.settled + state.reserved;
      if (state !== undefined && allocatedUnits(state) < 0) {
        const detail = `${region} has granted ${outstandingGrants(state)}`;
        this.breaches.push({detail, promise: 'never over budget'});
      }
    }
    this.breaches.push(...this.oracle.checkSpend(spent));
  }

  /** Checks, once the fleet is repaired, that no reservation is left and charges add up. */
  private checkFinalState(): void {
    for (const region of REGIONS) {
      const ledger = this.fleet.mostAppliedLedger(region);
      const state = ledger?.budgets.get(BUDGET_NAME);
      if (ledger === undefined || state === undefined) {
        this.breaches.push({detail: region, promise: 'a region recovers'});
        continue;
      }
      if (state.reserved !== 0) {
        const detail = `${region} still reserves ${state.reserved}`;
        this.breaches.push({detail, promise: 'reservations end'});
      }
      const keyedCharge = ledger.requests
        .all()
        .reduce((sum, {charge}) => sum + charge, 0);
      const {atLeast, atMost} = this.unkeyedCharge(region);
      const isWithinBounds =
        state.settled >= keyedCharge + atLeast &&
        state.settled <= keyedCharge + atMost;
      if (!isWithinBounds) {
        const detail = `${region} has charged ${state.settled}; requests with keys add up to ${keyedCharge}, those without to ${atLeast} or up to ${atMost}`;
        this.breaches.push({detail, promise: 'billed exactly once'});
      }
    }
    this.checkBilledOnce();
    this.checkReplicas();
  }

  /** Checks that a request with a key is billed in at most one region. */
  private checkBilledOnce(): void {
    const billed = new Map<string, string>();
    for (const region of REGIONS) {
      for (const entry of this.fleet
        .mostAppliedLedger(region)
        ?.requests.all() ?? []) {
        if (entry.charge > 0 && billed.has(entry.key)) {
          const detail = `${entry.key} in ${billed.get(entry.key)} and ${region}`;
          this.breaches.push({detail, promise: 'billed exactly once'});
        }
        if (entry.charge > 0) {
          billed.set(entry.key, region);
        }
      }
    }
  }

  /**
   * Bounds of the charges for requests without a key, units. The upper bound adds the
   * current price for each attempt whose outcome its caller doesn't know.
   */
  private unkeyedCharge(region: string): {atLeast: number; atMost: number} {
    const attempts = this.oracle.attempts.filter(
      (attempt) =>
        attempt.kind === REQUEST_KIND.unkeyed && attempt.region === region,
    );
    const atLeast = attempts.reduce((sum, {billed = 0}) => sum + billed, 0);
    const uncertain = attempts.filter(
      ({billed, isAbandoned, outcome}) =>
        billed === undefined && (isAbandoned || outcome !== 'not-run'),
    );
    return {atLeast, atMost: atLeast + uncertain.length * this.price};
  }

  private checkReplicas(): void {
    for (const region of REGIONS) {
      const settled = this.fleet
        .ledgers(region)
        .map((ledger) => ledger.budgets.get(BUDGET_NAME)?.settled);
      if (new Set(settled).size > 1) {
        const detail = `${region}: ${settled.join(', ')}`;
        this.breaches.push({detail, promise: 'replicas agree'});
      }
    }
  }

  private countOutcomes(): void {
    for (const {code, kind, isAbandoned, outcome} of this.oracle.attempts) {
      if (isAbandoned) {
        this.increment(`${kind} caller left`);
        continue;
      }
      this.increment(`${kind} ${outcome ?? 'unanswered'} ${code ?? ''}`.trim());
    }
  }
}

function boxNamesIn(region: string): string[] {
  return FUZZ_BOXES.filter((box) => box.region === region).map(
    ({name}) => name,
  );
}

/** Joins the text of a stream's events; returns other bodies unchanged. */
function responseText(body: string, {kind}: CallerAttempt): string {
  if (kind !== REQUEST_KIND.stream) {
    return body;
  }
  return body
    .split('\n\n')
    .filter((event) => event.startsWith('data: {'))
    .map((event) => JSON.parse(event.slice('data: '.length)))
    .map(({choices}) => choices[0]?.delta?.content ?? '')
    .join('');
}
