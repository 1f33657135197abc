/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Faults of a stand-in, set by `POST /control`. */

/** Faults that a stand-in injects. */
export interface Faults {
  /** Extra latency before each response, ms. */
  slowMs: number;
  /** Fraction of requests whose connection is closed before the request runs. */
  dropBefore: number;
  /** Fraction of requests whose connection is closed after the request started to run. */
  dropAfter: number;
  /** Fraction of requests that fail with status 500. */
  fail: number;
  /** Accepts requests and never responds. */
  hang: boolean;
  /** Rejects new requests with the header of a draining upstream. */
  leaving: boolean;
  /** Reports a load of zero. */
  hidesLoad: boolean;
}

/** Creates a set of faults in which none is enabled. */
export function noFaults(): Faults {
  return {
    dropAfter: 0,
    dropBefore: 0,
    fail: 0,
    hang: false,
    hidesLoad: false,
    leaving: false,
    slowMs: 0,
  };
}
