/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {Evacuations} from './Evacuations';
import {applyEvacuation, NO_EVACUATIONS} from './Evacuations';
import type {EvacuateRequest} from './FleetMessages';

/** Log record that starts or ends the evacuation of a hall; idempotent. */
export interface EvacuationRecord {
  readonly kind: 'evacuation';
  readonly hall: string;
  readonly evacuated: boolean;
}

/** Result of applying an EvacuationRecord. */
export interface EvacuationOutcome {
  readonly kind: 'evacuation';
  readonly evacuations: Evacuations;
}

/** Replicated state of evacuated halls. */
export class EvacuationRegistry {
  private currentEvacuations = NO_EVACUATIONS;
  /** Revision of the last change of each hall since the last restore. */
  private readonly changedAt = new Map<string, number>();
  /** Revision at the last restore; halls may have changed at it. */
  private restoredRevision = 0;

  /** `onChange` is called after every change. */
  constructor(private readonly onChange: () => void) {}

  /** The evacuated halls. */
  get evacuations(): Evacuations {
    return this.currentEvacuations;
  }

  /** Starts or ends the evacuation of a hall. */
  apply(record: EvacuationRecord): EvacuationOutcome {
    const {evacuated, hall} = record;
    const updated = applyEvacuation(this.currentEvacuations, hall, evacuated);
    if (updated !== this.currentEvacuations) {
      this.currentEvacuations = updated;
      this.changedAt.set(hall, updated.revision);
      this.onChange();
    }
    return {evacuations: this.currentEvacuations, kind: 'evacuation'};
  }

  /**
   * Whether an order would change a hall that has changed since the order was received, so
   * that a delayed copy may undo a newer order.
   */
  isOutdated({evacuated, hall, knownRevision}: EvacuateRequest): boolean {
    const {halls} = this.currentEvacuations;
    const changedAt = this.changedAt.get(hall) ?? this.restoredRevision;
    const wouldChange = halls.includes(hall) !== evacuated;
    return wouldChange && changedAt > (knownRevision ?? Infinity);
  }

  /** Restores the evacuated halls from a snapshot. */
  restore(evacuations: Evacuations): void {
    this.currentEvacuations = evacuations;
    this.changedAt.clear();
    this.restoredRevision = evacuations.revision;
  }
}
