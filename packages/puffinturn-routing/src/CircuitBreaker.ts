/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Circuit breaker of one upstream. */
import type {Clock} from 'shared';

import {
  CIRCUIT_FAILURE_THRESHOLD,
  INITIAL_CIRCUIT_OPEN_MS,
  MAX_CIRCUIT_OPEN_MS,
} from './RoutingConstants';

/** Opens after consecutive failures; then allows one probe request at a time. */
export class CircuitBreaker {
  private consecutiveFailures = 0;
  private openUntil = 0;
  private openMs = INITIAL_CIRCUIT_OPEN_MS;
  private isProbing = false;

  constructor(private readonly clock: Clock) {}

  /** Whether only probe requests are allowed. */
  get isOpen(): boolean {
    return this.consecutiveFailures >= CIRCUIT_FAILURE_THRESHOLD;
  }

  /** Whether a request may be sent now. */
  get allowsRequest(): boolean {
    return (
      !this.isOpen || (!this.isProbing && this.clock.now() >= this.openUntil)
    );
  }

  /** Records that a request is sent; it is a probe if the circuit is open. */
  recordRequest(): void {
    this.isProbing = this.isOpen;
  }

  /** Reverts `recordRequest` for a request that was not sent. */
  cancelRequest(): void {
    this.isProbing = false;
  }

  /** Records a successful response and closes the circuit. */
  recordSuccess(): void {
    this.consecutiveFailures = 0;
    this.isProbing = false;
    this.openMs = INITIAL_CIRCUIT_OPEN_MS;
  }

  /** Records a failure of the upstream; opens the circuit at the threshold. */
  recordFailure(): void {
    this.consecutiveFailures += 1;
    this.isProbing = false;
    if (this.isOpen) {
      this.openUntil = this.clock.now() + this.openMs;
      this.openMs = Math.min(MAX_CIRCUIT_OPEN_MS, this.openMs * 2);
    }
  }
}
