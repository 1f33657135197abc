/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Connects Hono applications to bounded servers. */
import type {HttpBindings} from '@hono/node-server';
import {getRequestListener} from '@hono/node-server';

import type {RequestHandler} from './ClientConnection';

/** Creates the handler of an application, which reads bodies by `readBody`. */
export function createHonoHandler(
  fetch: (
    request: Request,
    bindings: HttpBindings,
  ) => Response | Promise<Response>,
): RequestHandler {
  const listener = getRequestListener(
    (request, bindings) => fetch(request, bindings as HttpBindings),
    // The server drops bodies that are not read.
    {autoCleanupIncoming: false},
  );
  return (incoming, response) => void listener(incoming, response);
}
