/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Reads request bodies in Hono applications. */
import type {HttpBindings} from '@hono/node-server';
import type {Context} from 'hono';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import {ChunkCollector} from 'shared';

import type {BodyFailure} from './RequestBody';
import {bodyTooLarge, RequestBody} from './RequestBody';

/** Bindings of an application; without a connection in tests of the application alone. */
interface BodyEnvironment {
  Bindings: Partial<HttpBindings>;
}

/**
 * Reads the whole body of a request, or fails if it is longer than `maxBytes`. A request
 * that came over a bounded server is subject to its limits.
 */
export async function readBody<Environment extends BodyEnvironment>(
  {env, req}: Context<Environment>,
  maxBytes: number,
): Promise<Result<Buffer, BodyFailure>> {
  const incoming = (env as Partial<HttpBindings> | undefined)?.incoming;
  const body = incoming && RequestBody.of(incoming);
  return body?.read(maxBytes) ?? readStream(req.raw.body, maxBytes);
}

async function readStream(
  stream: ReadableStream<Uint8Array> | null,
  maxBytes: number,
): Promise<Result<Buffer, BodyFailure>> {
  const chunks = new ChunkCollector();
  let length = 0;
  for await (const chunk of stream ?? []) {
    length += chunk.length;
    if (length > maxBytes) {
      return err(bodyTooLarge(maxBytes));
    }
    chunks.append(Buffer.from(chunk));
  }
  return ok(chunks.take());
}
