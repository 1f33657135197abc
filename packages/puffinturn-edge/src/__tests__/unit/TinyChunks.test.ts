/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against edges that answer nobody for seconds because a few upstreams send chunks of
 * a byte as fast as they are read.
 */
import {once} from 'node:events';
import type {AddressInfo, Socket} from 'node:net';
import {createServer} from 'node:net';

import type {
  ConnectionOwner,
  ConnectionRoute,
} from '../../connections/HttpConnection';
import {HttpConnection} from '../../connections/HttpConnection';
import type {UpstreamResponse} from '../../connections/UpstreamResponse';
import {END_FRAME, framePrefix} from '../../tunnels/TunnelFrames';

const HOST = '127.0.0.1';
const HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const CHUNK = '1\r\nx\r\n';
const CHUNKS = 60_000;
const LAST_CHUNK = '0\r\n\r\n';

/** The most that a connection reads before others have their turn, bytes. */
const MAX_BYTES_PER_ITERATION = 16 * 1024;

/** Bytes of one read that surely make a connection wait for its turn. */
const COSTLY_BYTES = 3_200;

const OWNER: ConnectionOwner = {
  recordCostlyReads: () => undefined,
  recordRead: () => undefined,
  release: () => false,
  remove: () => undefined,
};

const RESPONSE = HEAD + CHUNK.repeat(CHUNKS) + LAST_CHUNK;

/** The response over a tunnel, each chunk in a frame. */
function tunnelledResponse(): Buffer {
  const parts = [HEAD, ...Array<string>(CHUNKS).fill(CHUNK), LAST_CHUNK];
  const frames = parts.flatMap((part) => [
    framePrefix(part.length),
    Buffer.from(part),
  ]);
  return Buffer.concat([...frames, END_FRAME]);
}

/** Sends the response to each client. */
class ChunkServer implements AsyncDisposable {
  private readonly sockets: Socket[] = [];
  private readonly server = createServer((socket) => {
    this.sockets.push(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => socket.write(this.response));
  });

  constructor(private readonly response: Buffer | string = RESPONSE) {}

  async start(): Promise<ConnectionRoute> {
    this.server.listen(0, HOST);
    await once(this.server, 'listening');
    const {port} = this.server.address() as AddressInfo;
    return {host: HOST, port};
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise((resolve) => this.server.close(resolve));
    this.sockets.forEach((socket) => socket.destroy());
    await closed;
  }
}

/** A connection with a response in tiny chunks. */
class Client {
  /** Sizes of what was passed on of the body, bytes. */
  readonly passedOn: number[] = [];
  readonly ended: Promise<boolean>;
  readonly connection: HttpConnection;
  private seenBytes = 0;
  private onEnd: (isComplete: boolean) => void = () => undefined;

  constructor(route: ConnectionRoute) {
    this.ended = new Promise((resolve) => (this.onEnd = resolve));
    this.connection = new HttpConnection(route, OWNER);
    this.connection.send(
      {
        body: Buffer.alloc(0),
        head: 'GET / HTTP/1.1\r\nHost: a\r\n\r\n',
        method: 'GET',
      },
      {
        onConnected: () => undefined,
        onFailure: () => this.onEnd(false),
        onResponse: (response) => this.read(response),
      },
    );
  }

  /** Bytes that were read since the last call. */
  takeReadBytes(): number {
    const {bytesRead} = this.connection.socket;
    const bytes = bytesRead - this.seenBytes;
    this.seenBytes = bytesRead;
    return bytes;
  }

  private read(response: UpstreamResponse): void {
    response.setReader({
      onData: ({length}) => this.passedOn.push(length),
      onEnd: (isComplete) => this.onEnd(isComplete),
    });
  }
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}

/** Receives the responses of some connections; gives the bytes read in each iteration. */
async function receive(
  clients: readonly Client[],
): Promise<readonly number[][]> {
  const iterations: number[][] = [];
  let hasEnded = false;
  const ended = Promise.all(clients.map((client) => client.ended));
  void ended.then(() => (hasEnded = true));
  while (!hasEnded) {
    await new Promise((resolve) => setImmediate(resolve));
    iterations.push(clients.map((client) => client.takeReadBytes()));
  }
  expect(await ended).toEqual(clients.map(() => true));
  return iterations;
}

describe('Responses in chunks of a byte', () => {
  test('are read in parts, between which others have their turn', async () => {
    await using server = new ChunkServer();
    const client = new Client(await server.start());
    const iterations = await receive([client]);
    const most = Math.max(...iterations.flat());
    expect(most).toBeLessThanOrEqual(MAX_BYTES_PER_ITERATION);
    expect(sum(client.passedOn)).toBe(CHUNKS);
  });

  test('are read one connection at a time, by turns', async () => {
    await using server = new ChunkServer();
    const route = await server.start();
    const clients = Array.from({length: 8}, () => new Client(route));
    const iterations = await receive(clients);
    const previous = clients.map(() => 0);
    for (const bytes of iterations) {
      const reading = clients
        .map((_, at) => at)
        .filter((at) => bytes[at] !== 0);
      const byTurn = reading.filter((at) => (previous[at] ?? 0) > COSTLY_BYTES);
      expect(byTurn.length).toBeLessThanOrEqual(1);
      reading.forEach((at) => (previous[at] = bytes[at] ?? 0));
    }
    for (const {passedOn} of clients) {
      expect(sum(passedOn)).toBe(CHUNKS);
    }
  });

  test.each([
    ['directly', RESPONSE, undefined],
    ['in frames of a tunnel', tunnelledResponse(), Buffer.alloc(1)],
  ])('are passed on once for each read: %s', async (_, response, ticket) => {
    await using server = new ChunkServer(response);
    const client = new Client({...(await server.start()), ticket});
    const iterations = await receive([client]);
    const reads = iterations.flat().filter((bytes) => bytes > 0).length;
    expect(client.passedOn.length).toBeLessThanOrEqual(2 * reads);
  });
});
