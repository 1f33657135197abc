/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * A control box's answers to the other boxes. Only the leader of the region
 * answers; the others name it.
 */
import {err} from 'neverthrow';
import type {ProposalFailure, Replica} from 'puffinturn-log';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {
  Condition,
  DisposableList,
  sleepUnlessNotified,
  TaskGroup,
} from 'shared';

import {AdmissionQueue} from './AdmissionQueue';
import type {BudgetState} from './BudgetAccount';
import {available, grantedOut} from './BudgetAccount';
import type {
  BudgetReport,
  ControlReply,
  ControlRequest,
  DeclareRequest,
  RegionReport,
  SubmitRequest,
} from './ControlMessages';
import {CONTROL_SERVICE} from './ControlMessages';
import {DemandForecast} from './DemandForecast';
import type {SplitSide} from './GrantSplit';
import type {Ledger} from './Ledger';
import {
  ACCEPT_WAIT_MS,
  CONTROL_CALL_MS,
  EXCHANGE_EVERY_MS,
  QUEUE_TICK_MS,
  SWEEP_EVERY_MS,
} from './LedgerConstants';
import type {
  AdmitOutcome,
  DeclareOutcome,
  LedgerOutcome,
} from './LedgerOutcomes';
import type {LedgerRecord} from './LedgerRecords';
import {RegionExchange} from './RegionExchange';

/** What a control box's service is made of. */
export interface ControlServiceParts {
  readonly box: string;
  readonly clock: Clock;
  readonly ledger: Ledger;
  readonly link: Link;
  readonly replica: Replica;
  readonly primaryRegion: string;
  /** Control boxes of each other region. */
  readonly otherRegions: ReadonlyMap<string, readonly string[]>;
  /** How budgets are split between regions; for comparisons. */
  readonly split?: (home: SplitSide, other: SplitSide) => number;
  /** Refuses at once near the end of a budget; for comparisons. */
  readonly neverWait?: boolean;
}

/** See the module comment. */
export class ControlService implements AsyncDisposable {
  /** Rounds with the other regions. */
  readonly exchange: RegionExchange;
  private readonly forecast: DemandForecast;
  private readonly queue: AdmissionQueue;
  private readonly tasks = new TaskGroup();
  private readonly registrations = new DisposableList();
  private readonly hurry = new Condition();
  private readonly leaders = new Map<string, string>();

  constructor(private readonly parts: ControlServiceParts) {
    const {clock, ledger, link, primaryRegion, split} = parts;
    this.forecast = new DemandForecast(clock);
    this.queue = new AdmissionQueue({
      available: (name) => this.read(name, available),
      clock,
      isKnown: ({key, team}) => ledger.requests.get(team, key) !== undefined,
      onWait: () => this.hurry.notify(),
      outlook: (name) => this.read(name, (budget) => this.outlook(budget)),
      propose: (record) =>
        parts.replica
          .propose({...record, at: clock.wallTime()})
          .map((outcome) => outcome as AdmitOutcome),
      reserved: (name) => this.read(name, (budget) => budget.reserved),
    });
    this.exchange = new RegionExchange({
      clock,
      commit: (record) => this.commit(record),
      forecast: this.forecast,
      ledger,
      primaryRegion,
      wanted: (budget) => this.queue.wanted(budget),
      ...(split === undefined ? {} : {split}),
    });
    this.registrations.add(
      ledger.subscribe((record, outcome) => this.onApplied(record, outcome)),
    );
    this.registrations.add(
      link.register(CONTROL_SERVICE, (body) =>
        this.handle(body as ControlRequest),
      ),
    );
    this.tasks.start((signal) => this.runQueue(signal));
    this.tasks.start((signal) => this.runSweep(signal));
    for (const region of parts.otherRegions.keys()) {
      this.tasks.start((signal) => this.runExchange(region, signal));
    }
  }

