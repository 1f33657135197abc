/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Declarations in force, and the order in which they came. */
import type {Declaration, DeclarationKind} from 'puffinturn-settings';

import type {DeclarationVersion, DeclareOutcome} from './LedgerOutcomes';

/** The current version of a declaration. */
export interface DeclarationEntry {
  declaration: Declaration;
  digest: string;
  operator: string;
  /** Index in this region's log at which it took effect. */
  index: number;
  /** Position among the global changes; 0 for a change of one region. */
  sequence: number;
}

function entryId({kind, name}: {kind: DeclarationKind; name: string}): string {
  return `${kind}/${name}`;
}

/** Current declarations by kind and name. */
export class DeclarationTable {
  private readonly entries = new Map<string, DeclarationEntry>();
  private lastIndex = 0;
  private lastSequence = 0;

  /** Log index of the last change. */
  get configIndex(): number {
    return this.lastIndex;
  }

  /** Position of the last global change. */
  get globalSequence(): number {
    return this.lastSequence;
  }

  /** Returns the declaration of a kind and name. */
  get(kind: DeclarationKind, name: string): DeclarationEntry | undefined {
    return this.entries.get(`${kind}/${name}`);
  }

  /** Returns undefined for a newer version, else the outcome of the change. */
  checkVersion(
    declaration: Declaration,
    digest: string,
  ): DeclareOutcome | undefined {
    const entry = this.entries.get(entryId(declaration));
    if (entry === undefined) {
      return undefined;
    }
    const {number} = entry.declaration;
    if (declaration.number < number) {
      return {current: toVersion(entry), kind: 'stale'};
    }
    if (declaration.number > number) {
      return undefined;
    }
    return entry.digest === digest
      ? {index: entry.index, kind: 'accepted', sequence: entry.sequence}
      : {kind: 'conflict', winner: toVersion(entry)};
  }

  /** Applies a change; `sequence` is 0 unless the change is global. */
  put(
    declaration: Declaration,
    digest: string,
    operator: string,
    index: number,
    sequence: number,
  ): void {
    this.entries.set(entryId(declaration), {
      declaration,
      digest,
      index,
      operator,
      sequence,
    });
    this.lastIndex = index;
    this.lastSequence = Math.max(this.lastSequence, sequence);
  }

  /** Returns the changes after a log index, oldest first. */
  changesSince(index: number): DeclarationEntry[] {
    return this.all()
      .filter((entry) => entry.index > index)
      .sort((a, b) => a.index - b.index);
  }

  /** Returns the global changes after a position, oldest first. */
  globalChangesSince(sequence: number): DeclarationEntry[] {
    return this.all()
      .filter((entry) => entry.sequence > sequence)
      .sort((a, b) => a.sequence - b.sequence);
  }

  /** Returns every declaration, including deleted ones. */
  all(): DeclarationEntry[] {
    return [...this.entries.values()];
  }

  /** Replaces all entries by those of a snapshot. */
  restore(
    entries: readonly DeclarationEntry[],
    index: number,
    sequence: number,
  ): void {
    this.entries.clear();
    for (const entry of entries) {
      this.entries.set(entryId(entry.declaration), entry);
    }
    this.lastIndex = index;
    this.lastSequence = sequence;
  }
}

function toVersion(entry: DeclarationEntry): DeclarationVersion {
  const {declaration, digest, operator} = entry;
  return {digest, number: declaration.number, operator};
}
