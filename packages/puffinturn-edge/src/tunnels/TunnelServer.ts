/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Carries tunnels to upstreams for edges that have lost their own links. The other edge
 * asks over the link between boxes; if the upstream can be reached, it gets a ticket, with
 * which it opens a connection here. This edge passes on bytes only: all decisions about the
 * request, its retries and its tokens stay with the edge that has the caller. An edge never
 * asks for a tunnel on behalf of another one, so a request takes at most one.
 */
import {randomBytes} from 'node:crypto';
import type {Server, Socket} from 'node:net';
import {connect, createServer} from 'node:net';

import {ResultAsync} from 'neverthrow';
import type {DecisionLog} from 'puffinturn-decisions';
import type {TunnelReply, TunnelRequest} from 'puffinturn-fleet';
import {FLEET_SERVICE, TUNNEL_OUTCOME} from 'puffinturn-fleet';
import type {Link} from 'puffinturn-wire';
import {describeError} from 'shared';

import type {HttpAddress, HttpListenFailure} from '../callers/HttpListener';
import {getConnectionState} from '../connections/ConnectionState';
import type {EndEvidence, ShutdownTiming} from '../connections/EndEvidence';
import {END_EVIDENCE, findEndEvidence} from '../connections/EndEvidence';
import {CONNECT_TIMEOUT_MS} from '../EdgeConstants';
import type {EdgeMetrics} from '../EdgeMetrics';
import type {EdgeUpstream} from '../upstreams/EdgeUpstream';
import type {UpstreamPool} from '../upstreams/UpstreamPool';
import {
  MAX_CARRIED_TUNNELS,
  TICKET_BYTES,
  TICKET_LIFETIME_MS,
} from './TunnelConstants';
import {END_FRAME, framePrefix} from './TunnelFrames';

/** Reasons for which an edge carries no tunnels at present. */
export type TunnelRefusal =
  | typeof TUNNEL_OUTCOME.cutOff
  | typeof TUNNEL_OUTCOME.overloaded
  | typeof TUNNEL_OUTCOME.stopping;

/** Dependencies of TunnelServer. */
export interface TunnelServerParts extends ShutdownTiming {
  readonly link: Link;
  readonly log: DecisionLog;
  readonly metrics: EdgeMetrics;
  readonly pool: UpstreamPool;
  /** Why this edge carries no further tunnels to a service; undefined if it does. */
  readonly refusal: (service: string) => TunnelRefusal | undefined;
}

/** A connection to an upstream that is to be joined with one of another edge. */
interface UpstreamConnection {
  readonly upstream: Socket;
  /** Checks whether the upstream has crashed after it ended the connection. */
  readonly findEndEvidence: () => Promise<EndEvidence>;
}

/** A connection to an upstream whose ticket was not used yet. */
interface Reservation extends UpstreamConnection {
  /** Closes the connection when the ticket expires. */
  readonly expiry: NodeJS.Timeout;
}

/** Listens for tunnels of other edges. Disposing it closes them all. */
export class TunnelServer implements AsyncDisposable {
  private readonly registration: Disposable;
  /** Connections to upstreams whose ticket was not used yet, by ticket. */
  private readonly reserved = new Map<string, Reservation>();
  private readonly sockets = new Set<Socket>();
  private carriedCount = 0;

  private constructor(
    private readonly parts: TunnelServerParts,
    private readonly server: Server,
    private readonly host: string,
  ) {
    this.registration = parts.link.register(
      FLEET_SERVICE.openTunnel,
      (body, from) => this.handleRequest(body as TunnelRequest, from),
    );
    server.on('connection', (socket) => this.acceptClient(socket));
  }

