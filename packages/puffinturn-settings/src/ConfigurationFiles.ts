/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Reads and validates settings files and declaration files. */
import {readdir, readFile, stat} from 'node:fs/promises';
import {dirname, isAbsolute, join, resolve} from 'node:path';

import type {Result} from 'neverthrow';
import {err, ok, ResultAsync} from 'neverthrow';
import {describeError} from 'shared';

import type {Declaration} from './DeclarationSchema';
import {DeclarationFileSchema} from './DeclarationSchema';
import type {Settings, TlsSettings} from './SettingsSchema';
import {SettingsSchema} from './SettingsSchema';
import type {ValidationFailure, ValidationProblem} from './Validation';
import {createValidationFailure, parseJson, validateValue} from './Validation';

/** A declaration with the file that contains it. */
export interface LoadedDeclaration {
  readonly file: string;
  /** Whether the file sets the version number. */
  readonly hasNumber: boolean;
  readonly declaration: Declaration;
}

function readJson(file: string): ResultAsync<unknown, ValidationFailure> {
  return ResultAsync.fromPromise(readFile(file), (error) =>
    createValidationFailure([
      {file, found: describeError(error), path: '/', wanted: 'a readable file'},
    ]),
  ).andThen((bytes) => parseJson(bytes, file));
}

/** Reads a settings file; relative paths in it are resolved against its folder. */
export function readSettings(
  file: string,
): ResultAsync<Settings, ValidationFailure> {
  return readJson(file)
    .andThen((value) => validateValue(SettingsSchema, value, file))
    .map((settings) => resolveFilePaths(settings, dirname(resolve(file))));
}

function resolveFilePaths(settings: Settings, folder: string): Settings {
  const toAbsolute = (path: string): string =>
    isAbsolute(path) ? path : join(folder, path);
  const resolveTls = (tls?: TlsSettings): TlsSettings | undefined =>
    tls && {
      caFile: tls.caFile === undefined ? undefined : toAbsolute(tls.caFile),
      certFile: toAbsolute(tls.certFile),
      keyFile: toAbsolute(tls.keyFile),
    };
  const {callers, fleet, operators} = settings;
  return {
    ...settings,
    callers: {...callers, tls: resolveTls(callers.tls)},
    dataFolder: toAbsolute(settings.dataFolder),
    fleet: {
      ...fleet,
      keyFile: toAbsolute(fleet.keyFile),
      tls: resolveTls(fleet.tls),
    },
    operators: {...operators, tls: resolveTls(operators.tls)},
  };
}

/** Reads all declarations in a folder, or in a single file, in order of file name. */
export function readDeclarations(
  path: string,
): ResultAsync<LoadedDeclaration[], ValidationFailure> {
  return new ResultAsync(collectDeclarationFiles(path));
}

async function collectDeclarationFiles(
  path: string,
): Promise<Result<LoadedDeclaration[], ValidationFailure>> {
  const paths = await listJsonFiles(path);
  if (paths.isErr()) {
    return err(paths.error);
  }
  const problems: ValidationProblem[] = [];
  const declarations: LoadedDeclaration[] = [];
  for (const file of paths.value) {
    const result = await readDeclarationFile(file);
    if (result.isErr()) {
      problems.push(...result.error.problems);
    } else {
      declarations.push(...result.value);
    }
  }
  problems.push(...findDuplicateNames(declarations));
  return problems.length > 0
    ? err(createValidationFailure(problems))
    : ok(declarations);
}

function listJsonFiles(path: string): ResultAsync<string[], ValidationFailure> {
  const listPaths = async (): Promise<string[]> => {
    if (!(await stat(path)).isDirectory()) {
      return [path];
    }
    const names = await readdir(path, {recursive: true});
    return names
      .filter((name) => name.endsWith('.json'))
      .sort()
      .map((name) => join(path, name));
  };
  return ResultAsync.fromPromise(listPaths(), (error) =>
    createValidationFailure([
      {
        file: path,
        found: describeError(error),
        path: '/',
        wanted: 'a JSON file or a folder of JSON files',
      },
    ]),
  );
}

function readDeclarationFile(
  file: string,
): ResultAsync<LoadedDeclaration[], ValidationFailure> {
  return readJson(file).andThen((value) => {
    const items = Array.isArray(value) ? value : [value];
    const problems: ValidationProblem[] = [];
    const declarations: LoadedDeclaration[] = [];
    for (const [index, item] of items.entries()) {
      const location = items.length > 1 ? `${file}[${index}]` : file;
      const result = validateValue(DeclarationFileSchema, item, location);
      if (result.isErr()) {
        problems.push(...result.error.problems);
      } else {
        const hasNumber = 'number' in item;
        declarations.push({declaration: result.value, file, hasNumber});
      }
    }
    return problems.length > 0
      ? err(createValidationFailure(problems))
      : ok(declarations);
  });
}

function findDuplicateNames(
  declarationFiles: readonly LoadedDeclaration[],
): ValidationProblem[] {
  const fileById = new Map<string, string>();
  const problems: ValidationProblem[] = [];
  for (const {declaration, file} of declarationFiles) {
    const id = `${declaration.kind}/${declaration.name}`;
    const firstFile = fileById.get(id);
    if (firstFile !== undefined) {
      const found = `${id}, also in ${firstFile}`;
      problems.push({file, found, path: '/name', wanted: 'a unique name'});
    }
    fileById.set(id, file);
  }
  return problems;
}
