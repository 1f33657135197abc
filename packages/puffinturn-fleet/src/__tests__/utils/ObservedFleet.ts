/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** A fleet in virtual time and one edge of it, whose state is looked at step by step. */
import type {WatchedFleet, WatchingEdge} from './WatchedFleet';

/** Within this time after its acknowledgement a change must be in force at edges, ms. */
export const APPLY_BOUND_MS = 2_000;

/** Time between two looks at the edge, ms. */
export const STEP_MS = 20;

/** A fleet of control boxes and an edge that does not poll the leader. */
export abstract class ObservedFleet {
  /** Ages that the edge computed while it lacked a change acknowledged before that, ms. */
  readonly understatedAges: number[] = [];

  protected constructor(
    protected readonly fleet: WatchedFleet,
    protected readonly watched: WatchingEdge,
  ) {}

  /** Age of the state at the edge, ms. */
  get ageMs(): number {
    return this.watched.watch.freshness.ageMs;
  }

  advance(ms: number): Promise<void> {
    return this.fleet.clock.advance(ms);
  }

  /** Lets time pass; returns the highest age of the state at the edge, ms. */
  async highestAgeMs(durationMs: number): Promise<number> {
    let highestMs = 0;
    for (let at = 0; at < durationMs; at += STEP_MS) {
      await this.advance(STEP_MS);
      highestMs = Math.max(highestMs, this.ageMs);
    }
    return highestMs;
  }

  /** Ends all faults; connections that went silent stay so. */
  heal(): void {
    this.fleet.network.heal();
    this.fleet.withoutEntries.clear();
    this.fleet.resume();
  }

  /** Records the age of a state that lacks a change acknowledged `elapsedMs` ago. */
  protected recordMissing(elapsedMs: number): void {
    if (this.ageMs < elapsedMs) {
      this.understatedAges.push(this.ageMs);
    }
  }
}
