/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Detects connections that ended by a reset or an error. Listeners are added once per
 * socket, as one socket serves many requests.
 */
import type {Socket} from 'node:net';

/** Failure state of one connection. */
export interface ConnectionState {
  /** Whether the connection was reset or had another error. */
  hasFailed: boolean;
}

const states = new WeakMap<Socket, ConnectionState>();

/**
 * Returns the state of a socket, tracked from the first call on. After a partial read,
 * libuv reports a reset as an end of stream. It is recognized by the missing remote
 * address, which a socket closed normally by its peer still has.
 */
export function getConnectionState(socket: Socket): ConnectionState {
  const existing = states.get(socket);
  if (existing !== undefined) {
    return existing;
  }
  const state: ConnectionState = {hasFailed: false};
  states.set(socket, state);
  socket.on('error', () => (state.hasFailed = true));
  socket.prependOnceListener('end', () => {
    state.hasFailed ||= socket.remoteAddress === undefined;
  });
  return state;
}
