/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Reads settings and folders of declarations. */
import {readdir, readFile, stat} from 'node:fs/promises';
import {dirname, isAbsolute, join, resolve} from 'node:path';

import type {Result} from 'neverthrow';
import {err, ok, ResultAsync} from 'neverthrow';
import {describeError} from 'shared';

import type {CheckFailure, Problem} from './Checked';
import {checkFailure, checkValue, parseJson} from './Checked';
import type {Declaration} from './DeclarationSchema';
import {DeclarationFileSchema} from './DeclarationSchema';
import type {Settings, TlsSettings} from './SettingsSchema';
import {SettingsSchema} from './SettingsSchema';

/** A declaration with the file that it came from. */
export interface DeclarationFile {
  readonly file: string;
  /** Whether the file itself gives the number. */
  readonly numbered: boolean;
  readonly declaration: Declaration;
}

function readText(file: string): ResultAsync<string, CheckFailure> {
  return ResultAsync.fromPromise(readFile(file, 'utf8'), (error) =>
    checkFailure([
      {file, found: describeError(error), path: '/', wanted: 'a readable file'},
    ]),
  );
}

/** Reads a settings file; file names in it are relative to its folder. */
export function readSettings(
  file: string,
): ResultAsync<Settings, CheckFailure> {
  return readText(file)
    .andThen((text) => parseJson(text, file))
    .andThen((value) => checkValue(SettingsSchema, value, file))
    .map((settings) => withAbsoluteFiles(settings, dirname(resolve(file))));
}

function withAbsoluteFiles(settings: Settings, folder: string): Settings {
  const absolute = (path: string): string =>
    isAbsolute(path) ? path : join(folder, path);
  const absoluteTls = (tls?: TlsSettings): TlsSettings | undefined =>
    tls && {
      caFile: tls.caFile === undefined ? undefined : absolute(tls.caFile),
      certFile: absolute(tls.certFile),
      keyFile: absolute(tls.keyFile),
    };
  const {callers, fleet, operators} = settings;
  return {
    ...settings,
    callers: {...callers, tls: absoluteTls(callers.tls)},
    dataFolder: absolute(settings.dataFolder),
    fleet: {
      ...fleet,
      keyFile: absolute(fleet.keyFile),
      tls: absoluteTls(fleet.tls),
    },
    operators: {...operators, tls: absoluteTls(operators.tls)},
  };
}

/** Reads all declarations of a folder (or one file), in order of file name. */
export function readDeclarations(
  path: string,
): ResultAsync<DeclarationFile[], CheckFailure> {
  return new ResultAsync(collectDeclarations(path));
}

async function collectDeclarations(
  path: string,
): Promise<Result<DeclarationFile[], CheckFailure>> {
  const names = await jsonFiles(path);
  if (names.isErr()) {
    return err(names.error);
  }
  const problems: Problem[] = [];
  const found: DeclarationFile[] = [];
  for (const file of names.value) {
    const result = await readDeclarationFile(file);
    if (result.isErr()) {
      problems.push(...result.error.problems);
    } else {
      found.push(...result.value);
    }
  }
  problems.push(...repeatedNames(found));
  return problems.length > 0 ? err(checkFailure(problems)) : ok(found);
}

function jsonFiles(path: string): ResultAsync<string[], CheckFailure> {
  const list = async (): Promise<string[]> => {
    if (!(await stat(path)).isDirectory()) {
      return [path];
    }
    const names = await readdir(path, {recursive: true});
    return names
      .filter((name) => name.endsWith('.json'))
      .sort()
      .map((name) => join(path, name));
  };
  return ResultAsync.fromPromise(list(), (error) =>
    checkFailure([
      {
        file: path,
        found: describeError(error),
        path: '/',
        wanted: 'a folder of JSON files',
      },
    ]),
  );
}

function readDeclarationFile(
  file: string,
): ResultAsync<DeclarationFile[], CheckFailure> {
  return readText(file)
    .andThen((text) => parseJson(text, file))
    .andThen((value) => {
      const items = Array.isArray(value) ? value : [value];
      const problems: Problem[] = [];
      const declarations: DeclarationFile[] = [];
      for (const [position, item] of items.entries()) {
        const place = items.length > 1 ? `${file}[${position}]` : file;
        const checked = checkValue(DeclarationFileSchema, item, place);
        if (checked.isErr()) {
          problems.push(...checked.error.problems);
        } else {
          const numbered = 'number' in item;
          declarations.push({declaration: checked.value, file, numbered});
        }
      }
      return problems.length > 0
        ? err(checkFailure(problems))
        : ok(declarations);
    });
}

function repeatedNames(files: readonly DeclarationFile[]): Problem[] {
  const seen = new Map<string, string>();
  const problems: Problem[] = [];
  for (const {declaration, file} of files) {
    const id = `${declaration.kind}/${declaration.name}`;
    const first = seen.get(id);
    if (first !== undefined) {
      const found = `${id}, also in ${first}`;
      problems.push({file, found, path: '/name', wanted: 'a name used once'});
    }
    seen.set(id, file);
  }
  return problems;
}
