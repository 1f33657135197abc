/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Declarations in force, and the order in which they came. */
import type {Declaration, DeclarationKind} from 'puffinturn-settings';

import type {DeclarationVersion, DeclareOutcome} from './LedgerOutcomes';

/** A declaration in force. */
export interface DeclarationEntry {
  declaration: Declaration;
  digest: string;
  operator: string;
  /** Log index of this region from which it is in force. */
  index: number;
  /** Position among the global changes; 0 for one region's own. */
  sequence: number;
}

function idOf({kind, name}: {kind: DeclarationKind; name: string}): string {
  return `${kind}/${name}`;
}

/** See the module comment. */
export class DeclarationTable {
  private readonly entries = new Map<string, DeclarationEntry>();
  private index = 0;
  private sequence = 0;

  /** Log index of the newest change. */
  get configIndex(): number {
    return this.index;
  }

  /** Position of the newest global change. */
  get globalSequence(): number {
    return this.sequence;
  }

  /** The entry of a kind and name. */
  get(kind: DeclarationKind, name: string): DeclarationEntry | undefined {
    return this.entries.get(`${kind}/${name}`);
  }

  /** What stands against a change: undefined when nothing does. */
  objection(
    declaration: Declaration,
    digest: string,
  ): DeclareOutcome | undefined {
    const entry = this.entries.get(idOf(declaration));
    if (entry === undefined) {
      return undefined;
    }
    const {number} = entry.declaration;
    if (declaration.number < number) {
      return {current: versionOf(entry), kind: 'stale'};
    }
    if (declaration.number > number) {
      return undefined;
    }
    return entry.digest === digest
      ? {index: entry.index, kind: 'accepted', sequence: entry.sequence}
      : {kind: 'conflict', winner: versionOf(entry)};
  }

  /** Puts a change in force; `sequence` counts up for global ones. */
  put(
    declaration: Declaration,
    digest: string,
    operator: string,
    index: number,
    sequence: number,
  ): void {
    this.entries.set(idOf(declaration), {
      declaration,
      digest,
      index,
      operator,
      sequence,
    });
    this.index = index;
    this.sequence = Math.max(this.sequence, sequence);
  }

  /** Changes after a log index, oldest first. */
  since(index: number): DeclarationEntry[] {
    return this.all()
      .filter((entry) => entry.index > index)
      .sort((a, b) => a.index - b.index);
  }

  /** Global changes after a position, oldest first. */
  sinceSequence(sequence: number): DeclarationEntry[] {
    return this.all()
      .filter((entry) => entry.sequence > sequence)
      .sort((a, b) => a.sequence - b.sequence);
  }

  /** Every entry, removed declarations included. */
  all(): DeclarationEntry[] {
    return [...this.entries.values()];
  }

  /** Takes over stored entries. */
  restore(
    entries: readonly DeclarationEntry[],
    index: number,
    sequence: number,
  ): void {
    this.entries.clear();
    for (const entry of entries) {
      this.entries.set(idOf(entry.declaration), entry);
    }
    this.index = index;
    this.sequence = sequence;
  }
}

function versionOf(entry: DeclarationEntry): DeclarationVersion {
  const {declaration, digest, operator} = entry;
  return {digest, number: declaration.number, operator};
}