  /** Answers one request. */
  async handle(request: ControlRequest): Promise<ControlReply> {
    if (!this.parts.replica.isLeader) {
      return this.notLeader();
    }
    switch (request.kind) {
      case 'submit':
        return this.submit(request);
      case 'declare':
        return this.declare(request);
      case 'exchange': {
        const current = await this.parts.replica.barrier();
        return current.isErr()
          ? this.refusal(current.error)
          : this.exchange.answer(request);
      }
      case 'config': {
        const current = await this.parts.replica.barrier();
        const {declarations} = this.parts.ledger;
        return current.isErr()
          ? this.refusal(current.error)
          : {
              entries: declarations.since(request.since),
              index: declarations.configIndex,
              kind: 'config',
            };
      }
      case 'report': {
        const current = await this.parts.replica.barrier();
        return current.isErr() ? this.refusal(current.error) : this.report();
      }
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.registrations[Symbol.dispose]();
    this.tasks.abort();
    this.hurry.notify();
    this.queue.failAll(err({kind: 'stopped', message: 'the box is stopping'}));
    await this.tasks[Symbol.asyncDispose]();
  }

  private async submit(request: SubmitRequest): Promise<ControlReply> {
    const {clock, neverWait, replica} = this.parts;
    const {priority, record, region, waitedMs} = request;
    if (region !== this.parts.ledger.region) {
      return {kind: 'failed', reason: `a record for region ${region}`};
    }
    const waitMs = neverWait ? 0 : request.waitMs;
    const answer =
      record.kind === 'admit'
        ? await this.queue.admit(record, {priority, waitedMs, waitMs})
        : await replica.propose(
            'at' in record ? {...record, at: clock.wallTime()} : record,
          );
    return answer.isErr()
      ? this.refusal(answer.error)
      : {kind: 'outcome', outcome: answer.value as LedgerOutcome};
  }

  private async declare(request: DeclareRequest): Promise<ControlReply> {
    const {clock, otherRegions, replica} = this.parts;
    const {declaration, digest, operator} = request;
    const answer = await replica.propose({
      at: clock.wallTime(),
      declaration,
      digest,
      kind: 'declare',
      operator,
    } satisfies LedgerRecord);
    if (answer.isErr()) {
      return this.refusal(answer.error);
    }
    const outcome = answer.value as DeclareOutcome;
    if (outcome.kind !== 'accepted' || outcome.sequence === 0) {
      return {kind: 'declare', outcome, pending: []};
    }
    const {sequence} = outcome;
    const missing = (): string[] =>
      [...otherRegions.keys()].filter(
        (region) => (this.exchange.sequences.get(region) ?? 0) < sequence,
      );
    const end = clock.now() + ACCEPT_WAIT_MS;
    while (missing().length > 0 && clock.now() < end && !this.tasks.ended) {
      await clock.sleep(EXCHANGE_EVERY_MS / 4, this.tasks.signal);
    }
    return {kind: 'declare', outcome, pending: missing()};
  }

  private report(): RegionReport {
    const {box, ledger, replica} = this.parts;
    const {commitIndex, members, term} = replica.status();
    return {
      boxes: ledger.boxes.all().map(({box: name, hall, incarnation}) => ({
        box: name,
        hall,
        incarnation,
      })),
      budgets: [...ledger.budgets.values()].map((budget) =>
        this.reportBudget(budget),
      ),
      commitIndex,
      configIndex: ledger.declarations.configIndex,
      kind: 'report',
      leader: box,
      learners: members.learners,
      region: ledger.region,
      requests: ledger.requests.size,
      sequence: ledger.declarations.globalSequence,
      term,
      voters: members.voters,
      waiting: this.queue.size,
    };
  }

  private reportBudget(budget: BudgetState): BudgetReport {
    const entry = this.parts.ledger.declarations.get('budget', budget.name);
    const declared = entry?.declaration;
    const team = declared?.kind === 'budget' ? declared.spec?.team : undefined;
    return {
      available: available(budget),
      granted: grantedOut(budget),
      home: budget.homeRegion,
      limit: budget.limit,
      name: budget.name,
      received: budget.received - budget.returned,
      reserved: budget.reserved,
      settled: budget.settled,
      team: team ?? '',
    };
  }

  private read(name: string, figure: (budget: BudgetState) => number): number {
    const budget = this.parts.ledger.budgets.get(name);
    return budget === undefined ? 0 : figure(budget);
  }

  private outlook(budget: BudgetState): number {
    return (
      available(budget) + budget.reserved + this.exchange.elsewhere(budget)
    );
  }

  private notLeader(): ControlReply {
    return {kind: 'not-leader', leader: this.parts.replica.leaderBox};
  }

  private refusal(failure: ProposalFailure): ControlReply {
    return failure.kind === 'not-leader'
      ? {kind: 'not-leader', leader: failure.leader}
      : {kind: 'failed', reason: failure.message};
  }

  private async commit(
    record: LedgerRecord,
  ): Promise<LedgerOutcome | undefined> {
    const outcome = await this.parts.replica.propose(record);
    return outcome.isOk() ? (outcome.value as LedgerOutcome) : undefined;
  }

  private onApplied(record: LedgerRecord, outcome: LedgerOutcome): void {
    if (!this.parts.replica.isLeader) {
      return;
    }
    if (record.kind === 'settle' && outcome.kind === 'done') {
      this.forecast.add(outcome.budget, outcome.charge);
    }
    if (record.kind !== 'admit') {
      this.pumpAll();
    }
  }

  private pumpAll(): void {
    for (const budget of this.queue.budgets) {
      void this.queue.pump(budget);
    }
  }

  private async runQueue(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.parts.clock.sleep(QUEUE_TICK_MS, signal);
      if (this.parts.replica.isLeader) {
        this.pumpAll();
      } else if (this.queue.size > 0) {
        const leader = this.parts.replica.leaderBox;
        const message = 'the leader changed';
        this.queue.failAll(err({kind: 'not-leader', leader, message}));
      }
    }
  }

