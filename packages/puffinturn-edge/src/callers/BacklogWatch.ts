/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Feeds an AcceptBacklog from a listening server: its connections, the turns of
 * the event loop, and marks while it is behind.
 */
import type {Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {connect} from 'node:net';

import type {Clock} from 'shared';

import type {Arrival, BacklogMark} from './AcceptBacklog';
import {AcceptBacklog, MARK_EVERY_MS} from './AcceptBacklog';

/** How often the loop is looked at where no connection calls for it, ms. */
const LOOK_MS = 50;

/** Marks that wait at a time; more would say nothing new of so long a queue. */
const MAX_MARKS = 64;

/** A mark and its connection. */
interface MadeMark {
  readonly mark: BacklogMark;
  readonly socket: Socket;
}

/** See the module comment. */
export class BacklogWatch implements Disposable {
  private readonly backlog: AcceptBacklog;
  private readonly arrivals = new WeakMap<Socket, Arrival>();
  /** Those that were not accepted yet, the oldest first. */
  private marks: readonly MadeMark[] = [];
  private markedAt = -Infinity;
  private readonly timer: NodeJS.Timeout;
  private looking = false;

  constructor(
    private readonly server: Server,
    private readonly clock: Clock,
    /** Told the greatest age after each turn that is looked at. */
    private readonly observe: (ageMs: number) => void,
  ) {
    this.backlog = new AcceptBacklog(clock);
    server.on('connection', this.accept);
    this.timer = setInterval(() => this.look(), LOOK_MS);
    this.timer.unref();
  }

  /** The greatest age of a connection that would be accepted now, ms. */
  get ageMs(): number {
    return this.backlog.ageMs;
  }

  /** When a request that is read now presumably came; asked once a request. */
  arrivalOf(socket: Socket): number {
    const arrival = this.arrivals.get(socket);
    this.arrivals.delete(socket);
    return this.backlog.arrivalOf(arrival);
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
    this.server.off('connection', this.accept);
    for (const {socket} of this.marks) {
      socket.destroy();
    }
  }

  private readonly accept = (socket: Socket): void => {
    const made = this.marks.find(
      (mark) =>
        socket.remotePort !== undefined &&
        mark.socket.localPort === socket.remotePort &&
        mark.socket.localAddress === socket.remoteAddress,
    );
    if (made === undefined) {
      this.arrivals.set(socket, this.backlog.accepted());
    } else {
      this.backlog.acceptedMark(made.mark);
      socket.destroy();
      this.forget(made);
    }
    this.look();
  };

  /** Looks at turns until one has brought no connection. */
  private look(): void {
    if (!this.looking) {
      this.looking = true;
      setImmediate(() => this.turned());
    }
  }

  private turned(): void {
    this.looking = false;
    if (this.backlog.turned()) {
      this.look();
    }
    this.observe(this.ageMs);
    const pausing = this.clock.now() - this.markedAt < MARK_EVERY_MS;
    if (this.ageMs > 0 && !pausing && this.marks.length < MAX_MARKS) {
      this.makeMark();
    }
  }

  private makeMark(): void {
    const address = this.server.address() as AddressInfo | null;
    if (address === null) {
      return;
    }
    this.markedAt = this.clock.now();
    const mark = this.backlog.mark();
    const socket = connect({host: address.address, port: address.port});
    const made = {mark, socket};
    socket.on('error', () => undefined);
    socket.on('close', () => this.forget(made));
    this.marks = [...this.marks, made];
  }

  private forget(made: MadeMark): void {
    made.socket.destroy();
    this.marks = this.marks.filter((other) => other !== made);
  }
}
