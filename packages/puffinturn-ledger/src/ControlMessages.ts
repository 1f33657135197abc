/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Messages between boxes and the control boxes of a region. */
import type {Declaration} from 'puffinturn-settings';
import type {Failure} from 'shared';

import type {DeclarationEntry} from './DeclarationTable';
import type {DeclareOutcome, LedgerOutcome} from './LedgerOutcomes';
import type {LedgerRecord} from './LedgerRecords';

/** Name under which control boxes register their service on the link. */
export const CONTROL_SERVICE = 'control';

/** Commits one record; an admission may wait until units become available. */
export interface SubmitRequest {
  readonly kind: 'submit';
  /** The region that must commit the record. */
  readonly region: string;
  readonly record: LedgerRecord;
  /** Maximum wait of an admission in this call, ms. */
  readonly waitMs: number;
  /** Time that the admission waited in earlier calls, ms. */
  readonly waitedMs: number;
  /** Priority among waiting admissions; 0 is the highest. */
  readonly priority: number;
}

/** Changes the configuration; sent to the region that decides its scope. */
export interface DeclareRequest {
  readonly kind: 'declare';
  readonly declaration: Declaration;
  readonly digest: string;
  readonly operator: string;
}

/** Linearizable read of the configuration changes after a log index. */
export interface ConfigRequest {
  readonly kind: 'config';
  readonly since: number;
}

/** Linearizable read of the region's budgets and status. */
export interface ReportRequest {
  readonly kind: 'report';
}

/** A region's state of a budget and its request for a grant from the home region. */
export interface GrantRequest {
  readonly budget: string;
  /** Number of the requested grant. */
  readonly number: number;
  readonly available: number;
  readonly reserved: number;
  /** Spending rate, units per ms. */
  readonly rate: number;
  /** Units that waiting admissions need beyond those available. */
  readonly lacking: number;
}

/** Units of a budget returned to its home region. */
export interface BudgetReturn {
  readonly budget: string;
  readonly number: number;
  readonly amount: number;
}

/** A request with a caller's idempotency key that a region has billed. */
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

/** The home region's reply to a BilledRequest. */
export interface BilledRequestReply {
  readonly team: string;
  readonly key: string;
  readonly attempt: number;
  /** True if another region bills the request. */
  readonly duplicate: boolean;
}

/** Request of one exchange between the leaders of two regions. */
export interface ExchangeRequest {
  readonly kind: 'exchange';
  readonly region: string;
  /** Position of the last global change applied in the sending region. */
  readonly sequence: number;
  readonly needs: readonly GrantRequest[];
  readonly returns: readonly BudgetReturn[];
  readonly billed: readonly BilledRequest[];
}

/** The home region's reply to a GrantRequest. */
export interface GrantReply {
  readonly budget: string;
  /** Number of the grant; 0 if nothing is granted. */
  readonly number: number;
  readonly amount: number;
  /** Units that are available or may be released in the home region. */
  readonly outlook: number;
  /** Units that the home region asks to have returned. */
  readonly recall: number;
}

/** Reply to an ExchangeRequest. */
export interface ExchangeReply {
  readonly kind: 'exchange';
  /** Global changes after the sender's last one; empty unless from the primary region. */
  readonly changes: readonly DeclarationEntry[];
  readonly grants: readonly GrantReply[];
  readonly acceptedReturns: readonly BudgetReturn[];
  readonly verdicts: readonly BilledRequestReply[];
  /** Budgets that the next ExchangeRequest must include. */
  readonly queries: readonly string[];
}

/** Any request to a control box. */
export type ControlRequest =
  | ConfigRequest
  | DeclareRequest
  | ExchangeRequest
  | ReportRequest
  | SubmitRequest;

/** State of a budget in a RegionReport. */
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

/** Status of a region. */
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

/** Reply to a ConfigRequest: the changes after its log index. */
export interface ConfigReply {
  readonly kind: 'config';
  readonly index: number;
  readonly entries: readonly DeclarationEntry[];
}

/** Reply to a DeclareRequest, sent after waiting for the other regions. */
export interface DeclareReply {
  readonly kind: 'declare';
  readonly outcome: DeclareOutcome;
  /** Regions that have not yet confirmed the change. */
  readonly pending: readonly string[];
}

/** Any reply of a control box. */
export type ControlReply =
  | ConfigReply
  | DeclareReply
  | ExchangeReply
  | RegionReport
  | {readonly kind: 'failed'; readonly reason: string}
  | {readonly kind: 'not-leader'; readonly leader: string | undefined}
  | {readonly kind: 'outcome'; readonly outcome: LedgerOutcome};

/** No outcome was received in time; the record may still have been committed. */
export type ControlFailure = Failure<'control-unavailable'>;
