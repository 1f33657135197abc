/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * How long connections have waited to be accepted. They are served first come,
 * first served, and a turn of the event loop accepts one, so a busy edge reads a
 * request long after it was sent. Three things bound when a connection came: a
 * turn that brought none, as the queue was empty then; a mark, a connection of the
 * edge's own whose start is known; and the connections before it.
 */
import type {Clock} from 'shared';

/** What is known of a connection's coming as it is accepted. */
export interface Arrival {
  /** It came no earlier, monotonic ms. */
  readonly notBefore: number;
  /** The turn of the event loop that accepted it. */
  readonly turn: number;
}

/** A connection of the edge's own, made to learn how long others wait. */
export interface BacklogMark {
  /** When it was made, monotonic ms. */
  readonly madeAt: number;
}

/**
 * Ages below this count as nothing, ms: a calm loop is looked at every 50 ms and
 * can't tell shorter ones apart, and callers wait for seconds.
 */
export const NEGLIGIBLE_AGE_MS = 150;

/** Least time between two marks, ms; one costs a turn that would accept a caller. */
export const MARK_EVERY_MS = 200;

/** How finely ages are known, ms: a small part of any deadline. */
export const TOLD_APART_MS = NEGLIGIBLE_AGE_MS + MARK_EVERY_MS;

/** See the module comment. */
export class AcceptBacklog {
  /** What is accepted from now on came no earlier. */
  private since: number;
  /** Ends of the last turn that was looked at, and of the one before. */
  private turnedAt: number;
  private turnedBefore: number;
  private turn = 0;
  private acceptedInTurn = 0;

  constructor(private readonly clock: Clock) {
    this.since = clock.now();
    this.turnedAt = this.since;
    this.turnedBefore = this.since;
  }

  /** The greatest age of a connection that would be accepted now, ms. */
  get ageMs(): number {
    const age = this.clock.now() - this.since;
    return age < NEGLIGIBLE_AGE_MS ? 0 : age;
  }

  /** Notes that a connection was accepted. */
  accepted(): Arrival {
    this.acceptedInTurn += 1;
    return {notBefore: this.since, turn: this.turn};
  }

  /** Makes a mark; the connection is to be made at once. */
  mark(): BacklogMark {
    return {madeAt: this.clock.now()};
  }

  /** Notes that the connection of a mark was accepted. */
  acceptedMark({madeAt}: BacklogMark): void {
    this.acceptedInTurn += 1;
    this.since = Math.max(this.since, madeAt);
  }

  /**
   * Notes that a turn of the event loop has taken what there was. Returns whether
   * the next turn is to be looked at as well, as more may be waiting.
   */
  turned(): boolean {
    const isEmpty = this.acceptedInTurn === 0;
    if (isEmpty) {
      this.since = Math.max(this.since, this.turnedAt);
    }
    this.turn += 1;
    this.acceptedInTurn = 0;
    this.turnedBefore = this.turnedAt;
    this.turnedAt = this.clock.now();
    // What comes after a long turn is to be dated by its end.
    const wasLong = this.turnedAt - this.turnedBefore >= NEGLIGIBLE_AGE_MS;
    return !isEmpty || wasLong;
  }

  /**
   * When a request that is read now presumably came. `arrival` is that of its
   * connection where it is the first request there: one that was there as soon as
   * it could be read came with the connection, any other one within two turns.
   */
  arrivalOf(arrival: Arrival | undefined): number {
    const now = this.clock.now();
    const cameAlong = arrival !== undefined && this.turn <= arrival.turn + 1;
    const notBefore = cameAlong ? arrival.notBefore : this.turnedBefore;
    return now - notBefore < NEGLIGIBLE_AGE_MS ? now : notBefore;
  }
}
