/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Finds out whether anything listens at an address. */
import {connect} from 'node:net';

/** What a try to connect showed. */
export const LISTENER = {
  /** A connection came up. */
  listens: 'listens',
  /** The machine answers, and nothing listens there. */
  refused: 'refused',
  /** Nothing answered in time, or the way there failed. */
  unknown: 'unknown',
} as const;

/** One of LISTENER. */
export type ListenerState = (typeof LISTENER)[keyof typeof LISTENER];

/** Longest time that a try may take, ms: some round trips between regions. */
const PROBE_MS = 500;

/** Tries to connect once and closes the connection again. */
export function probeListener(
  host: string,
  port: number,
): Promise<ListenerState> {
  return new Promise((resolve) => {
    const socket = connect({host, port});
    const end = (state: ListenerState): void => {
      socket.destroy();
      resolve(state);
    };
    socket.setTimeout(PROBE_MS, () => end(LISTENER.unknown));
    socket.once('connect', () => end(LISTENER.listens));
    socket.once('error', ({code}: NodeJS.ErrnoException) =>
      end(code === 'ECONNREFUSED' ? LISTENER.refused : LISTENER.unknown),
    );
  });
}
