/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Registered boxes of a region and their incarnations. */

/** A box and its current incarnation. */
export interface BoxEntry {
  box: string;
  hall: string;
  incarnation: string;
  /** Admissions with a serial number below this one are rejected. */
  floor: number;
}

/** A fenced incarnation of a box. */
export interface FencedEntry {
  box: string;
  incarnation: string;
  at: number;
}

/** Current and fenced incarnations of boxes. */
export class BoxTable {
  private readonly boxes = new Map<string, BoxEntry>();
  private readonly fenced = new Map<string, FencedEntry>();

  /** Returns the box if `incarnation` is its current one, else undefined. */
  findIncarnation(box: string, incarnation: string): BoxEntry | undefined {
    const entry = this.boxes.get(box);
    return entry?.incarnation === incarnation ? entry : undefined;
  }

  /** Registers an incarnation and fences the previous one of the same box. */
  register(
    box: string,
    incarnation: string,
    hall: string,
    at: number,
  ): 'fenced' | 'noted' {
    if (this.isFenced(box, incarnation)) {
      return 'fenced';
    }
    const previous = this.boxes.get(box);
    if (previous !== undefined && previous.incarnation !== incarnation) {
      this.fence(box, previous.incarnation, at);
    }
    if (previous?.incarnation !== incarnation) {
      this.boxes.set(box, {box, floor: 0, hall, incarnation});
    }
    return 'noted';
  }

  /** Fences an incarnation. */
  fence(box: string, incarnation: string, at: number): void {
    if (this.boxes.get(box)?.incarnation === incarnation) {
      this.boxes.delete(box);
    }
    const id = `${box}\n${incarnation}`;
    if (!this.fenced.has(id)) {
      this.fenced.set(id, {at, box, incarnation});
    }
  }

  /** Whether an incarnation is fenced. */
  isFenced(box: string, incarnation: string): boolean {
    return this.fenced.has(`${box}\n${incarnation}`);
  }

  /** Returns the incarnations fenced at or before `before`. */
  fencedBefore(before: number): FencedEntry[] {
    return [...this.fenced.values()].filter(({at}) => at <= before);
  }

  /** Deletes the incarnations fenced before `before`. */
  deleteFencedBefore(before: number): void {
    for (const [id, {at}] of this.fenced) {
      if (at < before) {
        this.fenced.delete(id);
      }
    }
  }

  /** Returns every box with its current incarnation. */
  all(): BoxEntry[] {
    return [...this.boxes.values()];
  }

  /** Returns every fenced incarnation. */
  allFenced(): FencedEntry[] {
    return [...this.fenced.values()];
  }

  /** Replaces all entries by those of a snapshot. */
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
