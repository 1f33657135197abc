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
  private byHall: ReadonlyMap<string, string> = new Map();
  private severalKnown = false;

  /** `byHall` maps halls to regions; a hall that it lacks is a region of its own. */
  constructor(byHall: Readonly<Record<string, string>> = {}) {
    this.learn(byHall);
  }

  /** Takes over which region each hall is in, in place of what was known. */
  learn(byHall: Readonly<Record<string, string>>): void {
    this.byHall = new Map(Object.entries(byHall));
    this.severalKnown = new Set(this.byHall.values()).size > 1;
  }

  /** Whether there is more than one region; else all halls are together. */
  get several(): boolean {
    return this.severalKnown;
  }

  /** The region of a hall. */
  regionOf(hall: string): string {
    return this.byHall.get(hall) ?? hall;
  }

  /** Whether two halls are in one region. */
  areTogether(hall: string, other: string): boolean {
    return !this.severalKnown || this.regionOf(hall) === this.regionOf(other);
  }

  /** Whether a hall is in one of the regions; no list allows every hall. */
  allows(allowed: readonly string[] | undefined, hall: string): boolean {
    return allowed === undefined || allowed.includes(this.regionOf(hall));
  }
}

/** The regions in both lists; no list names all regions. */
export function regionsInBoth(
  first: readonly string[] | undefined,
  second: readonly string[] | undefined,
): readonly string[] | undefined {
  if (first === undefined || second === undefined) {
    return first ?? second;
  }
  return first.filter((region) => second.includes(region));
}
