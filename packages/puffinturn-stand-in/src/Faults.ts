/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Faults that a control call switches on, for engines and services alike. */

/** What a stand-in does wrong. */
export interface Faults {
  /** Extra time before each answer, ms. */
  slowMs: number;
  /** Share of requests whose connection ends before the first byte. */
  dropBefore: number;
  /** Share of requests whose connection ends in the middle of the answer. */
  dropAfter: number;
  /** Share of requests answered with status 500. */
  fail: number;
  /** Takes requests and never answers. */
  hang: boolean;
  /** Refuses new work and says so. */
  leaving: boolean;
  /** Reports no load whatever it has. */
  hidesLoad: boolean;
}

/** No faults. */
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
