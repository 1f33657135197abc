/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against clients of a server that keep others out, lose their refusals, or begin
 * more requests than they wait for.
 */
import type {Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {connect} from 'node:net';

import {SystemClock} from 'shared';

import {BOUNDED_SERVER_OPTIONS, BoundedServer} from '../../BoundedServer';
import type {RequestHandler} from '../../ClientConnection';
import type {ClientLimit} from '../../LimitCounter';
import {CLIENT_LIMIT} from '../../LimitCounter';
import {BODY_REFUSALS} from '../../RequestBody';
import type {ServerLimits} from '../../ServerLimits';

const LIMITS: ServerLimits = {
  maxBodyPauseMs: 60_000,
  maxConnections: 50,
  maxHeldBytes: 100_000,
  maxPipelinedRequests: 3,
  maxUnreadMs: 60_000,
};
const GET = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const MAX_BODY_BYTES = 50_000;

function post(length: number, body = ''): string {
  return `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${length}\r\n\r\n${body}`;
}

/** A client that collects what it receives. */
class TestClient {
  received = '';
  isClosed = false;
  readonly socket: Socket;

  constructor(port: number) {
    this.socket = connect({allowHalfOpen: true, host: '127.0.0.1', port});
    this.socket.on('data', (chunk: Buffer) => {
      this.received += chunk.toString('latin1');
    });
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => (this.isClosed = true));
    this.socket.on('end', () => (this.isClosed = true));
  }

  send(text: string): this {
    this.socket.write(text);
    return this;
  }

  get statuses(): string[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(
      ([, status]) => status ?? '',
    );
  }
}

/** A bounded server that reads bodies and answers when it is told to, or at once. */
class Fixture implements AsyncDisposable {
  readonly limitsMet: ClientLimit[] = [];
  readonly bodies: string[] = [];
  /** Responses that were not sent yet. */
  readonly held: ServerResponse[] = [];
  holds = false;
  private readonly clients: TestClient[] = [];
  private readonly server: Server;
  private readonly bounded: BoundedServer;

  constructor(limits: Partial<ServerLimits> = {}, onRequest?: RequestHandler) {
    this.server = createServer(BOUNDED_SERVER_OPTIONS);
    this.bounded = new BoundedServer(
      this.server,
      onRequest ?? ((...request) => void this.handle(...request)),
      {
        clock: new SystemClock(),
        limits: {...LIMITS, ...limits},
        observer: {
          onLimit: (limit) => this.limitsMet.push(limit),
          onReport: () => undefined,
        },
      },
    );
  }

  async open(): Promise<this> {
    await new Promise<void>((resolve) =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    return this;
  }

  get usage() {
    return this.bounded.usage;
  }

  connect(): TestClient {
    const {port} = this.server.address() as AddressInfo;
    const client = new TestClient(port);
    this.clients.push(client);
    return client;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const {socket} of this.clients) {
      socket.destroy();
    }
    this.bounded[Symbol.dispose]();
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }

