/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** How often the clients of a server met one of its limits, and what they hold. */

/** The limit that a client met. */
export const CLIENT_LIMIT = {
  /** A request was refused because there was no memory for its body. */
  bodyMemory: 'body-no-room',
  /** A body came in too many small pieces at once, and was left unread for a while. */
  bodyPieces: 'body-pieces',
  /** A request was refused because its body stood still. */
  bodyPause: 'body-stalled',
  /** A connection without a request was closed to make room for another one. */
  idleConnections: 'idle-closed',
  /** A connection was closed unread because there was no room for it. */
  newConnections: 'connection-refused',
  /** A connection was closed because of requests that did not wait for responses. */
  pipelinedRequests: 'pipelined-too-many',
  /** A connection was closed because its client did not read a response. */
  unreadResponse: 'response-unread',
} as const;

/** One of CLIENT_LIMIT. */
export type ClientLimit = (typeof CLIENT_LIMIT)[keyof typeof CLIENT_LIMIT];

/** What the clients of a server hold. */
export interface ServerUsage {
  readonly connections: number;
  /** Memory of request bodies, bytes. */
  readonly bodyBytes: number;
}

/** The limits that clients have met since the last report. */
export interface LimitReport extends ServerUsage {
  /** How often, by limit. */
  readonly counts: Readonly<Partial<Record<ClientLimit, number>>>;
}

/** Reports the limits that clients of a server meet; several at once. */
export interface LimitObserver {
  /** Called each time. */
  readonly onLimit: (limit: ClientLimit) => void;
  /** Called at most once per interval of the server. */
  readonly onReport: (report: LimitReport) => void;
}

/** Counts limits that were met until they are reported. */
export class LimitCounter {
  private counts: Partial<Record<ClientLimit, number>> = {};

  constructor(private readonly observer: LimitObserver) {}

  record(limit: ClientLimit): void {
    this.counts[limit] = (this.counts[limit] ?? 0) + 1;
    this.observer.onLimit(limit);
  }

  /** Reports what was counted since the last call, if anything was. */
  report(usage: ServerUsage): void {
    const {counts} = this;
    if (Object.keys(counts).length > 0) {
      this.counts = {};
      this.observer.onReport({...usage, counts});
    }
  }
}
