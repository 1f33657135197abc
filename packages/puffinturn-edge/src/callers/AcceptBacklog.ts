/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Estimates how long connections wait in the listen queue before they are accepted.
 * The queue is first in, first out, and one connection is accepted per event loop
 * iteration. An iteration that accepted nothing shows that the queue was empty. A
 * probe, a connection that the edge makes to itself, bounds the arrival of every
 * connection accepted after it.
 */
import type {Clock} from 'shared';

/** Arrival bound of an accepted connection. */
export interface AcceptedConnection {
  /** Lower bound of the arrival time, monotonic ms. */
  readonly earliestArrival: number;
  /** Event loop iteration that accepted it. */
  readonly iteration: number;
}

/** A connection that the edge makes to itself to measure the queueing delay. */
export interface BacklogProbe {
  /** Monotonic ms. */
  readonly startedAt: number;
}

/** Ages below this are reported as 0, ms: an idle loop is sampled every 50 ms only. */
export const NEGLIGIBLE_AGE_MS = 150;

/** Minimum time between probes, ms; each probe takes the place of one caller. */
export const PROBE_INTERVAL_MS = 200;

/** Resolution of the age estimate, ms. */
export const AGE_RESOLUTION_MS = NEGLIGIBLE_AGE_MS + PROBE_INTERVAL_MS;

/** Estimates the queueing delay from accepted connections and probes. */
export class AcceptBacklog {
  /** Lower bound of the arrival time of connections accepted from now on. */
  private earliestArrival: number;
  /** End of the last observed iteration, and of the one before, monotonic ms. */
  private iterationEndedAt: number;
  private previousIterationEndedAt: number;
  private iteration = 0;
  private acceptedInIteration = 0;

  constructor(private readonly clock: Clock) {
    this.earliestArrival = clock.now();
    this.iterationEndedAt = this.earliestArrival;
    this.previousIterationEndedAt = this.earliestArrival;
  }

  /** Upper bound of the wait of a connection accepted now, ms; 0 if negligible. */
  get queueAgeMs(): number {
    const age = this.clock.now() - this.earliestArrival;
    return age < NEGLIGIBLE_AGE_MS ? 0 : age;
  }

  /** Records that a caller's connection was accepted. */
  recordAccept(): AcceptedConnection {
    this.acceptedInIteration += 1;
    return {earliestArrival: this.earliestArrival, iteration: this.iteration};
  }

  /** Starts a probe, whose connection must be opened immediately. */
  startProbe(): BacklogProbe {
    return {startedAt: this.clock.now()};
  }

  /** Records that the connection of a probe was accepted. */
  recordProbeAccept({startedAt}: BacklogProbe): void {
    this.acceptedInIteration += 1;
    this.earliestArrival = Math.max(this.earliestArrival, startedAt);
  }

  /**
   * Records the end of an event loop iteration. Returns true if more connections may
   * be waiting, so the next iteration must be observed too.
   */
  endIteration(): boolean {
    const isEmpty = this.acceptedInIteration === 0;
    if (isEmpty) {
      this.earliestArrival = Math.max(
        this.earliestArrival,
        this.iterationEndedAt,
      );
    }
    this.iteration += 1;
    this.acceptedInIteration = 0;
    this.previousIterationEndedAt = this.iterationEndedAt;
    this.iterationEndedAt = this.clock.now();
    // Connections that arrive after a long iteration are dated by its end.
    const wasLong =
      this.iterationEndedAt - this.previousIterationEndedAt >=
      NEGLIGIBLE_AGE_MS;
    return !isEmpty || wasLong;
  }

  /**
   * Estimates when the request that is read now arrived, monotonic ms. `accepted` is
   * set for the first request of a connection. If that request is read by the iteration
   * after the accept, it is taken to have arrived with the connection. Any other
   * request is taken to have arrived within the last two iterations.
   */
  estimateArrival(accepted: AcceptedConnection | undefined): number {
    const now = this.clock.now();
    const arrivedWithConnection =
      accepted !== undefined && this.iteration <= accepted.iteration + 1;
    const earliestArrival = arrivedWithConnection
      ? accepted.earliestArrival
      : this.previousIterationEndedAt;
    return now - earliestArrival < NEGLIGIBLE_AGE_MS ? now : earliestArrival;
  }
}
