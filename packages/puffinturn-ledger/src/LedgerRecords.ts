/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Records of the replicated log. Each record is idempotent by its identifier, so
 * that a retry after a lost reply has no effect.
 */
import type {Declaration} from 'puffinturn-settings';

/** States of a request. */
export const REQUEST_STATE = {
  /** May run on the box that owns it. */
  admitted: 'admitted',
  /** At-most-once request that may have been sent to an upstream. */
  dispatched: 'dispatched',
  /** Completed and billed. */
  settled: 'settled',
  /** Outcome unknown; the whole reservation is billed. */
  unknown: 'unknown',
  /** Did not run; not billed. */
  void: 'void',
} as const;

/** One of REQUEST_STATE. */
export type RequestState = (typeof REQUEST_STATE)[keyof typeof REQUEST_STATE];

/** A response that is stored for retries of the request. */
export interface StoredResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** Identifies one attempt of a request. */
export interface AttemptId {
  readonly team: string;
  readonly key: string;
  readonly attempt: number;
}

/** Applies a configuration change that this region decides. */
export interface DeclareRecord {
  readonly kind: 'declare';
  readonly declaration: Declaration;
  readonly digest: string;
  readonly operator: string;
  readonly at: number;
}

/** Applies a global change that the primary region has accepted. */
export interface ImportRecord {
  readonly kind: 'import';
  /** Position among the global changes. */
  readonly sequence: number;
  readonly declaration: Declaration;
  readonly digest: string;
  readonly operator: string;
}

/** Registers a new incarnation of a box. */
export interface RegisterRecord {
  readonly kind: 'register';
  readonly box: string;
  readonly incarnation: string;
  readonly hall: string;
  readonly at: number;
}

/** Fences an incarnation of a box, so that other boxes may retry its requests. */
export interface FenceRecord {
  readonly kind: 'fence';
  readonly box: string;
  readonly incarnation: string;
  readonly at: number;
}

/** Closes all open admissions of an incarnation with a lower serial number. */
export interface FloorRecord {
  readonly kind: 'floor';
  readonly box: string;
  readonly incarnation: string;
  readonly serial: number;
  readonly at: number;
}

/** Reserves the worst-case cost and assigns the idempotency key to its owner. */
export interface AdmitRecord {
  readonly kind: 'admit';
  readonly team: string;
  readonly key: string;
  /** True if the caller sent no idempotency key, so that retries are impossible. */
  readonly generatedKey: boolean;
  /** Digest of the request; tells a retry from another request with the same key. */
  readonly digest: string;
  readonly box: string;
  readonly incarnation: string;
  /** Sequence number of the admission within its incarnation. */
  readonly serial: number;
  readonly budget: string;
  /** Worst-case cost, budget units. */
  readonly reserve: number;
  /** True for an at-most-once request. */
  readonly marked: boolean;
  /** Log index of the configuration under which the request was admitted. */
  readonly configIndex: number;
  /** Retention time of the request after it is closed, ms. */
  readonly keepMs: number;
  readonly at: number;
}

/** Marks an at-most-once request as dispatched, before it is sent. */
export interface DispatchRecord extends AttemptId {
  readonly kind: 'dispatch';
  readonly upstream: string;
}

/** Settles an attempt; only the first settlement counts. */
export interface SettleRecord extends AttemptId {
  readonly kind: 'settle';
  readonly outcome: 'settled' | 'unknown';
  /** Cost, budget units; limited to the reservation. */
  readonly charge: number;
  readonly answer?: StoredResponse | undefined;
  readonly at: number;
}

/** Closes an attempt that did not run and will not run. */
export interface VoidRecord extends AttemptId {
  readonly kind: 'void';
  readonly at: number;
}

/** Removes expired requests and closes orphaned ones. */
export interface SweepRecord {
  readonly kind: 'sweep';
  readonly at: number;
}

/** In the home region: grants units of a budget to another region. */
export interface GrantRecord {
  readonly kind: 'grant';
  readonly budget: string;
  readonly region: string;
  /** Sequence number of the grant to this region. */
  readonly number: number;
  readonly amount: number;
}

/** In the receiving region: adds a grant. */
export interface ReceiveRecord {
  readonly kind: 'receive';
  readonly budget: string;
  readonly number: number;
  readonly amount: number;
}

/** In the receiving region: returns units to the home region. */
export interface ReturnRecord {
  readonly kind: 'return';
  readonly budget: string;
  readonly number: number;
  readonly amount: number;
}

/** In the home region: adds returned units. */
export interface AcceptReturnRecord {
  readonly kind: 'accept-return';
  readonly budget: string;
  readonly region: string;
  readonly number: number;
  readonly amount: number;
}

/**
 * In the home region: claims a request that another region has billed. If two
 * regions billed the same request, only the first claim keeps its charge.
 */
export interface ClaimRecord extends AttemptId {
  readonly kind: 'claim';
  readonly region: string;
  readonly budget: string;
  readonly digest: string;
  readonly box: string;
  readonly incarnation: string;
  readonly keepMs: number;
  readonly at: number;
}

/** In the region that billed a request: stores the home region's reply to the claim. */
export interface ReportedRecord extends AttemptId {
  readonly kind: 'reported';
  /** True if another region bills the request; the charge is refunded here. */
  readonly duplicate: boolean;
}

/** Opens an order to an engine, before the order is sent. */
export interface OrderRecord {
  readonly kind: 'order';
  /** `POOL/UPSTREAM`. */
  readonly upstream: string;
  readonly action: 'load' | 'unload';
  readonly model: string;
  readonly at: number;
}

/** Closes an order that was completed or abandoned. */
export interface OrderDoneRecord {
  readonly kind: 'order-done';
  readonly upstream: string;
  readonly fence: number;
}

/** Any record of the log. */
export type LedgerRecord =
  | AcceptReturnRecord
  | AdmitRecord
  | ClaimRecord
  | DeclareRecord
  | DispatchRecord
  | FenceRecord
  | FloorRecord
  | GrantRecord
  | ImportRecord
  | OrderDoneRecord
  | OrderRecord
  | ReceiveRecord
  | RegisterRecord
  | ReportedRecord
  | ReturnRecord
  | SettleRecord
  | SweepRecord
  | VoidRecord;
