/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Decodes text that other programs have written. */
import {Result} from 'neverthrow';

import type {Failure} from './Failure';

/** Bytes that are no UTF-8 (RFC 3629). */
export type Utf8Failure = Failure<'not-utf8'>;

/** Bytes that are no JSON in UTF-8 (RFC 8259, section 8.1). */
export type JsonFailure = Failure<'not-json'>;

const decode = Result.fromThrowable(
  (bytes: Uint8Array) => new TextDecoder('utf-8', {fatal: true}).decode(bytes),
  (): Utf8Failure => ({kind: 'not-utf8', message: 'the text is not UTF-8'}),
);

const parse = Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  (): JsonFailure => ({kind: 'not-json', message: 'not JSON in UTF-8'}),
);

/** Decodes bytes as UTF-8; fails rather than replace any of them. */
export function decodeUtf8(bytes: Uint8Array): Result<string, Utf8Failure> {
  return decode(bytes);
}

/** Parses bytes as JSON in UTF-8. */
export function parseUtf8Json(bytes: Uint8Array): Result<unknown, JsonFailure> {
  return decode(bytes)
    .mapErr(({message}): JsonFailure => ({kind: 'not-json', message}))
    .andThen(parse);
}
