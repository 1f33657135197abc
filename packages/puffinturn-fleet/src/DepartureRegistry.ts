/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {Departure} from './UpstreamTable';
import {compareIncarnations} from './UpstreamTable';

/** Log record of a departure; idempotent. */
export interface DepartureRecord {
  readonly kind: 'departure';
  /** Wall-clock time at which the leader received it, Unix ms. */
  readonly at: number;
  readonly departure: Departure;
}

/** Result of applying a DepartureRecord. */
export interface DepartureOutcome {
  readonly kind: 'departure';
}

/** The section of the departures in the snapshot; the oldest comes first. */
export type DepartureSnapshot = readonly DepartureRecord[];

/**
 * Time after which a departure is forgotten, ms. By then the upstream has ended, and one
 * that reports no start time may have started again under the same id.
 */
const RETENTION_MS = 120_000;

/** Maximum number of departures; bounds the snapshot. The oldest is dropped first. */
const MAX_DEPARTURES = 4_096;

/**
 * Replicated state of the upstreams that have announced their departure, so that the loss
 * of a control box does not return one to service.
 */
export class DepartureRegistry {
  private readonly records = new Map<string, DepartureRecord>();
  private changes = 0;

  /** `onChange` is called after every change. */
  constructor(private readonly onChange: () => void) {}

  /** Increases with every change. */
  get revision(): number {
    return this.changes;
  }

  /** The departures that are not forgotten at a time, Unix ms. */
  list(now: number): readonly Departure[] {
    return [...this.records.values()]
      .filter((record) => !isForgotten(record, now))
      .map(({departure}) => departure);
  }

  /** Whether an incarnation, or a later one of the same upstream, has departed. */
  has(incarnation: Departure, now: number): boolean {
    const known = this.records.get(incarnation.id);
    return (
      known !== undefined &&
      !isForgotten(known, now) &&
      compareIncarnations(incarnation, known.departure) <= 0
    );
  }

  /** Adds a departure and removes those that are forgotten. */
  apply(record: DepartureRecord): DepartureOutcome {
    if (!this.has(record.departure, record.at)) {
      const {id} = record.departure;
      // Moves the upstream to the end, so that the records stay in order of time.
      this.records.delete(id);
      this.records.set(id, record);
      this.removeForgotten(record.at);
      this.changes += 1;
      this.onChange();
    }
    return {kind: 'departure'};
  }

  /** Returns the departures for a snapshot. */
  snapshot(): DepartureSnapshot {
    return [...this.records.values()];
  }

  /** Restores the departures from a snapshot. */
  restore(snapshot: DepartureSnapshot): void {
    this.records.clear();
    for (const record of snapshot) {
      this.records.set(record.departure.id, record);
    }
    this.changes += 1;
  }

  private removeForgotten(now: number): void {
    for (const [id, record] of this.records) {
      if (!isForgotten(record, now) && this.records.size <= MAX_DEPARTURES) {
        return;
      }
      this.records.delete(id);
    }
  }
}

function isForgotten({at}: DepartureRecord, now: number): boolean {
  return now - at > RETENTION_MS;
}
