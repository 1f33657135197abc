/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The records that the log carries. Each is idempotent by its own id, so that
 * sending it again after a lost answer changes nothing.
 */
import type {Declaration} from 'puffinturn-settings';

/** States of a request. */
export const REQUEST_STATE = {
  /** May run on the box that owns it. */
  admitted: 'admitted',
  /** Never-repeated and possibly sent to an upstream. */
  dispatched: 'dispatched',
  /** Ran and was billed. */
  settled: 'settled',
  /** May or may not have run; billed in full. */
  unknown: 'unknown',
  /** Certainly did not run; not billed. */
  void: 'void',
} as const;

/** One of REQUEST_STATE. */
export type RequestState = (typeof REQUEST_STATE)[keyof typeof REQUEST_STATE];

/** An answer that is kept for retries. */
export interface KeptAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** Identifies one attempt at one request. */
export interface AttemptId {
  readonly team: string;
  readonly key: string;
  readonly attempt: number;
}

/** A change of configuration made in this region. */
export interface DeclareRecord {
  readonly kind: 'declare';
  readonly declaration: Declaration;
  readonly digest: string;
  readonly operator: string;
  readonly at: number;
}

/** A global change that the primary region has accepted. */
export interface ImportRecord {
  readonly kind: 'import';
  /** Position in the primary region's order; imported without gaps. */
  readonly sequence: number;
  readonly declaration: Declaration;
  readonly digest: string;
  readonly operator: string;
}

/** A process of a box has started. */
export interface RegisterRecord {
  readonly kind: 'register';
  readonly box: string;
  readonly incarnation: string;
  readonly hall: string;
  readonly at: number;
}

/** A process of a box is held to be gone; others may take its work over. */
export interface FenceRecord {
  readonly kind: 'fence';
  readonly box: string;
  readonly incarnation: string;
  readonly at: number;
}

/** A box has closed all of its admissions below `serial`. */
export interface FloorRecord {
  readonly kind: 'floor';
  readonly box: string;
  readonly incarnation: string;
  readonly serial: number;
  readonly at: number;
}

/** Reserves the worst-case cost, claims the key and names the owner. */
export interface AdmitRecord {
  readonly kind: 'admit';
  readonly team: string;
  readonly key: string;
  /** True when the caller gave no key, so that no retry can come. */
  readonly generatedKey: boolean;
  /** Digest of what is asked, to tell a retry from another request. */
  readonly digest: string;
  readonly box: string;
  readonly incarnation: string;
  /** Counts the admissions of this incarnation. */
  readonly serial: number;
  readonly budget: string;
  /** Worst-case cost, budget units. */
  readonly reserve: number;
  readonly marked: boolean;
  /** The configuration that the decision was made under. */
  readonly configIndex: number;
  /** How long the record stays after it is closed, ms. */
  readonly keepMs: number;
  readonly at: number;
}

/** A never-repeated request is about to be sent. */
export interface DispatchRecord extends AttemptId {
  readonly kind: 'dispatch';
  readonly upstream: string;
}

/** The one settlement of a request. */
export interface SettleRecord extends AttemptId {
  readonly kind: 'settle';
  readonly outcome: 'settled' | 'unknown';
  /** Cost, budget units; never more than was reserved. */
  readonly charge: number;
  readonly answer?: KeptAnswer | undefined;
  readonly at: number;
}

/** The attempt has certainly not run and never will. */
export interface VoidRecord extends AttemptId {
  readonly kind: 'void';
  readonly at: number;
}

/** Removes what has expired and closes orphans. */
export interface SweepRecord {
  readonly kind: 'sweep';
  readonly at: number;
}

/** At home: a part of a budget goes to another region. */
export interface GrantRecord {
  readonly kind: 'grant';
  readonly budget: string;
  readonly region: string;
  /** Counts the grants to this region. */
  readonly number: number;
  readonly amount: number;
}

/** At the receiver: a grant has arrived. */
export interface ReceiveRecord {
  readonly kind: 'receive';
  readonly budget: string;
  readonly number: number;
  readonly amount: number;
}

/** At the receiver: a part goes back home. */
export interface ReturnRecord {
  readonly kind: 'return';
  readonly budget: string;
  readonly number: number;
  readonly amount: number;
}

/** At home: a returned part has arrived. */
export interface AcceptReturnRecord {
  readonly kind: 'accept-return';
  readonly budget: string;
  readonly region: string;
  readonly number: number;
  readonly amount: number;
}

/**
 * At home: another region has billed a request with the caller's key. Of two
 * regions that billed the same one, the first to claim it keeps its charge.
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

/** At the region that billed a request: the home region's answer. */
export interface ReportedRecord extends AttemptId {
  readonly kind: 'reported';
  /** True when another region bills it; the charge here is taken back. */
  readonly duplicate: boolean;
}

/** An engine is about to be ordered to do something. */
export interface OrderRecord {
  readonly kind: 'order';
  /** `POOL/UPSTREAM`. */
  readonly upstream: string;
  readonly action: 'load' | 'unload';
  readonly model: string;
  readonly at: number;
}

/** An order has been answered, or is given up. */
export interface OrderDoneRecord {
  readonly kind: 'order-done';
  readonly upstream: string;
  readonly fence: number;
}

/** Every record. */
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