  private async runSweep(signal: AbortSignal): Promise<void> {
    const {clock, replica} = this.parts;
    while (!signal.aborted) {
      await clock.sleep(SWEEP_EVERY_MS, signal);
      if (replica.isLeader) {
        await this.commit({at: clock.wallTime(), kind: 'sweep'});
      }
    }
  }

  private async runExchange(
    region: string,
    signal: AbortSignal,
  ): Promise<void> {
    const {replica} = this.parts;
    while (!signal.aborted) {
      if (replica.isLeader) {
        await this.exchangeOnce(region);
      }
      await this.pauseExchange(signal);
    }
  }

  /** Waits for the next round, less when an admission has begun to wait. */
  private async pauseExchange(signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    await clock.sleep(EXCHANGE_EVERY_MS / 10, signal);
    await sleepUnlessNotified(clock, this.hurry, EXCHANGE_EVERY_MS, signal);
  }

  private async exchangeOnce(region: string): Promise<void> {
    const {link, otherRegions} = this.parts;
    const boxes = otherRegions.get(region) ?? [];
    const target = this.leaders.get(region) ?? boxes[0];
    if (target === undefined) {
      return;
    }
    const request = this.exchange.request(region);
    const answer = await link.call(
      target,
      CONTROL_SERVICE,
      request,
      CONTROL_CALL_MS,
    );
    const reply = answer.isOk() ? (answer.value as ControlReply) : undefined;
    if (reply?.kind === 'exchange') {
      await this.exchange.accept(region, reply);
      return;
    }
    const named = reply?.kind === 'not-leader' ? reply.leader : undefined;
    const next = boxes[(boxes.indexOf(target) + 1) % boxes.length];
    this.leaders.set(region, named ?? next ?? target);
  }
}
