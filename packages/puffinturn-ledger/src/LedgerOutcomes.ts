/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Outcomes of applying records. */
import type {RequestState, StoredResponse} from './LedgerRecords';

/** State of a request, as returned to a retry. */
export interface RequestView {
  readonly attempt: number;
  readonly box: string;
  readonly incarnation: string;
  /** True if the owner's incarnation is fenced. */
  readonly ownerGone: boolean;
  readonly state: RequestState;
  /** True for an at-most-once request. */
  readonly marked: boolean;
  readonly charge: number;
  readonly answer?: StoredResponse | undefined;
}

/** Outcome of an admission. */
export type AdmitOutcome =
  | {
      readonly kind: 'admitted';
      readonly attempt: number;
      /** Units of the budget that are left in this region. */
      readonly available: number;
    }
  /** A request with this key exists; it is not admitted again. */
  | {readonly kind: 'present'; readonly request: RequestView}
  /** The key is in use by a request with other content. */
  | {readonly kind: 'key-conflict'}
  | {
      readonly kind: 'insufficient';
      readonly available: number;
      /** Units reserved by requests in flight, some of which may be released. */
      readonly reserved: number;
      /** True if a retry may still succeed. */
      readonly mayWait: boolean;
    }
  | {readonly kind: 'no-budget'}
  /** Admitted under an older configuration than the current one. */
  | {readonly kind: 'stale-config'; readonly configIndex: number}
  /** The incarnation is fenced or unknown, or the serial number is below its floor. */
  | {readonly kind: 'fenced'};

/** Outcome of dispatch, settle and void records. */
export type AttemptOutcome =
  | {
      readonly kind: 'done';
      readonly charge: number;
      readonly budget: string;
    }
  /** The attempt was closed before; its first outcome is unchanged. */
  | {
      readonly kind: 'closed';
      readonly state: RequestState;
      readonly charge: number;
    }
  /** A newer attempt exists, or the request has expired. */
  | {readonly kind: 'superseded'};

/** Outcome of a configuration change. */
export type DeclareOutcome =
  | {
      readonly kind: 'accepted';
      /** Log index at which the change takes effect. */
      readonly index: number;
      /** Position among the global changes; 0 for a change of one region. */
      readonly sequence: number;
    }
  /** A different change with the same number was applied before. */
  | {readonly kind: 'conflict'; readonly winner: DeclarationVersion}
  /** A change with a higher number was applied before. */
  | {readonly kind: 'stale'; readonly current: DeclarationVersion}
  /** The change is invalid, such as a limit below the units already spent. */
  | {readonly kind: 'rejected'; readonly reason: string};

/** Identifies the current version of a declaration. */
export interface DeclarationVersion {
  readonly number: number;
  readonly digest: string;
  readonly operator: string;
}

/** Outcome of grants, receipts and returns. */
export interface TransferOutcome {
  readonly kind: 'transferred' | 'out-of-order';
  /** Units that were transferred; may be fewer than requested. */
  readonly amount: number;
}

/** Outcome of another region's claim to a billed request. */
export interface ClaimOutcome {
  readonly kind: 'claimed' | 'duplicate';
}

/** Outcome of an order to an engine. */
export type OrderOutcome =
  | {
      readonly kind: 'ordered';
      /** Fencing token; increases with every order of the region. */
      readonly fence: number;
    }
  /** The engine has an open order. */
  | {readonly kind: 'busy'; readonly open: OpenOrder};

/** An order to an engine that is neither completed nor abandoned. */
export interface OpenOrder {
  readonly upstream: string;
  readonly action: 'load' | 'unload';
  readonly model: string;
  readonly fence: number;
  readonly at: number;
}

/** Outcome of records that return no data. */
export interface NotedOutcome {
  readonly kind: 'noted';
}

/** Outcome of any record. */
export type LedgerOutcome =
  | AdmitOutcome
  | AttemptOutcome
  | ClaimOutcome
  | DeclareOutcome
  | NotedOutcome
  | OrderOutcome
  | TransferOutcome;