  /** Starts listening; fails if the address can't be used. */
  static open(
    {host, port}: HttpAddress,
    parts: TunnelServerParts,
  ): ResultAsync<TunnelServer, HttpListenFailure> {
    const server = createServer({noDelay: true});
    const listening = new Promise<TunnelServer>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () =>
        resolve(new TunnelServer(parts, server, host)),
      );
    });
    return ResultAsync.fromPromise(listening, (error) => ({
      kind: 'listen',
      message: `${host}:${port}: ${describeError(error)}`,
    }));
  }

  /** Tunnels carried at present, those whose ticket was not used yet included. */
  get openCount(): number {
    return this.carriedCount;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.registration[Symbol.dispose]();
    const closed = new Promise((resolve) => this.server.close(resolve));
    for (const socket of this.sockets) {
      socket.destroy();
    }
    await closed;
  }

  private async handleRequest(
    request: TunnelRequest,
    from: string,
  ): Promise<TunnelReply> {
    const {clock, log, metrics} = this.parts;
    const startedAt = clock.now();
    const reply = await this.openUpstream(request);
    const {outcome} = reply;
    log.note({
      event: 'tunnel-decided',
      outcome,
      peer: from,
      request: request.requestId,
      role: 'carries',
      tookMs: Math.round(clock.now() - startedAt),
      tunnels: this.carriedCount,
      upstream: request.upstreamId,
    });
    metrics.tunnels.inc({outcome, role: 'carries'});
    return reply;
  }

  private async openUpstream({
    address,
    upstreamId,
  }: TunnelRequest): Promise<TunnelReply> {
    const upstream = this.parts.pool.find(upstreamId);
    if (upstream?.record.address !== address || !upstream.isServing) {
      return {outcome: TUNNEL_OUTCOME.unknownUpstream};
    }
    const refusal = this.refusal(upstream.record.service);
    if (refusal !== undefined) {
      return {outcome: refusal};
    }
    this.carriedCount += 1;
    const socket = await this.connect(upstream);
    if (socket === undefined) {
      this.carriedCount -= 1;
      return {outcome: TUNNEL_OUTCOME.unreachable};
    }
    socket.once('close', () => (this.carriedCount -= 1));
    if (!upstream.isServing) {
      socket.destroy();
      return {outcome: TUNNEL_OUTCOME.unknownUpstream};
    }
    const connectedAt = this.parts.clock.now();
    const tunnel = this.reserve({
      findEndEvidence: () => this.findEndEvidence(upstream, connectedAt),
      upstream: socket,
    });
    return {outcome: TUNNEL_OUTCOME.open, tunnel};
  }

  /** Checks the end of a connection that was made at `connectedAt`, monotonic ms. */
  private findEndEvidence(
    upstream: EdgeUpstream,
    connectedAt: number,
  ): Promise<EndEvidence> {
    const {service} = upstream.record;
    return findEndEvidence(
      upstream,
      connectedAt,
      this.parts,
      () => this.parts.refusal(service) === TUNNEL_OUTCOME.cutOff,
    );
  }

  private refusal(service: string): TunnelRefusal | undefined {
    return this.carriedCount >= MAX_CARRIED_TUNNELS
      ? TUNNEL_OUTCOME.overloaded
      : this.parts.refusal(service);
  }

  /** Connects to an upstream; returns undefined on a failure or time-out. */
  private connect({host, port}: HttpAddress): Promise<Socket | undefined> {
    return new Promise((resolve) => {
      const socket = connect({host, keepAlive: true, noDelay: true, port});
      this.track(socket);
      socket.setTimeout(CONNECT_TIMEOUT_MS, () => socket.destroy());
      const onClose = (): void => resolve(undefined);
      socket.once('close', onClose);
      socket.once('connect', () => {
        socket.setTimeout(0);
        socket.off('close', onClose);
        resolve(socket);
      });
    });
  }

  private track(socket: Socket): void {
    this.sockets.add(socket);
    getConnectionState(socket);
    socket.once('close', () => this.sockets.delete(socket));
  }

  /** Keeps a connection to an upstream until its ticket is used or expires. */
  private reserve(connection: UpstreamConnection): TunnelReply['tunnel'] {
    const {upstream} = connection;
    const ticket = randomBytes(TICKET_BYTES);
    const key = ticket.toString('hex');
    const expiry = setTimeout(() => upstream.destroy(), TICKET_LIFETIME_MS);
    this.reserved.set(key, {...connection, expiry});
    upstream.once('close', () => this.takeReservation(key));
    const address = this.server.address();
    const port = typeof address === 'object' && address ? address.port : 0;
    return {host: this.host, port, ticket};
  }

  /** Reads the ticket of a new connection and joins it with its upstream. */
  private acceptClient(client: Socket): void {
    this.track(client);
    let received: Buffer = Buffer.alloc(0);
    client.setTimeout(TICKET_LIFETIME_MS, () => client.destroy());
    const onData = (chunk: Buffer): void => {
      received = Buffer.concat([received, chunk]);
      if (received.length >= TICKET_BYTES) {
        client.off('data', onData);
        client.setTimeout(0);
        this.join(client, received);
      }
    };
    client.on('data', onData);
  }

  /** Removes and returns a reservation; returns undefined if there is none. */
  private takeReservation(key: string): UpstreamConnection | undefined {
    const reservation = this.reserved.get(key);
    this.reserved.delete(key);
    clearTimeout(reservation?.expiry);
    return reservation;
  }

  private join(client: Socket, received: Buffer): void {
    const key = received.toString('hex', 0, TICKET_BYTES);
    const connection = this.takeReservation(key);
    if (connection === undefined) {
      client.destroy();
    } else {
      joinSockets(client, connection, received.subarray(TICKET_BYTES));
    }
  }
}

/**
 * Passes bytes between the connection of another edge and that of an upstream, until one
 * of them ends. Only the end of the upstream's connection may be orderly, and only if the
 * upstream still listens.
 */
function joinSockets(
  client: Socket,
  {findEndEvidence: findEvidence, upstream}: UpstreamConnection,
  first: Buffer,
): void {
  let hasEndedInOrder = false;
  upstream.write(first);
  client.pipe(upstream, {end: false});
  upstream.on('data', (chunk: Buffer) => {
    client.cork();
    client.write(framePrefix(chunk.length));
    const mayContinue = client.write(chunk);
    client.uncork();
    if (!mayContinue) {
      upstream.pause();
    }
  });
  client.on('drain', () => upstream.resume());
  upstream.once('end', () => {
    hasEndedInOrder = !getConnectionState(upstream).hasFailed;
    if (hasEndedInOrder) {
      void endClient(client, findEvidence());
    }
  });
  upstream.once('close', () => {
    if (!hasEndedInOrder) {
      client.destroy();
    }
  });
  client.once('end', () => upstream.destroy());
  client.once('close', () => upstream.destroy());
}

/** Ends the connection of another edge; in order only if the upstream still listens. */
async function endClient(
  client: Socket,
  check: Promise<EndEvidence>,
): Promise<void> {
  if ((await check) === END_EVIDENCE.listening) {
    client.end(END_FRAME);
    client.destroySoon();
  } else {
    client.destroy();
  }
}
