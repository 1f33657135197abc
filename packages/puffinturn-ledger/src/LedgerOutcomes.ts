/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** What applying a record answers. */
import type {KeptAnswer, RequestState} from './LedgerRecords';

/** What is known of a request. */
export interface RequestView {
  readonly attempt: number;
  readonly box: string;
  readonly incarnation: string;
  /** True when the owner's process is fenced. */
  readonly ownerGone: boolean;
  readonly state: RequestState;
  readonly marked: boolean;
  readonly charge: number;
  readonly answer?: KeptAnswer | undefined;
}

/** Answer to an admission. */
export type AdmitOutcome =
  | {
      readonly kind: 'admitted';
      readonly attempt: number;
      /** Units that the budget has left here. */
      readonly available: number;
    }
  /** The key is known; the request is not admitted again. */
  | {readonly kind: 'present'; readonly request: RequestView}
  /** The key belongs to another request. */
  | {readonly kind: 'key-conflict'}
  | {
      readonly kind: 'insufficient';
      readonly available: number;
      /** Units that requests in flight hold and may give back. */
      readonly reserved: number;
      /** True when asking again, at once, may still succeed. */
      readonly mayWait: boolean;
    }
  | {readonly kind: 'no-budget'}
  /** Decided under an older configuration than the one in force. */
  | {readonly kind: 'stale-config'; readonly configIndex: number}
  /** The process that asks is fenced, unknown, or has given this one up. */
  | {readonly kind: 'fenced'};

/** Answer to dispatch, settle and void. */
export type AttemptOutcome =
  | {
      readonly kind: 'done';
      readonly charge: number;
      readonly budget: string;
    }
  /** Closed before: the first outcome stands. */
  | {
      readonly kind: 'closed';
      readonly state: RequestState;
      readonly charge: number;
    }
  /** Another attempt has taken over, or the request is forgotten. */
  | {readonly kind: 'superseded'};

/** Answer to a change of configuration. */
export type DeclareOutcome =
  | {
      readonly kind: 'accepted';
      /** Log index from which it is in force. */
      readonly index: number;
      /** Position among the global changes; 0 for one region's own. */
      readonly sequence: number;
    }
  /** Another change has the same number. */
  | {readonly kind: 'conflict'; readonly winner: DeclarationVersion}
  /** A higher number is in force. */
  | {readonly kind: 'stale'; readonly current: DeclarationVersion}
  /** Breaks a rule of the ledger, such as a limit below what is spent. */
  | {readonly kind: 'rejected'; readonly reason: string};

/** Which change is in force. */
export interface DeclarationVersion {
  readonly number: number;
  readonly digest: string;
  readonly operator: string;
}

/** Answer to grants, receipts and returns. */
export interface TransferOutcome {
  readonly kind: 'transferred' | 'out-of-order';
  /** The amount that really went over. */
  readonly amount: number;
}

/** Answer to a claim of another region. */
export interface ClaimOutcome {
  readonly kind: 'claimed' | 'duplicate';
}

/** Answer to an order. */
export type OrderOutcome =
  | {
      readonly kind: 'ordered';
      /** Grows with every order of the region. */
      readonly fence: number;
    }
  /** The engine has an order that is not answered. */
  | {readonly kind: 'busy'; readonly open: OpenOrder};

/** An order that is not answered. */
export interface OpenOrder {
  readonly upstream: string;
  readonly action: 'load' | 'unload';
  readonly model: string;
  readonly fence: number;
  readonly at: number;
}

/** Answer to records that only note something. */
export interface NotedOutcome {
  readonly kind: 'noted';
}

/** Every answer. */
export type LedgerOutcome =
  | AdmitOutcome
  | AttemptOutcome
  | ClaimOutcome
  | DeclareOutcome
  | NotedOutcome
  | OrderOutcome
  | TransferOutcome;
