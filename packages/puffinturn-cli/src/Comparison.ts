/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Compares a folder of declarations with what is in force. */
import type {DeclarationEntry} from 'puffinturn-ledger';
import type {Declaration, DeclarationFile} from 'puffinturn-settings';
import {digestValue} from 'shared';

/** What `apply` would do with one declaration. */
export const DIFFERENCE = {
  changed: 'changed',
  /** In force, but in no file; `apply --prune` removes it. */
  extra: 'extra',
  new: 'new',
  same: 'same',
} as const;

/** One of DIFFERENCE. */
export type Difference = (typeof DIFFERENCE)[keyof typeof DIFFERENCE];

/** One declaration on both sides. */
export interface Comparison {
  readonly difference: Difference;
  readonly file: string;
  /** What `apply` would send. */
  readonly declaration: Declaration;
  /** Number in force; 0 when there is none. */
  readonly numberInForce: number;
}

function contentOf({number: _number, ...content}: Declaration): string {
  return digestValue(content);
}

function compareOne(
  {declaration, file, numbered}: DeclarationFile,
  entry: DeclarationEntry | undefined,
): Comparison {
  const current = entry?.declaration;
  const numberInForce = current?.number ?? 0;
  if (current !== undefined && contentOf(current) === contentOf(declaration)) {
    return {
      declaration: current,
      difference: DIFFERENCE.same,
      file,
      numberInForce,
    };
  }
  const difference =
    (current?.spec ?? null) === null ? DIFFERENCE.new : DIFFERENCE.changed;
  const number = numbered ? declaration.number : numberInForce + 1;
  return {
    declaration: {...declaration, number},
    difference,
    file,
    numberInForce,
  };
}

/** Compares all; those in force that no file holds come last. */
export function compareAll(
  files: readonly DeclarationFile[],
  entries: readonly DeclarationEntry[],
): Comparison[] {
  const idOf = ({kind, name}: Declaration): string => `${kind}/${name}`;
  const inForce = new Map(
    entries.map((entry) => [idOf(entry.declaration), entry]),
  );
  const compared = files.map((file) =>
    compareOne(file, inForce.get(idOf(file.declaration))),
  );
  const named = new Set(files.map(({declaration}) => idOf(declaration)));
  const extra = entries
    .map(({declaration}) => declaration)
    .filter((declaration) => declaration.spec !== null)
    // Drains are made by `puffinturn drain`, not kept in files.
    .filter((declaration) => declaration.kind !== 'drain')
    .filter((declaration) => !named.has(idOf(declaration)))
    .map((declaration): Comparison => ({
      declaration: {...declaration, number: declaration.number + 1, spec: null},
      difference: DIFFERENCE.extra,
      file: '',
      numberInForce: declaration.number,
    }));
  return [...compared, ...extra];
}
