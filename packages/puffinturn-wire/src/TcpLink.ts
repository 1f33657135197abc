/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Calls between boxes over TCP or TLS. Each box opens one connection per peer for
 * its own calls and accepts separate connections for the calls of its peers.
 */
import type {KeyObject} from 'node:crypto';
import type {Server, Socket} from 'node:net';
import {connect as dialTcp, createServer} from 'node:net';
import type {SecureContextOptions} from 'node:tls';
import {connect as dialTls, createServer as createTlsServer} from 'node:tls';

import type {ResultAsync} from 'neverthrow';
import {err, errAsync, ok, ResultAsync as Async} from 'neverthrow';
import type {Clock, Failure} from 'shared';
import {describeError, resolveWithin} from 'shared';

import {Connection} from './Connection';
import type {LinkFailure} from './Link';
import {Link} from './Link';
import {
  CONNECT_TIMEOUT_MS,
  KEEP_ALIVE_DELAY_MS,
  MAX_IN_FLIGHT_CALLS,
  MAX_QUEUED_BYTES,
  SUSPECT_AFTER_QUIET_MS,
} from './WireConstants';

/** An IP address and port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Keys and certificates for TLS between boxes. */
export type LinkTls = Pick<SecureContextOptions, 'ca' | 'cert' | 'key'>;

/** Dependencies of a TcpLink. */
export interface TcpLinkParts {
  readonly box: string;
  readonly listen: Address;
  readonly clock: Clock;
  /** Authentication key shared by all boxes of the fleet. */
  readonly key: KeyObject;
  /** Returns the address of a box, or undefined if it is unknown. */
  readonly addressOf: (box: string) => Address | undefined;
  readonly tls?: LinkTls | undefined;
}

/** The server could not listen on its address. */
export type ListenFailure = Failure<'listen'>;

interface CallFrame {
  readonly id: number;
  readonly service: string;
  readonly body: unknown;
}

interface ResponseFrame {
  readonly id: number;
  readonly body?: unknown;
  readonly failure?: string;
}

/** Whether a value is a frame of a call or its response; others close the connection. */
function hasCallId(frame: unknown): frame is {readonly id: number} {
  return (
    typeof frame === 'object' &&
    frame !== null &&
    'id' in frame &&
    typeof frame.id === 'number'
  );
}

function isCallFrame(frame: unknown): frame is CallFrame {
  return (
    hasCallId(frame) && 'service' in frame && typeof frame.service === 'string'
  );
}

type CompleteCall = (frame: ResponseFrame | undefined) => void;

interface PeerConnection {
  readonly connection: Connection;
  readonly pendingCalls: Map<number, CompleteCall>;
  /** Whether it is closed as soon as no call is in flight. */
  isRetired: boolean;
}

/** A connection that is being opened, or has been. */
interface Dial {
  readonly connected: Promise<PeerConnection | undefined>;
  readonly startedAt: number;
}

function notSent(message: string): LinkFailure {
  return {kind: 'not-sent', message};
}

/** A Link over TCP, or over TLS if it is configured. */
export class TcpLink extends Link implements AsyncDisposable {
  /** The latest dial to each box; its connection is used by further calls. */
  private readonly dials = new Map<string, Dial>();
  /** The connection of each box for further calls, once it is open. */
  private readonly openConnections = new Map<string, PeerConnection>();
  private readonly sockets = new Set<Socket>();
  private readonly connections = new Set<Connection>();
  /** Bytes sent over connections that are now closed, by peer. */
  private readonly closedConnectionBytes = new Map<string, number>();
  private lastCallId = 1;
  private isDisposed = false;

  private constructor(
    private readonly parts: TcpLinkParts,
    private readonly server: Server,
  ) {
    super();
  }

  /** Starts listening; resolves when calls can be received. */
  static open(parts: TcpLinkParts): ResultAsync<TcpLink, ListenFailure> {
    const server =
      parts.tls === undefined
        ? createServer()
        : createTlsServer({
            ...parts.tls,
            rejectUnauthorized: true,
            requestCert: true,
          });
    const link = new TcpLink(parts, server);
    const event = parts.tls === undefined ? 'connection' : 'secureConnection';
    server.on(event, (socket: Socket) => void link.serveConnection(socket));
    const listening = new Promise<TcpLink>((resolve, reject) => {
      server.once('error', reject);
      server.listen(parts.listen.port, parts.listen.host, () => resolve(link));
    });
    return Async.fromPromise(listening, (error) => ({
      kind: 'listen',
      message: describeError(error),
    }));
  }

  /** The listening port, or 0 if the server is not listening. */
  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  override call(
    box: string,
    service: string,
    body: unknown,
    timeoutMs: number,
  ): ResultAsync<unknown, LinkFailure> {
    if (this.isDisposed) {
      return errAsync(notSent('link is closed'));
    }
    if (box === this.parts.box) {
      return this.callLocal(service, body);
    }
    return new Async(this.callPeer(box, service, body, timeoutMs));
  }

