/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {Evacuations} from './Evacuations';
import {applyEvacuation, NO_EVACUATIONS} from './Evacuations';

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
      this.onChange();
    }
    return {evacuations: this.currentEvacuations, kind: 'evacuation'};
  }

  /** Restores the evacuated halls from a snapshot. */
  restore(evacuations: Evacuations): void {
    this.currentEvacuations = evacuations;
  }
}
