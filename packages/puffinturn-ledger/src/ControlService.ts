/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Handles requests to a control box. Only the leader of the region executes them;
 * other control boxes reply with the leader's name.
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
import {availableUnits, outstandingGrants} from './BudgetAccount';
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
import type {RegionSupply} from './GrantSplit';
import type {Ledger} from './Ledger';
import {
  CONFIRM_TIMEOUT_MS,
  CONTROL_CALL_TIMEOUT_MS,
  EXCHANGE_INTERVAL_MS,
  QUEUE_POLL_INTERVAL_MS,
  SWEEP_INTERVAL_MS,
} from './LedgerConstants';
import type {
  AdmitOutcome,
  DeclareOutcome,
  LedgerOutcome,
} from './LedgerOutcomes';
import type {LedgerRecord} from './LedgerRecords';
import {RegionExchange} from './RegionExchange';

/** Dependencies and settings of a ControlService. */
export interface ControlServiceParts {
  readonly box: string;
  readonly clock: Clock;
  readonly ledger: Ledger;
  readonly link: Link;
  readonly replica: Replica;
  readonly primaryRegion: string;
  /** Control boxes of each other region. */
  readonly otherRegions: ReadonlyMap<string, readonly string[]>;
  /** Replaces `computeGrantTarget` as the way to split a budget; for benchmarks. */
  readonly computeGrantTarget?: (
    home: RegionSupply,
    other: RegionSupply,
  ) => number;
  /** Refuses admissions instead of queueing them; for benchmarks. */
  readonly disableAdmissionQueue?: boolean;
}

/** Service of a control box. */
export class ControlService implements AsyncDisposable {
  /** Exchanges with the other regions. */
  readonly exchange: RegionExchange;
  private readonly forecast: DemandForecast;
  private readonly queue: AdmissionQueue;
  private readonly tasks = new TaskGroup();
  private readonly registrations = new DisposableList();
  private readonly exchangeRequested = new Condition();
  private readonly leadersByRegion = new Map<string, string>();

