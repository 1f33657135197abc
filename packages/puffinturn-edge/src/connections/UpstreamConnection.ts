/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Whether a connection to an upstream ended in order. One connection serves
 * many requests in turn, so it is watched once and not for each of them.
 */
import type {Socket} from 'node:net';

/** What is known of one connection. */
export interface UpstreamConnection {
  /** Whether it was reset or failed otherwise. */
  harmed: boolean;
}

const connections = new WeakMap<Socket, UpstreamConnection>();

/**
 * The state of a connection, watched from the first call on. A reset that
 * arrives together with the last bytes reaches Node as an end of the stream,
 * since libuv reports a hang-up as an end after a partial read. The operating
 * system knows no peer for a socket that was reset, but still one for a socket
 * whose peer has ended in order.
 */
export function connectionOf(socket: Socket): UpstreamConnection {
  const known = connections.get(socket);
  if (known !== undefined) {
    return known;
  }
  const connection: UpstreamConnection = {harmed: false};
  connections.set(socket, connection);
  socket.on('error', () => (connection.harmed = true));
  socket.prependOnceListener('end', () => {
    connection.harmed ||= socket.remoteAddress === undefined;
  });
  return connection;
}
