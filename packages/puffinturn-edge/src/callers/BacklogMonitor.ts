/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Measures the listen queue of a server with an AcceptBacklog. */
import type {Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {connect} from 'node:net';

import type {Clock} from 'shared';

import type {AcceptedConnection, BacklogProbe} from './AcceptBacklog';
import {AcceptBacklog, PROBE_INTERVAL_MS} from './AcceptBacklog';
import type {ConnectionShedding} from './ConnectionShedding';

/** Interval at which the event loop is sampled while no connections arrive, ms. */
const CHECK_INTERVAL_MS = 50;

/** Maximum number of probes waiting to be accepted. */
const MAX_PENDING_PROBES = 64;

/** A probe whose connection was not accepted yet. */
interface PendingProbe {
  readonly probe: BacklogProbe;
  readonly socket: Socket;
}

/** Observes connections and event loop iterations, and sends probes under load. */
export class BacklogMonitor implements Disposable {
  private readonly backlog: AcceptBacklog;
  private readonly acceptedConnections = new WeakMap<
    Socket,
    AcceptedConnection
  >();
  /** Oldest first. */
  private pendingProbes: readonly PendingProbe[] = [];
  private lastProbeAt = -Infinity;
  private readonly timer: NodeJS.Timeout;
  private isCheckScheduled = false;

  constructor(
    private readonly server: Server,
    private readonly clock: Clock,
    /** Called with the queue age, ms, after each observed iteration. */
    private readonly onQueueAge: (queueAgeMs: number) => void,
    /** Decides which connections are closed unread; undefined to read all. */
    private readonly shedding?: ConnectionShedding,
  ) {
    this.backlog = new AcceptBacklog(clock);
    server.on('connection', this.handleConnection);
    this.timer = setInterval(() => this.scheduleCheck(), CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  /** Upper bound of the waiting time of a connection accepted now, ms. */
  get queueAgeMs(): number {
    return this.backlog.queueAgeMs;
  }

  /** Estimates when a request arrived, monotonic ms. Call once for each request. */
  estimateArrival(socket: Socket): number {
    const accepted = this.acceptedConnections.get(socket);
    this.acceptedConnections.delete(socket);
    return this.backlog.estimateArrival(accepted);
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
    this.server.off('connection', this.handleConnection);
    for (const {socket} of this.pendingProbes) {
      socket.destroy();
    }
  }

  private readonly handleConnection = (socket: Socket): void => {
    const pending = this.pendingProbes.find(
      (candidate) =>
        socket.remotePort !== undefined &&
        candidate.socket.localPort === socket.remotePort &&
        candidate.socket.localAddress === socket.remoteAddress,
    );
    if (pending === undefined) {
      this.acceptCaller(socket);
    } else {
      this.backlog.recordProbeAccept(pending.probe);
      socket.destroy();
      this.removeProbe(pending);
    }
    this.scheduleCheck();
  };

  private acceptCaller(socket: Socket): void {
    const accepted = this.backlog.recordAccept();
    if (this.shedding?.isActive === true) {
      this.shedding.recordClosed(this.clock.now());
      socket.resetAndDestroy();
    } else {
      this.acceptedConnections.set(socket, accepted);
    }
  }

  /** Observes iterations until one accepts no connection. */
  private scheduleCheck(): void {
    if (!this.isCheckScheduled) {
      this.isCheckScheduled = true;
      setImmediate(() => this.endIteration());
    }
  }

  private endIteration(): void {
    this.isCheckScheduled = false;
    if (this.backlog.endIteration()) {
      this.scheduleCheck();
    }
    this.shedding?.update(this.queueAgeMs, this.clock.now());
    this.onQueueAge(this.queueAgeMs);
    const isWithinInterval =
      this.clock.now() - this.lastProbeAt < PROBE_INTERVAL_MS;
    if (
      this.queueAgeMs > 0 &&
      !isWithinInterval &&
      this.pendingProbes.length < MAX_PENDING_PROBES
    ) {
      this.sendProbe();
    }
  }

  private sendProbe(): void {
    const address = this.server.address() as AddressInfo | null;
    if (address === null) {
      return;
    }
    this.lastProbeAt = this.clock.now();
    const probe = this.backlog.startProbe();
    const socket = connect({host: address.address, port: address.port});
    const pending = {probe, socket};
    socket.on('error', () => undefined);
    socket.on('close', () => this.removeProbe(pending));
    this.pendingProbes = [...this.pendingProbes, pending];
  }

  private removeProbe(pending: PendingProbe): void {
    pending.socket.destroy();
    this.pendingProbes = this.pendingProbes.filter(
      (other) => other !== pending,
    );
  }
}