  constructor(private readonly parts: ControlServiceParts) {
    const {clock, ledger, link, primaryRegion, computeGrantTarget} = parts;
    this.forecast = new DemandForecast(clock);
    this.queue = new AdmissionQueue({
      availableUnits: (name) => this.readBudget(name, availableUnits),
      clock,
      isKnown: ({key, team}) => ledger.requests.get(team, key) !== undefined,
      onWait: () => this.exchangeRequested.notify(),
      obtainableUnits: (name) =>
        this.readBudget(name, (budget) => this.obtainableUnits(budget)),
      propose: (record) =>
        parts.replica
          .propose({...record, at: clock.wallTime()})
          .map((outcome) => outcome as AdmitOutcome),
      reservedUnits: (name) =>
        this.readBudget(name, (budget) => budget.reserved),
    });
    this.exchange = new RegionExchange({
      clock,
      commit: (record) => this.commit(record),
      forecast: this.forecast,
      ledger,
      primaryRegion,
      queuedUnits: (budget) => this.queue.queuedUnits(budget),
      ...(computeGrantTarget === undefined
        ? {}
        : {computeTarget: computeGrantTarget}),
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

  /** Handles one request. */
  async handle(request: ControlRequest): Promise<ControlReply> {
    if (!this.parts.replica.isLeader) {
      return this.notLeaderReply();
    }
    switch (request.kind) {
      case 'submit':
        return this.submit(request);
      case 'declare':
        return this.declare(request);
      case 'exchange': {
        const barrier = await this.parts.replica.barrier();
        return barrier.isErr()
          ? this.failureReply(barrier.error)
          : this.exchange.handleRequest(request);
      }
      case 'config': {
        const barrier = await this.parts.replica.barrier();
        const {declarations} = this.parts.ledger;
        return barrier.isErr()
          ? this.failureReply(barrier.error)
          : {
              entries: declarations.changesSince(request.since),
              index: declarations.configIndex,
              kind: 'config',
            };
      }
      case 'report': {
        const barrier = await this.parts.replica.barrier();
        return barrier.isErr()
          ? this.failureReply(barrier.error)
          : this.buildReport();
      }
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.registrations[Symbol.dispose]();
    this.tasks.abort();
    this.exchangeRequested.notify();
    this.queue.failAll(err({kind: 'stopped', message: 'the box is stopping'}));
    await this.tasks[Symbol.asyncDispose]();
  }

  private async submit(request: SubmitRequest): Promise<ControlReply> {
    const {clock, disableAdmissionQueue, replica} = this.parts;
    const {priority, record, region, waitedMs} = request;
    if (region !== this.parts.ledger.region) {
      return {kind: 'failed', reason: `a record for region ${region}`};
    }
    const waitMs = disableAdmissionQueue ? 0 : request.waitMs;
    const result =
      record.kind === 'admit'
        ? await this.queue.admit(record, {priority, waitedMs, waitMs})
        : await replica.propose(
            'at' in record ? {...record, at: clock.wallTime()} : record,
          );
    return result.isErr()
      ? this.failureReply(result.error)
      : {kind: 'outcome', outcome: result.value as LedgerOutcome};
  }

  private async declare(request: DeclareRequest): Promise<ControlReply> {
    const {clock, otherRegions, replica} = this.parts;
    const {declaration, digest, operator} = request;
    const result = await replica.propose({
      at: clock.wallTime(),
      declaration,
      digest,
      kind: 'declare',
      operator,
    } satisfies LedgerRecord);
    if (result.isErr()) {
      return this.failureReply(result.error);
    }
    const outcome = result.value as DeclareOutcome;
    if (outcome.kind !== 'accepted' || outcome.sequence === 0) {
      return {kind: 'declare', outcome, pending: []};
    }
    const {sequence} = outcome;
    const unconfirmedRegions = (): string[] =>
      [...otherRegions.keys()].filter(
        (region) =>
          (this.exchange.confirmedSequences.get(region) ?? 0) < sequence,
      );
    const deadline = clock.now() + CONFIRM_TIMEOUT_MS;
    while (
      unconfirmedRegions().length > 0 &&
      clock.now() < deadline &&
      !this.tasks.isAborted
    ) {
      await clock.sleep(EXCHANGE_INTERVAL_MS / 4, this.tasks.signal);
    }
    return {kind: 'declare', outcome, pending: unconfirmedRegions()};
  }

  private buildReport(): RegionReport {
    const {box, ledger, replica} = this.parts;
    const {commitIndex, members, term} = replica.status();
    return {
      boxes: ledger.boxes.all().map(({box: name, hall, incarnation}) => ({
        box: name,
        hall,
        incarnation,
      })),
      budgets: [...ledger.budgets.values()].map((budget) =>
        this.buildBudgetReport(budget),
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

  private buildBudgetReport(budget: BudgetState): BudgetReport {
    const entry = this.parts.ledger.declarations.get('budget', budget.name);
    const declared = entry?.declaration;
    const team = declared?.kind === 'budget' ? declared.spec?.team : undefined;
    return {
      available: availableUnits(budget),
      granted: outstandingGrants(budget),
      home: budget.homeRegion,
      limit: budget.limit,
      name: budget.name,
      received: budget.received - budget.returned,
      reserved: budget.reserved,
      settled: budget.settled,
      team: team ?? '',
    };
  }

  private readBudget(
    name: string,
    getUnits: (budget: BudgetState) => number,
  ): number {
    const budget = this.parts.ledger.budgets.get(name);
    return budget === undefined ? 0 : getUnits(budget);
  }

  private obtainableUnits(budget: BudgetState): number {
    return (
      availableUnits(budget) +
      budget.reserved +
      this.exchange.obtainableElsewhere(budget)
    );
  }

  private notLeaderReply(): ControlReply {
    return {kind: 'not-leader', leader: this.parts.replica.leaderBox};
  }

  private failureReply(failure: ProposalFailure): ControlReply {
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
      this.forecast.recordSpending(outcome.budget, outcome.charge);
    }
    if (record.kind !== 'admit') {
      this.processQueues();
    }
  }

  private processQueues(): void {
    for (const budget of this.queue.budgets) {
      void this.queue.processQueue(budget);
    }
  }

  private async runQueue(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.parts.clock.sleep(QUEUE_POLL_INTERVAL_MS, signal);
      if (this.parts.replica.isLeader) {
        this.processQueues();
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
      await clock.sleep(SWEEP_INTERVAL_MS, signal);
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
      await this.waitForNextExchange(signal);
    }
  }

  /** Waits for the next exchange; ends early if an admission starts to wait. */
  private async waitForNextExchange(signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    await clock.sleep(EXCHANGE_INTERVAL_MS / 10, signal);
    await sleepUnlessNotified(
      clock,
      this.exchangeRequested,
      EXCHANGE_INTERVAL_MS,
      signal,
    );
  }

  private async exchangeOnce(region: string): Promise<void> {
    const {link, otherRegions} = this.parts;
    const boxes = otherRegions.get(region) ?? [];
    const target = this.leadersByRegion.get(region) ?? boxes[0];
    if (target === undefined) {
      return;
    }
    const request = this.exchange.buildRequest(region);
    const result = await link.call(
      target,
      CONTROL_SERVICE,
      request,
      CONTROL_CALL_TIMEOUT_MS,
    );
    const reply = result.isOk() ? (result.value as ControlReply) : undefined;
    if (reply?.kind === 'exchange') {
      await this.exchange.applyReply(region, reply);
      return;
    }
    const reportedLeader =
      reply?.kind === 'not-leader' ? reply.leader : undefined;
    const nextBox = boxes[(boxes.indexOf(target) + 1) % boxes.length];
    this.leadersByRegion.set(region, reportedLeader ?? nextBox ?? target);
  }
}
