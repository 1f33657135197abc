/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Validates JSON values against schemas and describes all problems found. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import stringify from 'safe-stable-stringify';
import type {Failure} from 'shared';
import {decodeUtf8, describeError} from 'shared';
import type {z} from 'zod';

/** Longer values are truncated in messages, characters. */
const MAX_SHOWN_VALUE_LENGTH = 60;

/** A value that violates the schema, or a file that cannot be read. */
export interface ValidationProblem {
  /** File name, or another name of the validated value. */
  readonly file: string;
  /** Path of the value in the file, such as `/a/0/b`; `/` is the whole file. */
  readonly path: string;
  /** Description of the actual value. */
  readonly found: string;
  /** Description of the expected value. */
  readonly wanted: string;
}

/** Validation failed, or a file could not be read. */
export interface ValidationFailure extends Failure<'invalid'> {
  readonly problems: readonly ValidationProblem[];
}

/** Creates a failure whose message has one line per problem. */
export function createValidationFailure(
  problems: readonly ValidationProblem[],
): ValidationFailure {
  const lines = problems.map(
    ({file, found, path, wanted}) =>
      `${file}: ${path}: found ${found}; wanted ${wanted}`,
  );
  return {kind: 'invalid', message: lines.join('\n'), problems};
}

function getValueAt(value: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (current, key) =>
      typeof current === 'object' && current !== null
        ? (current as Record<PropertyKey, unknown>)[key]
        : undefined,
    value,
  );
}

function formatValue(value: unknown): string {
  const text = stringify(value) ?? 'nothing';
  return text.length > MAX_SHOWN_VALUE_LENGTH
    ? `${text.slice(0, MAX_SHOWN_VALUE_LENGTH)}…`
    : text;
}

/** Validates a parsed value against a schema. */
export function validateValue<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
  file: string,
): Result<z.output<Schema>, ValidationFailure> {
  const parsed = schema.safeParse(value);
  if (parsed.success) {
    return ok(parsed.data);
  }
  const problems = parsed.error.issues.map((issue) => ({
    file,
    found: formatValue(getValueAt(value, issue.path)),
    path: `/${issue.path.map(String).join('/')}`,
    wanted: issue.message,
  }));
  return err(createValidationFailure(problems));
}

/**
 * Parses JSON in UTF-8 (RFC 8259, section 8.1); `file` names it in the failure. Bytes that
 * are no UTF-8 are not replaced, as a name that holds them would become another one.
 */
export function parseJson(
  bytes: Uint8Array,
  file: string,
): Result<unknown, ValidationFailure> {
  return decodeText(bytes, file).andThen((text) => parseText(text, file));
}

function decodeText(
  bytes: Uint8Array,
  file: string,
): Result<string, ValidationFailure> {
  return decodeUtf8(bytes).mapErr(() =>
    createValidationFailure([
      {
        file,
        found: 'bytes that are no UTF-8',
        path: '/',
        wanted: 'JSON in UTF-8',
      },
    ]),
  );
}

function parseText(
  text: string,
  file: string,
): Result<unknown, ValidationFailure> {
  try {
    return ok(JSON.parse(text));
  } catch (error) {
    const wanted = `JSON (${describeError(error)})`;
    return err(
      createValidationFailure([
        {file, found: formatValue(text), path: '/', wanted},
      ]),
    );
  }
}
