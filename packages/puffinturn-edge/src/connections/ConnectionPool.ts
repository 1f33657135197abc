/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Connection pool of one upstream. The most recently used idle connection is reused
 * first, so that surplus connections expire.
 */
import type {TunnelAddress} from 'puffinturn-fleet';
import type {ListenerState} from 'puffinturn-quarantine';
import {LISTENER_STATE, listenerStateOf} from 'puffinturn-quarantine';
import type {Clock, ReadLoad} from 'shared';

import {IDLE_CONNECTION_TIMEOUT_MS} from '../EdgeConstants';
import type {ConnectionOwner, ConnectionRoute} from './HttpConnection';
import {HttpConnection} from './HttpConnection';

/** Address, clock and size limit of a pool. */
export interface ConnectionPoolParts {
  readonly host: string;
  readonly port: number;
  readonly clock: Clock;
  /** Maximum number of idle connections. */
  readonly maxIdle: number;
  /** Called when the bytes of a connection cost too much work. */
  readonly onCostlyReads: (load: ReadLoad) => void;
}

/** A connection without an open request. */
interface IdleConnection {
  readonly connection: HttpConnection;
  /** When the connection is closed, monotonic ms. */
  readonly expiresAt: number;
}

/**
 * Idle connections are closed this long before the upstream's keep-alive timeout, ms.
 * A request sent while the upstream closes may have run, so a retry would not be safe.
 */
const KEEP_ALIVE_MARGIN_MS = 200;

/** Interval for closing expired idle connections, ms. */
const SWEEP_INTERVAL_MS = 1_000;

/** Time-out of a probe, ms; several round trips between regions. */
const PROBE_TIMEOUT_MS = 500;

/** Time for which a connection must last to show that the upstream listens, ms. */
const PROBE_HOLD_MS = 25;

/** Keeps idle connections for reuse. Disposing it closes all connections. */
export class ConnectionPool implements ConnectionOwner, Disposable {
  private readonly connections = new Set<HttpConnection>();
  private idle: IdleConnection[] = [];
  private sweepTimer: NodeJS.Timeout | undefined;
  private isDraining = false;
  private reads = 0;

  constructor(private readonly parts: ConnectionPoolParts) {}

  /** Returns a connection for one request: an idle one if possible, or a new one. */
  acquire(): HttpConnection {
    const now = this.parts.clock.now();
    for (;;) {
      const newest = this.idle.pop();
      if (newest === undefined) {
        return this.createConnection();
      }
      if (newest.expiresAt > now && newest.connection.isUsable) {
        return newest.connection;
      }
      newest.connection[Symbol.dispose]();
    }
  }

  /**
   * Connects to learn whether the upstream listens, and keeps the connection for the next
   * request. A process that ends may close its connections before its listener and then
   * breaks new ones, so after a connection that broke at once the next attempt decides.
   */
  async probe(): Promise<ListenerState> {
    const state = (await this.tryConnect()) ?? (await this.tryConnect());
    return state ?? LISTENER_STATE.unknown;
  }

  /** Undefined if the connection was established and broke at once. */
  private tryConnect(): Promise<ListenerState | undefined> {
    const connection = this.createConnection();
    const {socket} = connection;
    let failureState: ListenerState | undefined = LISTENER_STATE.unknown;
    return new Promise((resolve) => {
      // If this edge was delayed, a connection that is established is seen only now.
      const onTimeout = (): void => {
        if (socket.connecting) {
          socket.destroy();
        }
      };
      let timer = setTimeout(() => setImmediate(onTimeout), PROBE_TIMEOUT_MS);
      const keep = (): void => {
        resolve(LISTENER_STATE.listening);
        if (!this.release(connection, undefined)) {
          connection[Symbol.dispose]();
        }
      };
      socket.once('error', (error: NodeJS.ErrnoException) => {
        const isBroken = error.code === 'ECONNRESET';
        failureState = isBroken ? undefined : listenerStateOf(error);
      });
      socket.once('connect', () => {
        failureState = undefined;
        clearTimeout(timer);
        timer = setTimeout(keep, PROBE_HOLD_MS);
      });
      socket.once('close', () => {
        clearTimeout(timer);
        resolve(failureState);
      });
    });
  }

  /** Number of reads over direct connections. */
  get readCount(): number {
    return this.reads;
  }

  /** Whether an idle connection can be reused. */
  get hasIdle(): boolean {
    const now = this.parts.clock.now();
    return this.idle.some(
      ({connection, expiresAt}) => expiresAt > now && connection.isUsable,
    );
  }

  /** Opens a connection through another edge, for one request. */
  openTunnel(tunnel: TunnelAddress, onClose: () => void): HttpConnection {
    const connection = this.createConnection(tunnel);
    connection.socket.once('close', onClose);
    return connection;
  }

  release(
    connection: HttpConnection,
    keepAliveMs: number | undefined,
  ): boolean {
    const idleLimitMs = Math.min(
      IDLE_CONNECTION_TIMEOUT_MS,
      keepAliveMs === undefined ? Infinity : keepAliveMs - KEEP_ALIVE_MARGIN_MS,
    );
    if (
      this.isDraining ||
      this.idle.length >= this.parts.maxIdle ||
      idleLimitMs <= 0
    ) {
      return false;
    }
    const expiresAt = this.parts.clock.now() + idleLimitMs;
    this.idle.push({connection, expiresAt});
    this.scheduleSweep();
    return true;
  }

  recordRead(): void {
    this.reads += 1;
  }

  recordCostlyReads(load: ReadLoad): void {
    this.parts.onCostlyReads(load);
  }

  remove(connection: HttpConnection): void {
    this.connections.delete(connection);
    const index = this.idle.findIndex(
      (entry) => entry.connection === connection,
    );
    if (index >= 0) {
      this.idle.splice(index, 1);
    }
  }

  /** Closes all idle connections. New ones are opened on demand. */
  closeIdle(): void {
    this.closeIdleWhere(() => true);
  }

  /** Closes idle connections and keeps no more; open requests can finish. */
  drain(): void {
    this.isDraining = true;
    this.closeIdle();
  }

  [Symbol.dispose](): void {
    this.drain();
    for (const connection of this.connections) {
      connection[Symbol.dispose]();
    }
  }

  private createConnection(
    route: ConnectionRoute = this.parts,
  ): HttpConnection {
    const connection = new HttpConnection(route, this);
    this.connections.add(connection);
    return connection;
  }

  private closeExpired(): void {
    this.sweepTimer = undefined;
    const now = this.parts.clock.now();
    this.closeIdleWhere(({expiresAt}) => expiresAt <= now);
    if (this.idle.length > 0) {
      this.scheduleSweep();
    }
  }

  private scheduleSweep(): void {
    this.sweepTimer ??= setTimeout(
      () => this.closeExpired(),
      SWEEP_INTERVAL_MS,
    ).unref();
  }

  private closeIdleWhere(
    shouldClose: (entry: IdleConnection) => boolean,
  ): void {
    const closing = this.idle.filter(shouldClose);
    this.idle = this.idle.filter((entry) => !shouldClose(entry));
    for (const {connection} of closing) {
      connection[Symbol.dispose]();
    }
    if (this.idle.length === 0) {
      clearTimeout(this.sweepTimer);
      this.sweepTimer = undefined;
    }
  }
}
