/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Messages to the control boxes of a region. */
import type {Declaration} from 'puffinturn-settings';
import type {Failure} from 'shared';

import type {DeclarationEntry} from './DeclarationTable';
import type {DeclareOutcome, LedgerOutcome} from './LedgerOutcomes';
import type {LedgerRecord} from './LedgerRecords';

/** The service name on the link. */
export const CONTROL_SERVICE = 'control';

/** Commits one record; an admission may wait for units to come free. */
export interface SubmitRequest {
  readonly kind: 'submit';
  /** The region that the record is meant for. */
  readonly region: string;
  readonly record: LedgerRecord;
  /** How long an admission may wait, ms. */
  readonly waitMs: number;
  /** How long it has waited in earlier calls, ms. */
  readonly waitedMs: number;
  /** Order among waiting admissions; 0 goes first. */
  readonly priority: number;
}

/** Changes the configuration, in the region that decides its scope. */
export interface DeclareRequest {
  readonly kind: 'declare';
  readonly declaration: Declaration;
  readonly digest: string;
  readonly operator: string;
}

/** Reads the configuration after an index, proved current. */
export interface ConfigRequest {
  readonly kind: 'config';
  readonly since: number;
}

/** Reads budgets and figures, proved current. */
export interface ReportRequest {
  readonly kind: 'report';
}

/** What one region tells about a budget whose home is elsewhere. */
export interface BudgetNeed {
  readonly budget: string;
  /** Number of the grant that is asked for. */
  readonly number: number;
  readonly available: number;
  readonly reserved: number;
  /** Spending, units a millisecond. */
  readonly rate: number;
  /** Units that waiting admissions lack. */
  readonly lacking: number;
}

/** A part of a budget on its way home. */
export interface BudgetReturn {
  readonly budget: string;
  readonly number: number;
  readonly amount: number;
}

/** A request with the caller's key that a region has billed. */
export interface BilledRequest {
  readonly team: string;
  readonly key: string;
  readonly attempt: number;
  readonly budget: string;
  readonly digest: string;
  readonly box: string;
  readonly incarnation: string;
  readonly keepMs: number;
}

/** The home region's answer to a BilledRequest. */
export interface BilledVerdict {
  readonly team: string;
  readonly key: string;
  readonly attempt: number;
  /** True when another region bills it. */
  readonly duplicate: boolean;
}

/** One round between the leaders of two regions. */
export interface ExchangeRequest {
  readonly kind: 'exchange';
  readonly region: string;
  /** Global changes in force in the asking region. */
  readonly sequence: number;
  readonly needs: readonly BudgetNeed[];
  readonly returns: readonly BudgetReturn[];
  readonly billed: readonly BilledRequest[];
}

/** What the home region answers about one budget. */
export interface BudgetGrant {
  readonly budget: string;
  /** 0 when nothing is granted. */
  readonly number: number;
  readonly amount: number;
  /** Units that may yet come, at home or from other regions. */
  readonly outlook: number;
  /** Units that the home region would like back. */
  readonly recall: number;
}

/** Answer to an ExchangeRequest. */
export interface ExchangeReply {
  readonly kind: 'exchange';
  /** Global changes after the asked sequence, from the primary region. */
  readonly changes: readonly DeclarationEntry[];
  readonly grants: readonly BudgetGrant[];
  readonly acceptedReturns: readonly BudgetReturn[];
  readonly verdicts: readonly BilledVerdict[];
  /** Budgets that the home region wants to hear about in the next round. */
  readonly queries: readonly string[];
}

/** Every request to a control box. */
export type ControlRequest =
  | ConfigRequest
  | DeclareRequest
  | ExchangeRequest
  | ReportRequest
  | SubmitRequest;

/** A budget as `report` shows it. */
export interface BudgetReport {
  readonly name: string;
  readonly team: string;
  readonly home: string;
  readonly limit: number;
  readonly settled: number;
  readonly reserved: number;
  readonly available: number;
  readonly granted: number;
  readonly received: number;
}

/** Figures of a region. */
export interface RegionReport {
  readonly kind: 'report';
  readonly region: string;
  readonly leader: string;
  readonly configIndex: number;
  readonly sequence: number;
  readonly commitIndex: number;
  readonly term: number;
  readonly voters: readonly string[];
  readonly learners: readonly string[];
  readonly boxes: readonly {
    readonly box: string;
    readonly hall: string;
    readonly incarnation: string;
  }[];
  readonly budgets: readonly BudgetReport[];
  readonly requests: number;
  readonly waiting: number;
}

/** The configuration after an index. */
export interface ConfigReply {
  readonly kind: 'config';
  readonly index: number;
  readonly entries: readonly DeclarationEntry[];
}

/** The answer to a change, once the other regions were asked. */
export interface DeclareReply {
  readonly kind: 'declare';
  readonly outcome: DeclareOutcome;
  /** Regions that have not confirmed yet; the change is pending there. */
  readonly pending: readonly string[];
}

/** Every answer of a control box. */
export type ControlReply =
  | ConfigReply
  | DeclareReply
  | ExchangeReply
  | RegionReport
  | {readonly kind: 'failed'; readonly reason: string}
  | {readonly kind: 'not-leader'; readonly leader: string | undefined}
  | {readonly kind: 'outcome'; readonly outcome: LedgerOutcome};

/** No control box gave an outcome in time; it may have been committed. */
export type ControlFailure = Failure<'control-unavailable'>;
