/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The connections to one upstream. Idle ones are used again, the one that was
 * used last first, so that the others can end.
 */
import type {Clock} from 'shared';

import {IDLE_CONNECTION_MS} from '../EdgeConstants';
import type {ConnectionKeeper} from './HttpConnection';
import {HttpConnection} from './HttpConnection';

/** What is needed to connect, and how many connections stay. */
export interface ConnectionPoolParts {
  readonly host: string;
  readonly port: number;
  readonly clock: Clock;
  /** Idle connections at most. */
  readonly maxIdle: number;
}

/** A connection that waits for a request. */
interface IdleConnection {
  readonly connection: HttpConnection;
  /** When it ends, monotonic ms. */
  readonly endsAt: number;
}

/**
 * Time by which an idle connection ends before the upstream ends it, ms: a request
 * that crosses the upstream's close may have run.
 */
const END_BEFORE_MS = 200;

/** How often idle connections are looked through, ms. */
const SWEEP_MS = 1_000;

/** See the module comment. Disposing it ends all connections at once. */
export class ConnectionPool implements ConnectionKeeper, Disposable {
  private readonly all = new Set<HttpConnection>();
  private idle: IdleConnection[] = [];
  private timer: NodeJS.Timeout | undefined;
  private retired = false;

  constructor(private readonly parts: ConnectionPoolParts) {}

  /** A connection for one request, an idle one if there is any. */
  take(): HttpConnection {
    const now = this.parts.clock.now();
    for (;;) {
      const last = this.idle.pop();
      if (last === undefined) {
        return this.open();
      }
      if (last.endsAt > now && last.connection.usable) {
        return last.connection;
      }
      last.connection[Symbol.dispose]();
    }
  }

  takeBack(connection: HttpConnection, idleMs: number | undefined): boolean {
    const kept = Math.min(
      IDLE_CONNECTION_MS,
      idleMs === undefined ? Infinity : idleMs - END_BEFORE_MS,
    );
    if (this.retired || this.idle.length >= this.parts.maxIdle || kept <= 0) {
      return false;
    }
    const endsAt = this.parts.clock.now() + kept;
    this.idle.push({connection, endsAt});
    this.sweepLater();
    return true;
  }

  forget(connection: HttpConnection): void {
    this.all.delete(connection);
    const at = this.idle.findIndex((entry) => entry.connection === connection);
    if (at >= 0) {
      this.idle.splice(at, 1);
    }
  }

  /** Ends idle connections; others are opened when they are needed. */
  dropIdle(): void {
    this.endIdle(() => true);
  }

  /** Ends idle connections for good; open requests go on to their end. */
  retire(): void {
    this.retired = true;
    this.dropIdle();
  }

  [Symbol.dispose](): void {
    this.retire();
    for (const connection of this.all) {
      connection[Symbol.dispose]();
    }
  }

  private open(): HttpConnection {
    const {host, port} = this.parts;
    const connection = new HttpConnection(host, port, this);
    this.all.add(connection);
    return connection;
  }

  private sweep(): void {
    this.timer = undefined;
    const now = this.parts.clock.now();
    this.endIdle(({endsAt}) => endsAt <= now);
    if (this.idle.length > 0) {
      this.sweepLater();
    }
  }

  private sweepLater(): void {
    this.timer ??= setTimeout(() => this.sweep(), SWEEP_MS).unref();
  }

  private endIdle(isDue: (entry: IdleConnection) => boolean): void {
    const due = this.idle.filter(isDue);
    this.idle = this.idle.filter((entry) => !isDue(entry));
    for (const {connection} of due) {
      connection[Symbol.dispose]();
    }
    if (this.idle.length === 0) {
      clearTimeout(this.timer);
      this.timer = undefined;
    }
  }
}