  override bytesSentByPeer(): ReadonlyMap<string, number> {
    const sent = new Map(this.closedConnectionBytes);
    for (const connection of this.connections) {
      addBytesSent(sent, connection);
    }
    return sent;
  }

  override isReceiving(box: string, quietMs: number): boolean {
    const peerConnection = this.openConnections.get(box);
    return (
      peerConnection !== undefined &&
      peerConnection.connection.hasPartialFrame &&
      !this.isQuiet(peerConnection, quietMs)
    );
  }

  override renewConnection(box: string, quietMs: number): void {
    const peerConnection = this.openConnections.get(box);
    if (peerConnection === undefined) {
      this.abandonDial(box, quietMs);
    } else if (this.isQuiet(peerConnection, quietMs)) {
      this.retireConnection(box, peerConnection);
    }
  }

  override resetConnections(): void {
    for (const [box, {connected}] of this.dials) {
      void connected.then(
        (peerConnection) =>
          peerConnection && this.closeConnection(box, peerConnection),
      );
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isDisposed = true;
    const closed = new Promise((resolve) => this.server.close(resolve));
    for (const socket of this.sockets) {
      socket.destroy();
    }
    await closed;
  }

  private callLocal(
    service: string,
    body: unknown,
  ): ResultAsync<unknown, LinkFailure> {
    const result = this.dispatch(service, body, this.parts.box);
    return result === undefined
      ? errAsync(notSent(`no handler is registered for service ${service}`))
      : Async.fromPromise(result, (error) => ({
          kind: 'peer-failed',
          message: describeError(error),
        }));
  }

  private async callPeer(
    box: string,
    service: string,
    body: unknown,
    timeoutMs: number,
  ) {
    const startedAt = this.parts.clock.now();
    const peerConnection = await resolveWithin(
      this.parts.clock,
      this.connectionTo(box),
      timeoutMs,
    );
    if (peerConnection === undefined) {
      return err<unknown, LinkFailure>(notSent(`cannot connect to ${box}`));
    }
    const {connection, pendingCalls} = peerConnection;
    const isOverloaded =
      pendingCalls.size >= MAX_IN_FLIGHT_CALLS ||
      connection.queuedBytes > MAX_QUEUED_BYTES;
    if (isOverloaded) {
      return err<unknown, LinkFailure>(
        notSent(`too many calls or bytes are queued for ${box}`),
      );
    }
    this.lastCallId += 1;
    const id = this.lastCallId;
    const response = new Promise<ResponseFrame | undefined>((resolve) =>
      pendingCalls.set(id, resolve),
    );
    const sent = connection.send({body, id, service} satisfies CallFrame);
    if (sent.isErr()) {
      pendingCalls.delete(id);
      return err<unknown, LinkFailure>(notSent(sent.error.message));
    }
    const calledAt = this.parts.clock.now();
    const timer = setTimeout(
      () => {
        this.replaceIfSilent(box, peerConnection, calledAt);
        pendingCalls.get(id)?.(undefined);
      },
      startedAt + timeoutMs - calledAt,
    );
    const frame = await response;
    clearTimeout(timer);
    pendingCalls.delete(id);
    this.closeIfUnused(peerConnection);
    return toCallResult(box, frame);
  }

  /**
   * Replaces a connection on which a call had no reply, as TCP may take long to notice that
   * it is dead. It is closed if nothing came since the call, and otherwise, if it has been
   * quiet since then, left to the calls in flight. Over a full link, a reply that is still
   * being received shows that the connection works.
   */
  private replaceIfSilent(
    box: string,
    peerConnection: PeerConnection,
    calledAt: number,
  ): void {
    if (peerConnection.connection.lastReadAt <= calledAt) {
      this.closeConnection(box, peerConnection);
    } else if (this.isQuiet(peerConnection, SUSPECT_AFTER_QUIET_MS)) {
      this.retireConnection(box, peerConnection);
    }
  }

  private isQuiet({connection}: PeerConnection, ms: number): boolean {
    return this.parts.clock.now() - connection.lastReadAt >= ms;
  }

  /** Leaves a dial that takes long to the calls that wait for it; the next call dials anew. */
  private abandonDial(box: string, ms: number): void {
    const dial = this.dials.get(box);
    if (dial !== undefined && this.parts.clock.now() - dial.startedAt >= ms) {
      this.dials.delete(box);
    }
  }

  /** Leaves a connection to the calls in flight; the next call to the box reconnects. */
  private retireConnection(box: string, peerConnection: PeerConnection): void {
    peerConnection.isRetired = true;
    this.forgetConnection(box, peerConnection);
    this.closeIfUnused(peerConnection);
  }

  private closeIfUnused({
    connection,
    isRetired,
    pendingCalls,
  }: PeerConnection): void {
    if (isRetired && pendingCalls.size === 0) {
      connection.socket.destroy();
    }
  }

  /** Closes a connection; the next call to the box reconnects. */
  private closeConnection(box: string, peerConnection: PeerConnection): void {
    peerConnection.connection.socket.destroy();
    this.forgetConnection(box, peerConnection);
  }

  private forgetConnection(box: string, peerConnection: PeerConnection): void {
    if (this.openConnections.get(box) === peerConnection) {
      this.openConnections.delete(box);
      this.dials.delete(box);
    }
  }

  private connectionTo(box: string): Promise<PeerConnection | undefined> {
    const existing = this.dials.get(box);
    if (existing !== undefined) {
      return existing.connected;
    }
    const connected = this.dial(box);
    const dial = {connected, startedAt: this.parts.clock.now()};
    this.dials.set(box, dial);
    void connected.then((peerConnection) =>
      this.finishDial(box, dial, peerConnection),
    );
    return connected;
  }

  private finishDial(
    box: string,
    dial: Dial,
    peerConnection: PeerConnection | undefined,
  ): void {
    const isLatest = this.dials.get(box) === dial;
    if (peerConnection === undefined) {
      if (isLatest) {
        this.dials.delete(box);
      }
      return;
    }
    if (isLatest) {
      this.openConnections.set(box, peerConnection);
    } else {
      peerConnection.isRetired = true;
      // The calls that waited for it are sent first.
      setImmediate(() => this.closeIfUnused(peerConnection));
    }
    void this.readResponses(box, peerConnection);
  }

  private async dial(box: string): Promise<PeerConnection | undefined> {
    const address = this.parts.addressOf(box);
    if (address === undefined) {
      return undefined;
    }
    const {tls} = this.parts;
    const socket =
      tls === undefined
        ? dialTcp(address.port, address.host)
        : dialTls({
            ...tls,
            ...address,
            // Addresses are IP addresses; the handshake authenticates the name.
            checkServerIdentity: () => undefined,
          });
    const connection = this.trackConnection(socket);
    const isAuthenticated = await connection.authenticate(
      this.parts.box,
      this.parts.key,
      'caller',
    );
    socket.setTimeout(0);
    if (!isAuthenticated || connection.peer !== box) {
      socket.destroy();
      return undefined;
    }
    return {
      connection,
      pendingCalls: new Map(),
      isRetired: false,
    };
  }

  private trackConnection(socket: Socket): Connection {
    this.sockets.add(socket);
    const connection = new Connection(socket, this.parts.clock);
    this.connections.add(connection);
    socket.on('close', () => {
      this.sockets.delete(socket);
      this.connections.delete(connection);
      addBytesSent(this.closedConnectionBytes, connection);
    });
    socket.on('error', () => socket.destroy());
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => socket.destroy());
    // The accepting side sends no calls that would detect a dead connection.
    socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
    return connection;
  }

