/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Keeps requests away from an upstream that fails. */
import type {Clock} from 'shared';

import {
  CIRCUIT_FAILURES,
  CIRCUIT_MAX_PAUSE_MS,
  CIRCUIT_PAUSE_MS,
} from './RoutingConstants';

/** Opens after failures in a row; lets single requests probe after a pause. */
export class Circuit {
  private failures = 0;
  private openUntil = 0;
  private pauseMs = CIRCUIT_PAUSE_MS;
  private probing = false;

  constructor(private readonly clock: Clock) {}

  /** Whether requests are kept away, apart from probes. */
  get isOpen(): boolean {
    return this.failures >= CIRCUIT_FAILURES;
  }

  /** Whether a request may go through now. */
  get admits(): boolean {
    return (
      !this.isOpen || (!this.probing && this.clock.now() >= this.openUntil)
    );
  }

  /** Notes that a request was sent. */
  sent(): void {
    this.probing = this.isOpen;
  }

  /** Notes that the request was not sent after all. */
  unsent(): void {
    this.probing = false;
  }

  /** Notes an answer. */
  succeeded(): void {
    this.failures = 0;
    this.probing = false;
    this.pauseMs = CIRCUIT_PAUSE_MS;
  }

  /** Notes a failure of the upstream. */
  failed(): void {
    this.failures += 1;
    this.probing = false;
    if (this.isOpen) {
      this.openUntil = this.clock.now() + this.pauseMs;
      this.pauseMs = Math.min(CIRCUIT_MAX_PAUSE_MS, this.pauseMs * 2);
    }
  }
}
