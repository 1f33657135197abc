/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The data halls that operators have evacuated, at one revision. Upstreams in these
 * halls get no new requests. Revisions follow the order of the replicated log, so the
 * highest revision is the latest state.
 */
export interface Evacuations {
  /** Increases by 1 per change; 0 before the first change. */
  readonly revision: number;
  readonly halls: readonly string[];
}

/** State before the first evacuation. */
export const NO_EVACUATIONS: Evacuations = {halls: [], revision: 0};

/** Starts or ends the evacuation of a hall; returns `current` if nothing changes. */
export function applyEvacuation(
  current: Evacuations,
  hall: string,
  evacuated: boolean,
): Evacuations {
  const {halls, revision} = current;
  if (halls.includes(hall) === evacuated) {
    return current;
  }
  const otherHalls = halls.filter((other) => other !== hall);
  return {
    halls: evacuated ? [...otherHalls, hall] : otherHalls,
    revision: revision + 1,
  };
}