  private async readResponses(
    box: string,
    peerConnection: PeerConnection,
  ): Promise<void> {
    const {connection, pendingCalls} = peerConnection;
    for (;;) {
      const frame = await connection.receive();
      if (!hasCallId(frame)) {
        break;
      }
      pendingCalls.get(frame.id)?.(frame);
    }
    this.closeConnection(box, peerConnection);
    for (const complete of [...pendingCalls.values()]) {
      complete(undefined);
    }
  }

  private async serveConnection(socket: Socket): Promise<void> {
    const connection = this.trackConnection(socket);
    const {box, key} = this.parts;
    if (!(await connection.authenticate(box, key, 'callee'))) {
      return;
    }
    socket.setTimeout(0);
    for (;;) {
      const frame = await connection.receive();
      if (!isCallFrame(frame)) {
        break;
      }
      void this.respond(connection, frame);
    }
    socket.destroy();
  }

  private async respond(
    connection: Connection,
    frame: CallFrame,
  ): Promise<void> {
    const {id, service, body} = frame;
    const running = this.dispatch(service, body, connection.peer);
    const response: ResponseFrame = await (
      running ?? Promise.reject(new Error(`no service ${service}`))
    ).then(
      (value) => ({body: value, id}),
      (error) => ({failure: describeError(error), id}),
    );
    const sent = connection.send(response);
    if (sent.isErr()) {
      connection.send({failure: sent.error.message, id});
    }
  }
}

/** Adds the bytes sent over a connection, unless its peer is unauthenticated. */
function addBytesSent(
  bytesByPeer: Map<string, number>,
  {peer, socket}: Connection,
): void {
  if (peer !== '') {
    bytesByPeer.set(peer, (bytesByPeer.get(peer) ?? 0) + socket.bytesWritten);
  }
}

function toCallResult(box: string, frame: ResponseFrame | undefined) {
  if (frame === undefined) {
    const message = `${box} did not respond`;
    return err<unknown, LinkFailure>({kind: 'no-answer', message});
  }
  if (frame.failure !== undefined) {
    const {failure: message} = frame;
    return err<unknown, LinkFailure>({kind: 'peer-failed', message});
  }
  return ok<unknown, LinkFailure>(frame.body);
}
