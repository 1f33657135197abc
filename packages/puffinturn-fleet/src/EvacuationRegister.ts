/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The halls that are evacuated, as the records of the log leave them. */
import type {Evacuations} from './Evacuations';
import {evacuationsAfter, NO_EVACUATIONS} from './Evacuations';

/** Evacuates a hall, or puts it in service again; one told twice is done once. */
export interface EvacuationRecord {
  readonly kind: 'evacuation';
  readonly hall: string;
  readonly evacuated: boolean;
}

/** What applying an evacuation did. */
export interface EvacuationOutcome {
  readonly kind: 'evacuation';
  readonly evacuations: Evacuations;
}

/** See the module comment. */
export class EvacuationRegister {
  private evacuated = NO_EVACUATIONS;

  /** Told after every change. */
  constructor(private readonly onChange: () => void) {}

  /** The halls that are evacuated. */
  get evacuations(): Evacuations {
    return this.evacuated;
  }

  /** Evacuates a hall, or ends that. */
  apply(record: EvacuationRecord): EvacuationOutcome {
    const {evacuated, hall} = record;
    const after = evacuationsAfter(this.evacuated, hall, evacuated);
    if (after !== this.evacuated) {
      this.evacuated = after;
      this.onChange();
    }
    return {evacuations: this.evacuated, kind: 'evacuation'};
  }

  /** Takes over what a snapshot holds. */
  restore(evacuations: Evacuations): void {
    this.evacuated = evacuations;
  }
}
