/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Runs a list of steps against a fleet and checks the promises. */
import type {BoxBreakage} from 'puffinturn-daemon';
import type {CallerRequest, Gateway} from 'puffinturn-gateway';
import type {DeclareReply} from 'puffinturn-ledger';
import {allocatedUnits, outstandingGrants} from 'puffinturn-ledger';
import type {Declaration} from 'puffinturn-settings';
import type {TimelineEvent} from 'puffinturn-timeline';
import {invariant} from 'shared';

import {callerRequest} from './CallerRequests';
import {
  BUDGET,
  budget,
  drainFirst,
  FIRST_LIMIT,
  FIRST_PRICE,
  firstDeclarations,
  service,
} from './FuzzDeclarations';
import {FUZZ_BOXES, FuzzFleet} from './FuzzFleet';
import type {Breach, CallerTry} from './Oracle';
import {Oracle} from './Oracle';
import type {Step} from './Step';
import {REQUEST_KIND, SERVICE_URLS} from './Step';

/** Breakages that the fuzzer can switch on. */
export type FuzzBreakage = BoxBreakage & {readonly skipSync?: boolean};

/** How often each fault and promise was exercised. */
export type Counts = Map<string, number>;

/** What a run found. */
export interface RunReport {
  readonly breaches: readonly Breach[];
  readonly counts: Counts;
  /** Events of all boxes, in order. */
  readonly timeline: readonly TimelineEvent[];
  /** What callers were told, in the order in which they asked. */
  readonly tries: readonly CallerTry[];
}

const SETTLE_MS = 100_000;
const TRY_TIMEOUT_MS = 30_000;
const REGIONS = ['north', 'south'] as const;

/** One run over one fleet. */
export class FuzzRun {
  private readonly fleet: FuzzFleet;
  private readonly oracle: Oracle;
  private readonly counts: Counts = new Map();
  private readonly breaches: Breach[] = [];
  private readonly open = new Set<Promise<void>>();
  private unkeyed = 0;
  private priceNumber = 1;
  private price = FIRST_PRICE;
  private limitNumber = 1;
  private limit = FIRST_LIMIT;
  private drainNumber = 0;
  private drainedSince: number | undefined;

  private constructor(seed: number, breakage: FuzzBreakage) {
    this.fleet = new FuzzFleet(seed, {breakage});
    this.oracle = new Oracle(this.fleet.world);
    this.oracle.highestLimit = FIRST_LIMIT;
  }

