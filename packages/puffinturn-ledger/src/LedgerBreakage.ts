/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Deliberate breakages; the fuzzer checks that each one is found. */
export interface LedgerBreakage {
  /** Settles again although the request is closed. */
  readonly settleTwice?: boolean;
  /** Forgets the keys of never-repeated requests at once. */
  readonly forgetTombstone?: boolean;
  /** Takes a dispatched never-repeated request over. */
  readonly repeatMarked?: boolean;
  /** Admits under an older configuration. */
  readonly ignoreConfigIndex?: boolean;
  /** Adds a grant again when it arrives again. */
  readonly receiveTwice?: boolean;
}
