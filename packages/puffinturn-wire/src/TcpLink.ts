/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Calls between boxes over TCP or TLS. This box dials each peer once and uses
 * that connection for its own calls; peers dial back for theirs.
 */
import type {KeyObject} from 'node:crypto';
import type {Server, Socket} from 'node:net';
import {connect as dialTcp, createServer} from 'node:net';
import type {SecureContextOptions} from 'node:tls';
import {connect as dialTls, createServer as createTlsServer} from 'node:tls';

import type {ResultAsync} from 'neverthrow';
import {err, errAsync, ok, ResultAsync as Async} from 'neverthrow';
import type {Clock, Failure} from 'shared';
import {describeError} from 'shared';

import {Connection} from './Connection';
import type {LinkFailure} from './Link';
import {Link} from './Link';
import {
  CONNECT_MS,
  KEEP_ALIVE_MS,
  MAX_OPEN_CALLS,
  MAX_QUEUED_BYTES,
} from './WireConstants';

/** An IP address and port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Keys and certificates for TLS between boxes. */
export type LinkTls = Pick<SecureContextOptions, 'ca' | 'cert' | 'key'>;

/** What a TcpLink needs. */
export interface TcpLinkParts {
  readonly box: string;
  readonly listen: Address;
  readonly clock: Clock;
  /** The key that all boxes of the fleet share. */
  readonly key: KeyObject;
  /** The address of a box, or undefined for one that is not known. */
  readonly addressOf: (box: string) => Address | undefined;
  readonly tls?: LinkTls | undefined;
}

/** The listening address could not be had. */
export type ListenFailure = Failure<'listen'>;

interface CallFrame {
  readonly id: number;
  readonly service: string;
  readonly body: unknown;
}

interface AnswerFrame {
  readonly id: number;
  readonly body?: unknown;
  readonly failure?: string;
}

type Answer = (frame: AnswerFrame | undefined) => void;

interface Outgoing {
  readonly connection: Connection;
  readonly open: Map<number, Answer>;
  /** Frames received so far; a peer that sends none may be cut off. */
  received: number;
}

function notSent(message: string): LinkFailure {
  return {kind: 'not-sent', message};
}

/** See the module comment. */
export class TcpLink extends Link implements AsyncDisposable {
  private readonly outgoing = new Map<string, Promise<Outgoing | undefined>>();
  private readonly sockets = new Set<Socket>();
  private readonly connections = new Set<Connection>();
  /** Bytes sent over connections that have ended, by peer. */
  private readonly sentBefore = new Map<string, number>();
  private nextId = 1;
  private ended = false;

  private constructor(
    private readonly parts: TcpLinkParts,
    private readonly server: Server,
  ) {
    super();
  }

