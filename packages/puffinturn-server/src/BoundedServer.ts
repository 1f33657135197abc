/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Bounds what the clients of an HTTP server may take up: connections, requests that don't
 * wait for responses, memory of bodies, responses that are not read. What a client holds
 * without use goes first; a request that is being served is not ended by a limit.
 */
import type {RequestListener, Server} from 'node:http';
import type {Server as HttpsServer} from 'node:https';
import type {Socket} from 'node:net';
import {Server as TlsServer} from 'node:tls';

import type {Clock} from 'shared';

import {BODY_EVICTION, BodyBudget} from './BodyBudget';
import type {RequestHandler} from './ClientConnection';
import {ClientConnection} from './ClientConnection';
import {EarlyResponse} from './EarlyResponse';
import type {ClientLimit, LimitObserver, ServerUsage} from './LimitCounter';
import {CLIENT_LIMIT, LimitCounter} from './LimitCounter';
import {PacedRequest} from './PacedRequest';
import type {RequestBodyParts} from './RequestBody';
import {RequestBody} from './RequestBody';
import type {ServerLimits} from './ServerLimits';

/** Options with which a server has to be created that is given to BoundedServer. */
export const BOUNDED_SERVER_OPTIONS = {
  IncomingMessage: PacedRequest,
  ServerResponse: EarlyResponse,
};

/** Interval of reports and of checks for what stands still, ms. */
const CHECK_INTERVAL_MS = 1_000;

/** Connections above the limit while those that were refused for others end. */
const MAX_ENDING_CONNECTIONS = 16;

/** Time without progress after which an unread response gives way to new connections, ms. */
const MIN_UNREAD_MS = 5_000;

const LIMIT_BY_EVICTION = {
  [BODY_EVICTION.noRoom]: CLIENT_LIMIT.bodyMemory,
  [BODY_EVICTION.stalled]: CLIENT_LIMIT.bodyPause,
} as const;

/** A socket, or the address of its peer. */
type ConnectionKey = Socket | string;

/** An open connection; with TLS, `socket` is the one below. */
interface OpenConnection {
  readonly client: ClientConnection;
  readonly socket: Socket;
}

/** Dependencies of a bounded server. */
export interface BoundedServerParts {
  readonly clock: Clock;
  readonly limits: ServerLimits;
  readonly observer: LimitObserver;
}

/** Applies limits to a server. Disposing it ends the checks; connections stay open. */
export class BoundedServer implements Disposable {
  private readonly budget: BodyBudget;
  private readonly bodyParts: RequestBodyParts;
  private readonly counter: LimitCounter;
  private readonly connections = new Map<ConnectionKey, OpenConnection>();
  /** Connections without a request that is being served; longest first. */
  private readonly idle = new Set<ConnectionKey>();
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly server: Server | HttpsServer,
    private readonly onRequest: RequestHandler,
    private readonly parts: BoundedServerParts,
  ) {
    this.budget = new BodyBudget(parts.clock, parts.limits.maxHeldBytes);
    this.counter = new LimitCounter(parts.observer);
    this.bodyParts = {
      budget: this.budget,
      clock: parts.clock,
      onEvicted: (reason) => this.counter.record(LIMIT_BY_EVICTION[reason]),
      onSuspended: () => this.counter.record(CLIENT_LIMIT.bodyPieces),
    };
    server.on('connection', (socket: Socket) => this.accept(socket));
    server.on('request', this.receive);
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  /** What the clients hold now. */
  get usage(): ServerUsage {
    return {
      bodyBytes: this.budget.usedBytes,
      connections: this.connections.size,
    };
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
  }

  private accept(socket: Socket): void {
    if (!this.makeRoom()) {
      this.counter.record(CLIENT_LIMIT.newConnections);
      socket.destroy();
      return;
    }
    const key = this.keyOf(socket);
    const client = new ClientConnection({
      maxPipelinedRequests: this.parts.limits.maxPipelinedRequests,
      onBusyChange: (isBusy) => this.setBusy(key, isBusy),
      onOverrun: () => this.counter.record(CLIENT_LIMIT.pipelinedRequests),
      onRequest: this.onRequest,
    });
    this.connections.set(key, {client, socket});
    this.idle.add(key);
    socket.once('close', () => this.remove(key));
  }

  /** Identifies the connection of a socket, and of the TLS socket that wraps it. */
  private keyOf(socket: Socket): ConnectionKey {
    return this.server instanceof TlsServer
      ? `${socket.remoteAddress} ${socket.remotePort}`
      : socket;
  }

  /** Whether there is room for one more connection, if need be in place of another one. */
  private makeRoom(): boolean {
    const {maxConnections} = this.parts.limits;
    if (this.connections.size < maxConnections) {
      return true;
    }
    const [longestIdle] = this.idle;
    if (longestIdle !== undefined) {
      this.cut(longestIdle, CLIENT_LIMIT.idleConnections);
      return true;
    }
    const mayExceed =
      this.connections.size < maxConnections + MAX_ENDING_CONNECTIONS;
    return (
      (mayExceed && this.budget.evictSlowest()) || this.cutUnread(MIN_UNREAD_MS)
    );
  }

  /** Closes connections whose clients have not read a response for this time. */
  private cutUnread(unreadMs: number): boolean {
    const now = this.parts.clock.now();
    let hasCut = false;
    for (const [key, {client}] of this.connections) {
      if (client.unreadMs(now) >= unreadMs) {
        this.cut(key, CLIENT_LIMIT.unreadResponse);
        hasCut = true;
      }
    }
    return hasCut;
  }

  /** Closes a connection because of a limit. */
  private cut(key: ConnectionKey, limit: ClientLimit): void {
    const socket = this.connections.get(key)?.socket;
    this.counter.record(limit);
    this.remove(key);
    socket?.destroy();
  }

  private readonly receive: RequestListener = (incoming, response) => {
    const body = RequestBody.collect(incoming, this.bodyParts);
    const connection = this.connections.get(this.keyOf(incoming.socket));
    connection?.client.receive({body, incoming, response});
  };

  private setBusy(key: ConnectionKey, isBusy: boolean): void {
    if (isBusy) {
      this.idle.delete(key);
    } else if (this.connections.has(key)) {
      this.idle.add(key);
    }
  }

  private remove(key: ConnectionKey): void {
    this.connections.get(key)?.client.close();
    this.connections.delete(key);
    this.idle.delete(key);
  }

  private check(): void {
    const {limits} = this.parts;
    this.budget.evictStalled(limits.maxBodyPauseMs);
    this.cutUnread(limits.maxUnreadMs);
    this.counter.report(this.usage);
  }
}
