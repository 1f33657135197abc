/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Transports the messages of the replicated log over the link between boxes. */
import type {ResultAsync} from 'neverthrow';
import type {LogLinkFailure, LogRequest, ReplicaId} from 'puffinturn-log';
import {boxOf, LogLink} from 'puffinturn-log';
import type {Link} from 'puffinturn-wire';

/** Link service that handles the messages of the log. */
const LOG_SERVICE = 'log';

class ReplicaLink extends LogLink {
  constructor(private readonly link: Link) {
    super();
  }

  override call(
    to: ReplicaId,
    request: LogRequest,
    timeoutMs: number,
  ): ResultAsync<unknown, LogLinkFailure> {
    return this.link
      .call(boxOf(to), LOG_SERVICE, request, timeoutMs)
      .mapErr(({message}) => ({kind: 'unreachable', message}));
  }
}

/** Creates the link of a replica, and the function that registers its message handler. */
export function createReplicaLink(link: Link): {
  readonly logLink: LogLink;
  readonly serve: (
    handle: (request: LogRequest) => Promise<unknown>,
  ) => Disposable;
} {
  return {
    logLink: new ReplicaLink(link),
    serve: (handle) =>
      link.register(LOG_SERVICE, (body) => handle(body as LogRequest)),
  };
}