  /** Listens and resolves once calls can be received. */
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
    server.on(event, (socket: Socket) => void link.serve(socket));
    const listening = new Promise<TcpLink>((resolve, reject) => {
      server.once('error', reject);
      server.listen(parts.listen.port, parts.listen.host, () => resolve(link));
    });
    return Async.fromPromise(listening, (error) => ({
      kind: 'listen',
      message: describeError(error),
    }));
  }

  /** The port that is listened on. */
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
    if (this.ended) {
      return errAsync(notSent('this box is stopping'));
    }
    if (box === this.parts.box) {
      return this.callSelf(service, body);
    }
    return new Async(this.callPeer(box, service, body, timeoutMs));
  }

  override sentByPeer(): ReadonlyMap<string, number> {
    const sent = new Map(this.sentBefore);
    for (const connection of this.connections) {
      addSent(sent, connection);
    }
    return sent;
  }

  override redial(): void {
    for (const [box, dialling] of this.outgoing) {
      void dialling.then((outgoing) => outgoing && this.drop(box, outgoing));
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.ended = true;
    const closed = new Promise((resolve) => this.server.close(resolve));
    for (const socket of this.sockets) {
      socket.destroy();
    }
    await closed;
  }

  private callSelf(
    service: string,
    body: unknown,
  ): ResultAsync<unknown, LinkFailure> {
    const answer = this.dispatch(service, body, this.parts.box);
    return answer === undefined
      ? errAsync(notSent(`no service ${service}`))
      : Async.fromPromise(answer, (error) => ({
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
    const outgoing = await withinMs(timeoutMs, this.outgoingTo(box));
    if (outgoing === undefined) {
      return err<unknown, LinkFailure>(notSent(`${box} cannot be reached`));
    }
    const {connection, open} = outgoing;
    const full =
      open.size >= MAX_OPEN_CALLS || connection.queuedBytes > MAX_QUEUED_BYTES;
    if (full) {
      return err<unknown, LinkFailure>(notSent(`${box} is too slow`));
    }
    this.nextId += 1;
    const id = this.nextId;
    const answered = new Promise<AnswerFrame | undefined>((resolve) =>
      open.set(id, resolve),
    );
    const sent = connection.send({body, id, service} satisfies CallFrame);
    if (sent.isErr()) {
      open.delete(id);
      return err<unknown, LinkFailure>(notSent(sent.error.message));
    }
    const {received} = outgoing;
    const timer = setTimeout(() => {
      if (outgoing.received === received) {
        // Silence: a connection across a healed cut may hang for long.
        void this.drop(box, outgoing);
      }
      open.get(id)?.(undefined);
    }, timeoutMs);
    const frame = await answered;
    clearTimeout(timer);
    open.delete(id);
    return readAnswer(box, frame);
  }

  /** Ends a connection; the next call dials anew. */
  private async drop(box: string, outgoing: Outgoing): Promise<void> {
    outgoing.connection.socket.destroy();
    if ((await this.outgoing.get(box)) === outgoing) {
      this.outgoing.delete(box);
    }
  }

  private outgoingTo(box: string): Promise<Outgoing | undefined> {
    const known = this.outgoing.get(box);
    if (known !== undefined) {
      return known;
    }
    const dialling = this.dial(box);
    this.outgoing.set(box, dialling);
    void dialling.then((outgoing) => {
      if (outgoing === undefined) {
        this.outgoing.delete(box);
      }
    });
    return dialling;
  }

  private async dial(box: string): Promise<Outgoing | undefined> {
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
            // Boxes are known by IP address; the fleet key proves the name.
            checkServerIdentity: () => undefined,
          });
    const connection = this.adopt(socket);
    const authentic = await connection.authenticate(
      this.parts.box,
      this.parts.key,
      'caller',
    );
    socket.setTimeout(0);
    if (!authentic || connection.peer !== box) {
      socket.destroy();
      return undefined;
    }
    const outgoing: Outgoing = {
      connection,
      open: new Map(),
      received: 0,
    };
    void this.readAnswers(box, outgoing);
    return outgoing;
  }

  private adopt(socket: Socket): Connection {
    this.sockets.add(socket);
    const connection = new Connection(socket);
    this.connections.add(connection);
    socket.on('close', () => {
      this.sockets.delete(socket);
      this.connections.delete(connection);
      addSent(this.sentBefore, connection);
    });
    socket.on('error', () => socket.destroy());
    socket.setTimeout(CONNECT_MS, () => socket.destroy());
    // The caller finds a silent connection by its calls; the other end only so.
    socket.setKeepAlive(true, KEEP_ALIVE_MS);
    return connection;
  }

  private async readAnswers(box: string, outgoing: Outgoing): Promise<void> {
    const {connection, open} = outgoing;
    for (;;) {
      const frame = (await connection.receive()) as AnswerFrame | undefined;
      if (frame === undefined) {
        break;
      }
      outgoing.received += 1;
      open.get(frame.id)?.(frame);
    }
    await this.drop(box, outgoing);
    for (const answer of [...open.values()]) {
      answer(undefined);
    }
  }

  private async serve(socket: Socket): Promise<void> {
    const connection = this.adopt(socket);
    const {box, key} = this.parts;
    if (!(await connection.authenticate(box, key, 'callee'))) {
      return;
    }
    socket.setTimeout(0);
    for (;;) {
      const frame = (await connection.receive()) as CallFrame | undefined;
      if (frame === undefined) {
        break;
      }
      void this.answer(connection, frame);
    }
    socket.destroy();
  }

  private async answer(
    connection: Connection,
    frame: CallFrame,
  ): Promise<void> {
    const {id, service, body} = frame;
    const running = this.dispatch(service, body, connection.peer);
    const answer: AnswerFrame = await (
      running ?? Promise.reject(new Error(`no service ${service}`))
    ).then(
      (value) => ({body: value, id}),
      (error) => ({failure: describeError(error), id}),
    );
    const sent = connection.send(answer);
    if (sent.isErr()) {
      connection.send({failure: sent.error.message, id});
    }
  }
}

/** Adds what a connection has sent; one whose peer never proved its name is left out. */
function addSent(sent: Map<string, number>, {peer, socket}: Connection): void {
  if (peer !== '') {
    sent.set(peer, (sent.get(peer) ?? 0) + socket.bytesWritten);
  }
}

/** The value, or undefined if it takes longer; a dark peer takes a second. */
async function withinMs<Value>(
  ms: number,
  value: Promise<Value>,
): Promise<Value | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<undefined>((resolve) => {
    timer = setTimeout(() => resolve(undefined), ms);
  });
  const first = await Promise.race([value, late]);
  clearTimeout(timer);
  return first;
}

function readAnswer(box: string, frame: AnswerFrame | undefined) {
  if (frame === undefined) {
    const message = `${box} did not answer`;
    return err<unknown, LinkFailure>({kind: 'no-answer', message});
  }
  if (frame.failure !== undefined) {
    const {failure: message} = frame;
    return err<unknown, LinkFailure>({kind: 'peer-failed', message});
  }
  return ok<unknown, LinkFailure>(frame.body);
}
