/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Compares files of declarations with the declarations in force. */
import type {DeclarationEntry} from 'puffinturn-ledger';
import type {Declaration, LoadedDeclaration} from 'puffinturn-settings';
import {digestValue} from 'shared';

/** Difference between a declaration in the files and the one in force. */
export const DIFFERENCE = {
  changed: 'changed',
  /** In force, but not in any file; `apply --prune` removes it. */
  extra: 'extra',
  new: 'new',
  same: 'same',
} as const;

/** Value of `DIFFERENCE`. */
export type Difference = (typeof DIFFERENCE)[keyof typeof DIFFERENCE];

/** Result of comparing one declaration. */
export interface Comparison {
  readonly difference: Difference;
  /** Empty if the declaration is in no file. */
  readonly file: string;
  /** Declaration that `apply` would send. */
  readonly declaration: Declaration;
  /** Version number in force; 0 if there is none. */
  readonly numberInForce: number;
}

function digestContent({number: _number, ...content}: Declaration): string {
  return digestValue(content);
}

function compareDeclaration(
  {declaration, file, hasNumber}: LoadedDeclaration,
  entry: DeclarationEntry | undefined,
): Comparison {
  const current = entry?.declaration;
  const numberInForce = current?.number ?? 0;
  if (
    current !== undefined &&
    digestContent(current) === digestContent(declaration)
  ) {
    return {
      declaration: current,
      difference: DIFFERENCE.same,
      file,
      numberInForce,
    };
  }
  const difference =
    (current?.spec ?? null) === null ? DIFFERENCE.new : DIFFERENCE.changed;
  const number = hasNumber ? declaration.number : numberInForce + 1;
  return {
    declaration: {...declaration, number},
    difference,
    file,
    numberInForce,
  };
}

/** Compares all declarations; those in force but in no file come last. */
export function compareDeclarations(
  files: readonly LoadedDeclaration[],
  entries: readonly DeclarationEntry[],
): Comparison[] {
  const declarationId = ({kind, name}: Declaration): string =>
    `${kind}/${name}`;
  const inForce = new Map(
    entries.map((entry) => [declarationId(entry.declaration), entry]),
  );
  const compared = files.map((file) =>
    compareDeclaration(file, inForce.get(declarationId(file.declaration))),
  );
  const declaredIds = new Set(
    files.map(({declaration}) => declarationId(declaration)),
  );
  const extra = entries
    .map(({declaration}) => declaration)
    .filter((declaration) => declaration.spec !== null)
    // Drains are created by `puffinturn drain`, not declared in files.
    .filter((declaration) => declaration.kind !== 'drain')
    .filter((declaration) => !declaredIds.has(declarationId(declaration)))
    .map((declaration): Comparison => ({
      declaration: {...declaration, number: declaration.number + 1, spec: null},
      difference: DIFFERENCE.extra,
      file: '',
      numberInForce: declaration.number,
    }));
  return [...compared, ...extra];
}
