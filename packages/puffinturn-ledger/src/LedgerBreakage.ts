/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Faults that tests inject into the ledger; the fuzzer must find each one. */
export interface LedgerBreakage {
  /** Charges a settlement again after the request was closed. */
  readonly settleTwice?: boolean;
  /** Deletes the key of an at-most-once request as soon as the request is closed. */
  readonly forgetTombstone?: boolean;
  /** Admits a retry of an at-most-once request that was already dispatched. */
  readonly repeatMarked?: boolean;
  /** Accepts admissions that were decided under an older configuration. */
  readonly ignoreConfigIndex?: boolean;
  /** Adds a grant again when it is received again. */
  readonly receiveTwice?: boolean;
}
