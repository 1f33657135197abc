/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Both ends of the calls by which boxes exchange stream origins. */
import type {Link} from 'puffinturn-wire';
import {DisposableList} from 'shared';

import type {FoundOrigin, OriginLookup} from './Lookup';
import {LOOKUP} from './Lookup';
import type {FindReply, FindRequest, StoreRequest} from './StreamMessages';
import {STREAM_SERVICE} from './StreamMessages';
import type {KeyedOrigin} from './StreamOrigin';

/** Handles the calls of other boxes. */
export interface OriginHandlers {
  readonly store: (origin: KeyedOrigin) => void;
  readonly reply: (request: FindRequest) => FindReply;
}

/** Serves the calls of other boxes until the result is disposed. */
export function serveOriginCalls(
  link: Link,
  {reply, store}: OriginHandlers,
): Disposable {
  const registrations = new DisposableList();
  registrations.add(
    link.register(STREAM_SERVICE.store, async (body) => {
      (body as StoreRequest).origins.forEach(store);
    }),
  );
  registrations.add(
    link.register(STREAM_SERVICE.find, async (body) =>
      reply(body as FindRequest),
    ),
  );
  return registrations;
}

/**
 * Looks an origin up at other boxes. Calls `onFound` for each box that has it, and `onReply`
 * for each that replied, as soon as it did; resolves to all replies.
 */
export async function askForOrigin(
  link: Link,
  boxes: readonly string[],
  query: OriginLookup,
  onFound: (found: FoundOrigin) => void,
  onReply: (reply: FindReply) => void = () => undefined,
): Promise<readonly FindReply[]> {
  const replies: FindReply[] = [];
  const calls = boxes.map(async (box) => {
    const reply = await askBox(link, box, query);
    if (reply === undefined) {
      return;
    }
    replies.push(reply);
    const origin = reply.origin ?? undefined;
    if (origin !== undefined) {
      const ageMs = reply.ageMs ?? 0;
      onFound({ageMs, kind: LOOKUP.found, origin, source: box});
    }
    onReply(reply);
  });
  await Promise.all(calls);
  return replies;
}

async function askBox(
  link: Link,
  box: string,
  {key, service, timeoutMs}: OriginLookup,
): Promise<FindReply | undefined> {
  const request: FindRequest = {key, service};
  const reply = await link.call(box, STREAM_SERVICE.find, request, timeoutMs);
  return reply.isOk() ? (reply.value as FindReply) : undefined;
}
