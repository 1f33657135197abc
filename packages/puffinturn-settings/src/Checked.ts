/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Checks JSON against a schema and words every problem for its author. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import stringify from 'safe-stable-stringify';
import type {Failure} from 'shared';
import {describeError} from 'shared';
import type {z} from 'zod';

const SHOWN_VALUE_LENGTH = 60;

/** One problem of one file. */
export interface Problem {
  /** The file, or the name of what was checked. */
  readonly file: string;
  /** Where in the file, as `/a/0/b`; `/` is the whole. */
  readonly path: string;
  /** What is there. */
  readonly found: string;
  /** What should be there. */
  readonly wanted: string;
}

/** JSON that is not what the schema wants. */
export interface CheckFailure extends Failure<'invalid'> {
  readonly problems: readonly Problem[];
}

/** A failure from a list of problems, one line each. */
export function checkFailure(problems: readonly Problem[]): CheckFailure {
  const lines = problems.map(
    ({file, found, path, wanted}) =>
      `${file}: ${path}: found ${found}; wanted ${wanted}`,
  );
  return {kind: 'invalid', message: lines.join('\n'), problems};
}

function valueAt(value: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (inner, key) =>
      typeof inner === 'object' && inner !== null
        ? (inner as Record<PropertyKey, unknown>)[key]
        : undefined,
    value,
  );
}

function shown(value: unknown): string {
  const text = stringify(value) ?? 'nothing';
  return text.length > SHOWN_VALUE_LENGTH
    ? `${text.slice(0, SHOWN_VALUE_LENGTH)}…`
    : text;
}

/** Checks a value that is already parsed. */
export function checkValue<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
  file: string,
): Result<z.output<Schema>, CheckFailure> {
  const parsed = schema.safeParse(value);
  if (parsed.success) {
    return ok(parsed.data);
  }
  const problems = parsed.error.issues.map((issue) => ({
    file,
    found: shown(valueAt(value, issue.path)),
    path: `/${issue.path.map(String).join('/')}`,
    wanted: issue.message,
  }));
  return err(checkFailure(problems));
}

/** Parses JSON text. */
export function parseJson(
  text: string,
  file: string,
): Result<unknown, CheckFailure> {
  try {
    return ok(JSON.parse(text));
  } catch (error) {
    const wanted = `JSON (${describeError(error)})`;
    return err(checkFailure([{file, found: shown(text), path: '/', wanted}]));
  }
}