  private async handle(
    ...[, response, body]: Parameters<RequestHandler>
  ): Promise<void> {
    const read = await body.read(MAX_BODY_BYTES);
    if (read.isErr()) {
      const {kind} = read.error;
      if (kind !== 'body-broken') {
        response.statusCode = BODY_REFUSALS[kind].status;
        response.end(kind);
      }
    } else if (this.holds) {
      this.held.push(response);
    } else {
      this.bodies.push(read.value.toString());
      response.end('ok');
    }
  }
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

/** Pieces of a body in chunks of a byte, and the bytes that carry one. */
const TINY_CHUNK = '1\r\nx\r\n';
const TINY_CHUNKS = 40_000;

/** The buffer that Node.js reads connections with, bytes. */
const READ_BUFFER_BYTES = 64 * 1_024;

describe('BoundedServer', () => {
  // Guards against a few clients that keep a server from all others: their bodies in chunks
  // of a byte were read as long as they were sent.
  test('reads bodies in tiny chunks in parts, between which others have their turn', async () => {
    const sockets = new Set<Socket>();
    const limits = {maxHeldBytes: 1_000_000};
    await using fixture = await new Fixture(
      limits,
      (incoming, response, body) => {
        sockets.add(incoming.socket);
        void body.read(MAX_BODY_BYTES).then((read) => {
          response.end(String(read.map(({length}) => length).unwrapOr(-1)));
        });
      },
    ).open();
    const request = `POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${TINY_CHUNK.repeat(TINY_CHUNKS)}0\r\n\r\n`;
    const clients = [1, 2, 3].map(() => fixture.connect().send(request));
    const readBefore = new Map<Socket, number>();
    let mostBytes = 0;
    const isOver = (): boolean =>
      clients.every(({received}) => received.endsWith(String(TINY_CHUNKS)));
    for (let iteration = 0; !isOver() && iteration < 100_000; iteration += 1) {
      await new Promise((resolve) => setImmediate(resolve));
      for (const socket of sockets) {
        const {bytesRead} = socket;
        const bytes = bytesRead - (readBefore.get(socket) ?? 0);
        mostBytes = Math.max(mostBytes, bytes);
        readBefore.set(socket, bytesRead);
      }
    }
    expect(isOver()).toBe(true);
    expect(mostBytes).toBeLessThanOrEqual(READ_BUFFER_BYTES);
    expect(fixture.limitsMet).toContain(CLIENT_LIMIT.bodyPieces);
    // The connections are read again after their bodies.
    clients.forEach((client) => client.send(GET));
    await until(() => clients.every(({statuses}) => statuses.length === 2));
  });

  test('serves requests that came at once one after the other', async () => {
    await using fixture = await new Fixture().open();
    fixture.holds = true;
    const client = fixture.connect().send(GET.repeat(3));
    for (let served = 1; served <= 3; served += 1) {
      await until(() => fixture.held.length === 1);
      fixture.held.pop()?.end('ok');
      await until(() => client.statuses.length === served);
    }
    expect(fixture.limitsMet).toEqual([]);
    expect(client.isClosed).toBe(false);
  });

  test('closes a connection with too many requests at once', async () => {
    await using fixture = await new Fixture().open();
    fixture.holds = true;
    const client = fixture.connect().send(GET.repeat(100));
    await until(() => client.isClosed);
    expect(fixture.held.length).toBeLessThanOrEqual(1);
    expect(fixture.limitsMet).toEqual([CLIENT_LIMIT.pipelinedRequests]);
  });

  test('serves the request that was begun before too many others came', async () => {
    await using fixture = await new Fixture().open();
    fixture.holds = true;
    const client = fixture.connect().send(GET);
    await until(() => fixture.held.length === 1);
    client.send(GET.repeat(100));
    await until(() => fixture.limitsMet.length === 1);
    fixture.held[0]?.end('ok');
    await until(() => client.isClosed);
    expect(client.statuses).toEqual(['200']);
    expect(fixture.held).toHaveLength(1);
  });

  test('closes the connection that has been idle for longest for a new one', async () => {
    await using fixture = await new Fixture({maxConnections: 2}).open();
    const first = fixture.connect().send(GET);
    await until(() => first.statuses.length === 1);
    const second = fixture.connect().send(GET);
    await until(() => second.statuses.length === 1);
    const third = fixture.connect().send(GET);
    await until(() => third.statuses.length === 1 && first.isClosed);
    expect(second.isClosed).toBe(false);
    expect(fixture.usage.connections).toBe(2);
    expect(fixture.limitsMet).toEqual([CLIENT_LIMIT.idleConnections]);
  });

  test('keeps connections that are served, and refuses new ones', async () => {
    await using fixture = await new Fixture({maxConnections: 1}).open();
    fixture.holds = true;
    const served = fixture.connect().send(GET);
    await until(() => fixture.held.length === 1);
    const refused = fixture.connect().send(GET);
    await until(() => refused.isClosed);
    expect(refused.received).toBe('');
    fixture.held[0]?.end('ok');
    await until(() => served.statuses.length === 1);
    expect(fixture.limitsMet).toEqual([CLIENT_LIMIT.newConnections]);
  });

  test('refuses the slowest body for a new connection', async () => {
    await using fixture = await new Fixture({maxConnections: 1}).open();
    const slow = fixture.connect().send(post(10, 'x'));
    await until(() => fixture.usage.bodyBytes > 0);
    await new Promise((resolve) => setTimeout(resolve, 1_100));
    const client = fixture.connect().send(GET);
    await until(() => client.statuses.length === 1);
    await until(() => slow.isClosed);
    expect(slow.statuses).toEqual(['408']);
    expect(client.statuses).toEqual(['200']);
  });

  test('refuses the largest body when memory runs out, and serves small ones', async () => {
    await using fixture = await new Fixture().open();
    const bodies = [40_000, 45_000].map((length) =>
      fixture.connect().send(post(50_000, 'x'.repeat(length))),
    );
    await until(() => fixture.usage.bodyBytes > 85_000);
    const small = fixture.connect().send(post(16_000, 'y'.repeat(16_000)));
    await until(() => small.statuses.length === 1);
    await until(() => bodies[1]?.isClosed === true);
    expect(small.statuses).toEqual(['200']);
    expect(bodies.map(({statuses}) => statuses)).toEqual([[], ['503']]);
    expect(fixture.limitsMet).toEqual([CLIENT_LIMIT.bodyMemory]);
  });

  test('lets a client read its refusal while it sends on', async () => {
    await using fixture = await new Fixture().open();
    const client = fixture.connect().send(post(60_000, 'x'.repeat(30_000)));
    await until(() => client.statuses.length === 1);
    expect(client.statuses).toEqual(['413']);
    expect(client.received).toContain('Connection: close');
    client.send('x'.repeat(30_000));
    await until(() => client.isClosed);
    expect(fixture.usage.bodyBytes).toBe(0);
  });

  test('closes the connection of a client that never ends its refused request', async () => {
    await using fixture = await new Fixture().open();
    const client = fixture.connect().send(post(60_000, 'x'));
    await until(() => client.isClosed);
    await until(() => fixture.usage.connections === 0);
    expect(client.statuses).toEqual(['413']);
  });

  test('keeps a connection open whose early response came with its whole request', async () => {
    await using fixture = await new Fixture({}, (_, response) => {
      response.end('early');
    }).open();
    const client = fixture.connect().send(GET);
    await until(() => client.statuses.length === 1);
    client.send(GET);
    await until(() => client.statuses.length === 2);
    expect(client.isClosed).toBe(false);
  });

  test('refuses a body that stands still though there is room', async () => {
    await using fixture = await new Fixture({maxBodyPauseMs: 100}).open();
    const client = fixture.connect().send(post(10, 'x'));
    await until(() => client.isClosed);
    expect(client.statuses).toEqual(['408']);
    expect(fixture.limitsMet).toEqual([CLIENT_LIMIT.bodyPause]);
  });

  test('closes the connection of a client that does not read', async () => {
    const large = Buffer.alloc(16 * 1_024 * 1_024);
    await using fixture = await new Fixture(
      {maxUnreadMs: 100},
      (_, response) => {
        response.end(large);
      },
    ).open();
    const client = fixture.connect();
    client.socket.pause();
    client.send(GET);
    await until(() => fixture.limitsMet.length === 1);
    expect(fixture.limitsMet).toEqual([CLIENT_LIMIT.unreadResponse]);
    await until(() => fixture.usage.connections === 0);
  });

  test('refuses a body that is too long and was whole before it was read', async () => {
    const kinds: string[] = [];
    await using fixture = await new Fixture({}, (_, response, body) => {
      setTimeout(() => {
        void body.read(10).then((read) => {
          kinds.push(read.isOk() ? 'whole' : read.error.kind);
          response.end();
        });
      }, 50);
    }).open();
    const client = fixture.connect().send(post(20, 'x'.repeat(20)));
    await until(() => client.statuses.length === 1);
    const chunks = '14\r\nxxxxxxxxxxxxxxxxxxxx\r\n0\r\n\r\n';
    client.send(
      `POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}`,
    );
    await until(() => client.statuses.length === 2);
    expect(kinds).toEqual(['body-too-large', 'body-too-large']);
  });

  test('gives the memory of bodies back after the response', async () => {
    await using fixture = await new Fixture().open();
    fixture.holds = true;
    const client = fixture.connect().send(post(5, 'abcde'));
    await until(() => fixture.held.length === 1);
    expect(fixture.usage.bodyBytes).toBe(5);
    fixture.held[0]?.end('ok');
    await until(() => client.statuses.length === 1);
    await until(() => fixture.usage.bodyBytes === 0);
  });
});
