/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Maps data halls to regions. Links between regions have higher latency and less
 * bandwidth than links within one.
 */
export class Regions {
  private regionByHall: ReadonlyMap<string, string> = new Map();
  private isMultiRegion = false;

  /** `byHall` maps halls to regions; an unlisted hall is a region of its own. */
  constructor(byHall: Readonly<Record<string, string>> = {}) {
    this.setRegions(byHall);
  }

  /** Replaces the mapping of halls to regions. */
  setRegions(byHall: Readonly<Record<string, string>>): void {
    this.regionByHall = new Map(Object.entries(byHall));
    this.isMultiRegion = new Set(this.regionByHall.values()).size > 1;
  }

  /** Whether there is more than one region. */
  get hasMultipleRegions(): boolean {
    return this.isMultiRegion;
  }

  /** Returns the region of a hall. */
  regionOf(hall: string): string {
    return this.regionByHall.get(hall) ?? hall;
  }

  /** Whether two halls are in the same region; always true with a single region. */
  areInSameRegion(hall: string, other: string): boolean {
    return !this.isMultiRegion || this.regionOf(hall) === this.regionOf(other);
  }

  /** Whether a hall is in one of the allowed regions; undefined allows every hall. */
  isHallAllowed(allowed: readonly string[] | undefined, hall: string): boolean {
    return allowed === undefined || allowed.includes(this.regionOf(hall));
  }
}

/** Returns the regions in both lists; undefined stands for all regions. */
export function intersectRegions(
  first: readonly string[] | undefined,
  second: readonly string[] | undefined,
): readonly string[] | undefined {
  if (first === undefined || second === undefined) {
    return first ?? second;
  }
  return first.filter((region) => second.includes(region));
}
