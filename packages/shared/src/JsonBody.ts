/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Reads JSON bodies of responses, up to a size. */
import type {Readable} from 'node:stream';

import {ResultAsync} from 'neverthrow';

import {collectChunks} from './ChunkCollector';
import type {Failure} from './Failure';
import {describeError} from './Failure';

/** A body that broke off, is too long or is not JSON. */
export type BodyFailure = Failure<'unreadable-body'>;

/**
 * Reads a body of at most `maxBytes` as JSON. The connection of a longer one is closed, as
 * an endless body would fill the memory.
 */
export function readJsonBody(
  body: Readable,
  maxBytes: number,
): ResultAsync<unknown, BodyFailure> {
  // An error after the last read would end the process.
  body.on('error', () => undefined);
  return ResultAsync.fromPromise(parseBody(body, maxBytes), (error) => ({
    kind: 'unreadable-body',
    message: describeError(error),
  }));
}

async function parseBody(body: Readable, maxBytes: number): Promise<unknown> {
  const bytes = await collectChunks(body, maxBytes);
  if (bytes === undefined) {
    throw new RangeError(`the body exceeds ${maxBytes} bytes`);
  }
  return JSON.parse(bytes.toString());
}
