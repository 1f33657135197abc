/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Regions: a level above data halls. Links between halls of one region are short
 * and wide, those between regions long and narrow.
 */

/** Which region each hall is in. */
export class Regions {
  private readonly byHall: ReadonlyMap<string, string>;

  /** `byHall` maps halls to regions; a hall that it lacks is a region of its own. */
  constructor(byHall: Readonly<Record<string, string>> = {}) {
    this.byHall = new Map(Object.entries(byHall));
  }

  /** The region of a hall. */
  regionOf(hall: string): string {
    return this.byHall.get(hall) ?? hall;
  }

  /** Whether two halls are in one region. */
  areTogether(hall: string, other: string): boolean {
    return this.regionOf(hall) === this.regionOf(other);
  }

  /** Whether a hall is in one of the regions; no list allows every hall. */
  allows(allowed: readonly string[] | undefined, hall: string): boolean {
    return allowed === undefined || allowed.includes(this.regionOf(hall));
  }
}
