/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Probes whether a process is listening on an address. */
import {connect} from 'node:net';

/** Results of a probe. */
export const LISTENER_STATE = {
  /** The connection was established. */
  listening: 'listens',
  /** The connection was refused, so no process is listening. */
  refused: 'refused',
  /** The connection timed out or failed with another error. */
  unknown: 'unknown',
} as const;

/** A value of LISTENER_STATE. */
export type ListenerState =
  (typeof LISTENER_STATE)[keyof typeof LISTENER_STATE];

/** Connection timeout, ms; several round trips between regions. */
const PROBE_TIMEOUT_MS = 500;

/**
 * Connects once and closes the connection. A time-out that passed while this process was
 * delayed counts only after the event loop has looked for a reply.
 */
export function probeListener(
  host: string,
  port: number,
  timeoutMs = PROBE_TIMEOUT_MS,
): Promise<ListenerState> {
  return new Promise((resolve) => {
    const socket = connect({host, port});
    const finish = (state: ListenerState): void => {
      socket.destroy();
      resolve(state);
    };
    socket.setTimeout(timeoutMs, () =>
      setImmediate(() => finish(LISTENER_STATE.unknown)),
    );
    socket.once('connect', () => finish(LISTENER_STATE.listening));
    socket.once('error', (error) => finish(listenerStateOf(error)));
  });
}

/** What a failed attempt to connect shows of the listener. */
export function listenerStateOf({code}: NodeJS.ErrnoException): ListenerState {
  return code === 'ECONNREFUSED'
    ? LISTENER_STATE.refused
    : LISTENER_STATE.unknown;
}