  /** Runs all steps, repairs everything and checks. */
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
        run.count(step.kind);
        await run.take(step);
        await run.fleet.clock.advance(step.afterMs);
        run.checkBudgets();
      }
      await run.finish();
    } catch (error) {
      const detail = error instanceof Error ? (error.stack ?? '') : '';
      run.breaches.push({detail, promise: 'no invariant fails'});
    }
    return {
      breaches: run.breaches,
      counts: run.counts,
      timeline: run.fleet.events(),
      tries: run.oracle.tries,
    };
  }

  private count(name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }

  private async prepare(): Promise<void> {
    await this.fleet.startAll();
    for (const declaration of firstDeclarations()) {
      const reply = this.fleet.declare('n1', declaration, 'setup');
      const accepted = await this.fleet.drive(reply);
      invariant(accepted?.isOk(), `${declaration.name} must be accepted`);
    }
    await this.fleet.clock.advance(1_500);
  }

  private async finish(): Promise<void> {
    await this.fleet.repair(SETTLE_MS);
    await this.fleet.drive(Promise.all(this.open));
    this.endDrain();
    this.checkBudgets();
    this.checkClosed();
    this.breaches.push(...this.oracle.checkCallers());
    this.countPromises();
  }

  private async take(step: Step): Promise<void> {
    const {fleet} = this;
    switch (step.kind) {
      case 'request':
        return this.request(step);
      case 'kill':
        return fleet.kill(step.box);
      case 'start':
        return fleet.start(step.box);
      case 'lose-disk':
        this.count(
          (await fleet.loseDisk(step.box)) ? 'disk lost' : 'disk kept',
        );
        return;
      case 'freeze':
        return fleet.lives.get(step.box)?.clock.pause();
      case 'thaw':
        return fleet.lives.get(step.box)?.clock.resume();
      case 'isolate':
        return fleet.network.partition(
          [step.box],
          FUZZ_BOXES.map(({name}) => name).filter((name) => name !== step.box),
        );
      case 'one-way-cut':
        return fleet.network.cut(step.from, step.to);
      case 'part-regions':
        return fleet.network.partition(boxesIn('north'), boxesIn('south'));
      case 'heal':
        return fleet.network.heal();
      case 'delay':
        fleet.network.delay = {highMs: step.highMs, lowMs: 1};
        return;
      case 'upstream':
        this.count(`upstream ${step.mode}`);
        return fleet.world.setMode(step.url, step.mode);
      case 'price':
        return this.changePrice([step.box]);
      case 'racing-price':
        return this.changePrice(step.boxes);
      case 'top-up':
        return this.topUp(step.box);
      case 'drain':
        return this.drain(step.box, step.on);
    }
  }

  // Requests

  private request(step: Extract<Step, {kind: 'request'}>): void {
    const gateway = this.fleet.lives.get(step.box)?.box.gateway;
    if (gateway === undefined) {
      return;
    }
    this.unkeyed += 1;
    const suffix = step.request === REQUEST_KIND.unkeyed ? this.unkeyed : '';
    const one: CallerTry = {
      kind: step.request,
      left: step.leavesAfterMs !== null,
      name: `${step.request}-${step.name}${suffix}`,
      priceAtStart: this.oracle.acceptedPrice,
      region: FUZZ_BOXES.find(({name}) => name === step.box)?.region ?? '',
    };
    this.oracle.tries.push(one);
    const served = this.serve(gateway, step, one);
    this.open.add(served);
    void served.finally(() => this.open.delete(served));
  }

  /** One caller; one whose box dies learns nothing. */
  private async serve(
    gateway: Gateway,
    step: Extract<Step, {kind: 'request'}>,
    one: CallerTry,
  ): Promise<void> {
    const member = this.fleet.lives.get(step.box)?.box.member;
    const request = member && callerRequest(member, one.kind, one.name);
    if (request === undefined) {
      one.outcome = 'not-run';
      one.code = 'invalid_key';
      return;
    }
    const ended = this.fleet.clock.sleep(TRY_TIMEOUT_MS);
    await Promise.race([this.follow(gateway, request, step, one), ended]);
  }

  private async follow(
    gateway: Gateway,
    request: CallerRequest,
    step: Extract<Step, {kind: 'request'}>,
    one: CallerTry,
  ): Promise<void> {
    const handled = await gateway.handle(request);
    if (!this.isAlive(step.box, gateway)) {
      return;
    }
    if (handled.isErr()) {
      one.outcome = handled.error.outcome;
      one.code = handled.error.kind;
      return;
    }
    const {response} = handled.value;
    const reader = response.createReader();
    if (step.leavesAfterMs !== null) {
      void this.fleet.clock
        .sleep(step.leavesAfterMs)
        .then(() => reader[Symbol.dispose]());
      return;
    }
    const parts: Uint8Array[] = [];
    for (;;) {
      const chunks = await reader.readAvailable();
      if (chunks.length === 0) {
        break;
      }
      parts.push(...chunks);
    }
    reader[Symbol.dispose]();
    if (!this.isAlive(step.box, gateway)) {
      return;
    }
    const {end, head} = response;
    one.whole = end?.kind === 'whole';
    one.outcome =
      end?.kind === 'failed'
        ? end.failure.outcome
        : (head?.outcome ?? 'unknown');
    one.code = end?.kind === 'failed' ? end.failure.kind : 'ok';
    one.billed = head?.billed;
    one.body = textOf(Buffer.concat(parts).toString(), one);
  }

  /** A dead box's last words reach nobody. */
  private isAlive(box: string, gateway: Gateway): boolean {
    return this.fleet.lives.get(box)?.box.gateway === gateway;
  }

  // Changes

  private changePrice(boxes: readonly string[]): void {
    this.priceNumber += 1;
    const number = this.priceNumber;
    let accepted = 0;
    for (const [at, box] of boxes.entries()) {
      this.price += 1;
      const {price} = this;
      this.send(box, service(number, price), `operator-${at}`, (reply) => {
        if (reply.outcome.kind !== 'accepted') {
          this.count(`change ${reply.outcome.kind}`);
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
      });
    }
  }

  private topUp(box: string): void {
    this.limitNumber += 1;
    this.limit += 50;
    this.oracle.highestLimit = this.limit;
    this.send(box, budget(this.limitNumber, this.limit), 'top-up', () => {});
  }

  private drain(box: string, on: boolean): void {
    this.drainNumber += 1;
    // From the moment of the request on, either state may hold.
    this.endDrain();
    const number = this.drainNumber;
    this.send(box, drainFirst(number, on), 'drain', ({outcome, pending}) => {
      const newest = number === this.drainNumber;
      if (outcome.kind === 'accepted' && pending.length === 0 && newest && on) {
        this.drainedSince = this.fleet.clock.now();
      }
    });
  }

  private endDrain(): void {
    if (this.drainedSince !== undefined) {
      this.oracle.drains.push({
        from: this.drainedSince,
        until: this.fleet.clock.now(),
        url: SERVICE_URLS[0],
      });
    }
    this.drainedSince = undefined;
  }

  private send(
    box: string,
    declaration: Declaration,
    operator: string,
    onReply: (reply: DeclareReply) => void,
  ): void {
    const sent = this.fleet
      .declare(box, declaration, operator)
      .then((reply) => {
        if (reply?.isOk() === true) {
          this.count('change answered');
          onReply(reply.value);
        }
      });
    this.open.add(sent);
    void sent.finally(() => this.open.delete(sent));
  }

  // Checks

  /** Checks what all regions have charged and hold against the limit. */
  private checkBudgets(): void {
    let spent = 0;
    for (const region of REGIONS) {
      const state = this.fleet.newestLedger(region)?.budgets.get(BUDGET);
      spent += state === undefined ? 0 : state.settled + state.reserved;
      if (state !== undefined && allocatedUnits(state) < 0) {
        const detail = `${region} has granted ${outstandingGrants(state)}`;
        this.breaches.push({detail, promise: 'never over budget'});
      }
    }
    this.breaches.push(...this.oracle.checkSpend(spent));
  }

  /** When all is repaired nothing may be reserved, and charges must add up. */
  private checkClosed(): void {
    for (const region of REGIONS) {
      const ledger = this.fleet.newestLedger(region);
      const state = ledger?.budgets.get(BUDGET);
      if (ledger === undefined || state === undefined) {
        this.breaches.push({detail: region, promise: 'a region recovers'});
        continue;
      }
      if (state.reserved !== 0) {
        const detail = `${region} still reserves ${state.reserved}`;
        this.breaches.push({detail, promise: 'reservations end'});
      }
      const keyed = ledger.requests
        .all()
        .reduce((sum, {charge}) => sum + charge, 0);
      const {atLeast, atMost} = this.billedUnkeyed(region);
      const fits =
        state.settled >= keyed + atLeast && state.settled <= keyed + atMost;
      if (!fits) {
        const detail = `${region} has charged ${state.settled}; requests with keys add up to ${keyed}, those without to ${atLeast} or up to ${atMost}`;
        this.breaches.push({detail, promise: 'billed exactly once'});
      }
    }
    this.checkBilledOnce();
    this.checkReplicas();
  }

  /** A request with a key is billed in one region at most. */
  private checkBilledOnce(): void {
    const billed = new Map<string, string>();
    for (const region of REGIONS) {
      for (const entry of this.fleet.newestLedger(region)?.requests.all() ??
        []) {
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
   * What requests without keys have cost: what callers were told, and at most
   * the last price for each that may have run without its caller knowing.
   */
  private billedUnkeyed(region: string): {atLeast: number; atMost: number} {
    const tries = this.oracle.tries.filter(
      (one) => one.kind === REQUEST_KIND.unkeyed && one.region === region,
    );
    const atLeast = tries.reduce((sum, {billed = 0}) => sum + billed, 0);
    const unsure = tries.filter(
      ({billed, left, outcome}) =>
        billed === undefined && (left || outcome !== 'not-run'),
    );
    return {atLeast, atMost: atLeast + unsure.length * this.price};
  }

  private checkReplicas(): void {
    for (const region of REGIONS) {
      const settled = this.fleet
        .ledgers(region)
        .map((ledger) => ledger.budgets.get(BUDGET)?.settled);
      if (new Set(settled).size > 1) {
        const detail = `${region}: ${settled.join(', ')}`;
        this.breaches.push({detail, promise: 'replicas agree'});
      }
    }
  }

  private countPromises(): void {
    for (const {code, kind, left, outcome} of this.oracle.tries) {
      if (left) {
        this.count(`${kind} caller left`);
        continue;
      }
      this.count(`${kind} ${outcome ?? 'unanswered'} ${code ?? ''}`.trim());
    }
  }
}

function boxesIn(region: string): string[] {
  return FUZZ_BOXES.filter((box) => box.region === region).map(
    ({name}) => name,
  );
}

/** The text of a stream's events; other bodies as they are. */
function textOf(body: string, {kind}: CallerTry): string {
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
