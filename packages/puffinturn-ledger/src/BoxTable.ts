/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The processes of boxes that a region knows. */

/** One box with its newest process. */
export interface BoxEntry {
  box: string;
  hall: string;
  incarnation: string;
  /** Admissions below this serial are closed for good. */
  floor: number;
}

/** A process that is gone. */
export interface FencedEntry {
  box: string;
  incarnation: string;
  at: number;
}

/** Registered and fenced processes. */
export class BoxTable {
  private readonly boxes = new Map<string, BoxEntry>();
  private readonly fenced = new Map<string, FencedEntry>();

  /** The newest process of a box; undefined when fenced or unknown. */
  current(box: string, incarnation: string): BoxEntry | undefined {
    const entry = this.boxes.get(box);
    return entry?.incarnation === incarnation ? entry : undefined;
  }

  /** Adds a process; the former one of the same box is gone. */
  register(
    box: string,
    incarnation: string,
    hall: string,
    at: number,
  ): 'fenced' | 'noted' {
    if (this.isGone(box, incarnation)) {
      return 'fenced';
    }
    const former = this.boxes.get(box);
    if (former !== undefined && former.incarnation !== incarnation) {
      this.fence(box, former.incarnation, at);
    }
    if (former?.incarnation !== incarnation) {
      this.boxes.set(box, {box, floor: 0, hall, incarnation});
    }
    return 'noted';
  }

  /** Marks a process as gone. */
  fence(box: string, incarnation: string, at: number): void {
    if (this.boxes.get(box)?.incarnation === incarnation) {
      this.boxes.delete(box);
    }
    const id = `${box}\n${incarnation}`;
    if (!this.fenced.has(id)) {
      this.fenced.set(id, {at, box, incarnation});
    }
  }

  /** Whether a process is gone. */
  isGone(box: string, incarnation: string): boolean {
    return this.fenced.has(`${box}\n${incarnation}`);
  }

  /** Processes that have been gone since before `before`. */
  goneBefore(before: number): FencedEntry[] {
    return [...this.fenced.values()].filter(({at}) => at <= before);
  }

  /** Forgets processes that went before `before`. */
  forgetBefore(before: number): void {
    for (const [id, {at}] of this.fenced) {
      if (at < before) {
        this.fenced.delete(id);
      }
    }
  }

  /** The newest process of each box. */
  all(): BoxEntry[] {
    return [...this.boxes.values()];
  }

  /** Processes that are gone. */
  allFenced(): FencedEntry[] {
    return [...this.fenced.values()];
  }

  /** Takes over stored entries. */
  restore(boxes: readonly BoxEntry[], fenced: readonly FencedEntry[]): void {
    this.boxes.clear();
    this.fenced.clear();
    for (const entry of boxes) {
      this.boxes.set(entry.box, entry);
    }
    for (const entry of fenced) {
      this.fenced.set(`${entry.box}\n${entry.incarnation}`, entry);
    }
  }
}
