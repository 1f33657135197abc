/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against tunnels that end early, that outlive their caller, that make truncated
 * responses look complete, and that lead anywhere but to known upstreams.
 */
import type {AddressInfo, Server, Socket} from 'node:net';
import {createServer} from 'node:net';

import {InMemoryDecisionLog} from 'puffinturn-decisions';
import type {BoxRecord, TunnelReply} from 'puffinturn-fleet';
import {
  BOX_ROLE,
  FLEET_SERVICE,
  Regions,
  TUNNEL_OUTCOME,
  UPSTREAM_STATE,
} from 'puffinturn-fleet';
import {MemoryNetwork} from 'puffinturn-wire';
import {Random, SystemClock} from 'shared';

import type {Exchange, ExchangeOutcome} from '../../connections/Exchange';
import {UNSENT_BLAME} from '../../connections/Exchange';
import {EdgeMetrics} from '../../EdgeMetrics';
import {TunnelClient} from '../../tunnels/TunnelClient';
import {TICKET_LIFETIME_MS} from '../../tunnels/TunnelConstants';
import {
  END_FRAME,
  framePrefix,
  TunnelFrameReader,
} from '../../tunnels/TunnelFrames';
import type {TunnelRefusal} from '../../tunnels/TunnelServer';
import {TunnelServer} from '../../tunnels/TunnelServer';
import type {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import {UpstreamPool} from '../../upstreams/UpstreamPool';
import {createExchange} from '../utils/createExchange';
import {makeUpstream} from '../utils/EdgeFixture';

const HOST = '127.0.0.1';
const HEADERS = 'x-request: r-1\r\nx-seal: s\r\n';

function edgeRecord(box: string): BoxRecord {
  return {box, hall: 'a', incarnation: '1', role: BOX_ROLE.edge};
}

/** One upstream, helpers that carry tunnels to it, and an edge that asks for them. */
class TunnelFixture implements AsyncDisposable {
  readonly upstreamSockets: Socket[] = [];
  readonly helpers: TunnelServer[] = [];
  readonly log = new InMemoryDecisionLog();
  refusal: TunnelRefusal | undefined;
  /** Called before a helper connects to the upstream. */
  beforeConnecting = (): void => undefined;
  private readonly clock = new SystemClock();
  private readonly network = new MemoryNetwork(this.clock, new Random(1));
  private readonly pools: UpstreamPool[] = [];
  private client: TunnelClient | undefined;

  private constructor(private readonly server: Server) {}

  /** `onRequest` gets the upstream's connection when a request arrives. */
  static async open(
    helperCount: number,
    onRequest: (socket: Socket) => void,
  ): Promise<TunnelFixture> {
    const server = createServer();
    const fixture = new TunnelFixture(server);
    server.on('connection', (socket) => {
      fixture.upstreamSockets.push(socket);
      socket.on('error', () => undefined);
      socket.once('data', () => onRequest(socket));
    });
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    for (let index = 1; index <= helperCount; index += 1) {
      await fixture.openHelper(`e${index}`);
    }
    return fixture;
  }

  get upstreamAddress(): string {
    return `${HOST}:${(this.server.address() as AddressInfo).port}`;
  }

  /** Sends a request by way of a helper. */
  send(address = this.upstreamAddress): Exchange {
    const upstream = this.createUpstream(address);
    this.client ??= this.createClient();
    const {client} = this;
    const open = () => client.open(upstream, 'r-1');
    return createExchange(upstream, {isOnlyWay: true, open});
  }

  async askHelper(address: string): Promise<TunnelReply> {
    const request = {address, requestId: 'r-1', upstreamId: 'i-1'};
    const reply = await this.network
      .connect('asking')
      .call('e1', FLEET_SERVICE.openTunnel, request, 1_000);
    return reply._unsafeUnwrap() as TunnelReply;
  }

  /** Drops all messages to a helper. */
  silence(box: string): void {
    this.network.dropMessages('asking', box);
  }

  /** Number of requests for tunnels that a helper was sent. */
  countAsked(box: string): number {
    return this.log.decisions.filter(
      (entry) =>
        entry.event === 'tunnel-decided' &&
        entry.role === 'asks' &&
        entry.peer === box,
    ).length;
  }

  /** Number of requests for tunnels to all helpers. */
  get askedCount(): number {
    return this.helpers
      .map((_, index) => this.countAsked(`e${index + 1}`))
      .reduce((sum, count) => sum + count, 0);
  }

  /** Tells the edge that was created last that the upstream is gone. */
  removeUpstream(): void {
    const state = UPSTREAM_STATE.gone;
    const record = makeUpstream('i-1', {sequence: 2, state});
    this.pools.at(-1)?.merge([record], 'test');
  }

  closeUpstream(): void {
    this.server.close();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const helper of this.helpers) {
      await helper[Symbol.asyncDispose]();
    }
    for (const pool of this.pools) {
      pool[Symbol.dispose]();
    }
    for (const socket of this.upstreamSockets) {
      socket.destroy();
    }
    this.server.close();
  }

  private createClient(): TunnelClient {
    return new TunnelClient({
      clock: this.clock,
      link: this.network.connect('asking'),
      log: this.log,
      metrics: new EdgeMetrics(),
      otherEdges: () =>
        this.helpers.map((_, index) => edgeRecord(`e${index + 1}`)),
      random: new Random(1),
      regions: new Regions(),
      self: edgeRecord('asking'),
    });
  }

  private createUpstream(address: string): EdgeUpstream {
    const pool = new UpstreamPool(this.clock, this.log);
    this.pools.push(pool);
    pool.merge([makeUpstream('i-1', {address})], 'test');
    return pool.find('i-1') as EdgeUpstream;
  }

  private async openHelper(box: string): Promise<void> {
    const pool = new UpstreamPool(this.clock, this.log);
    this.pools.push(pool);
    pool.merge([makeUpstream('i-1', {address: this.upstreamAddress})], 'test');
    const helper = await TunnelServer.open(
      {host: HOST, port: 0},
      {
        clock: this.clock,
        drainMs: 2_000,
        link: this.network.connect(box),
        log: this.log,
        metrics: new EdgeMetrics(),
        pool,
        refusal: () => {
          this.beforeConnecting();
          return this.refusal;
        },
      },
    );
    this.helpers.push(helper._unsafeUnwrap());
  }
}

/** Reads the whole body of a response; undefined if it was incomplete. */
function readBody(outcome: ExchangeOutcome): Promise<string | undefined> {
  if (outcome.kind !== 'answer') {
    throw new Error(`no response: ${JSON.stringify(outcome)}`);
  }
  const chunks: Buffer[] = [];
  return new Promise((resolve) => {
    outcome.response.setReader({
      onData: (chunk) => chunks.push(chunk),
      onEnd: (isComplete) =>
        resolve(isComplete ? Buffer.concat(chunks).toString() : undefined),
    });
  });
}

function waitFor(condition: () => boolean): Promise<void> {
  return new Promise((resolve) => {
    const timer = setInterval(() => {
      if (condition()) {
        clearInterval(timer);
        resolve();
      }
    }, 5);
  });
}

describe('A tunnel', () => {
  test('outlives its ticket while a stream goes on', async () => {
    await using fixture = await TunnelFixture.open(1, (socket) => {
      socket.write(`HTTP/1.1 200 OK\r\n${HEADERS}Content-Length: 6\r\n\r\nbeg`);
      setTimeout(() => socket.write('end'), TICKET_LIFETIME_MS * 1.5);
    });
    const outcome = await fixture.send().outcome;
    expect(await readBody(outcome)).toBe('begend');
  });

  test('passes on a response whose end is that of the connection', async () => {
    await using fixture = await TunnelFixture.open(1, (socket) => {
      socket.end(`HTTP/1.1 200 OK\r\n${HEADERS}\r\nwhole`);
    });
    const outcome = await fixture.send().outcome;
    expect(await readBody(outcome)).toBe('whole');
  });

  test.each([
    [
      'the upstream resets',
      (_: TunnelFixture, socket: Socket) => socket.resetAndDestroy(),
    ],
    [
      'the other edge ends',
      (fixture: TunnelFixture) =>
        void fixture.helpers[0]?.[Symbol.asyncDispose](),
    ],
  ])('does not complete a response if %s', async (_, breakOff) => {
    await using fixture = await TunnelFixture.open(1, (socket) => {
      socket.write(`HTTP/1.1 200 OK\r\n${HEADERS}\r\npart`);
      setTimeout(() => breakOff(fixture, socket), 50);
    });
    const outcome = await fixture.send().outcome;
    expect(await readBody(outcome)).toBeUndefined();
  });

  test('does not complete a response whose end is that of the connection if the upstream has crashed', async () => {
    await using fixture = await TunnelFixture.open(1, (socket) => {
      fixture.closeUpstream();
      socket.end(`HTTP/1.1 200 OK\r\n${HEADERS}\r\npart`);
    });
    const outcome = await fixture.send().outcome;
    expect(await readBody(outcome)).toBeUndefined();
  });

  test('closes the connection of the upstream when the caller leaves', async () => {
    let hasClosed = false;
    await using fixture = await TunnelFixture.open(1, (socket) => {
      socket.once('close', () => (hasClosed = true));
    });
    const exchange = fixture.send();
    await waitFor(() => fixture.upstreamSockets.length > 0);
    await waitFor(() => exchange.hasConnected);
    exchange.abort('caller-left');
    await waitFor(() => hasClosed && fixture.helpers[0]?.openCount === 0);
    expect((await exchange.outcome).kind).toBe('broken');
  });

  test('leads only to the address of a known upstream', async () => {
    await using fixture = await TunnelFixture.open(1, () => undefined);
    const reply = await fixture.askHelper(`${HOST}:1`);
    expect(reply).toEqual({outcome: TUNNEL_OUTCOME.unknownUpstream});
    expect(fixture.upstreamSockets).toEqual([]);
  });

  test('is not opened if the upstream leaves while the other edge connects to it', async () => {
    await using fixture = await TunnelFixture.open(1, () => undefined);
    fixture.beforeConnecting = () => fixture.removeUpstream();
    const reply = await fixture.askHelper(fixture.upstreamAddress);
    expect(reply).toEqual({outcome: TUNNEL_OUTCOME.unknownUpstream});
  });

  test('counts an upstream as unreachable only after two edges', async () => {
    await using fixture = await TunnelFixture.open(3, () => undefined);
    const address = fixture.upstreamAddress;
    fixture.closeUpstream();
    const outcome = await fixture.send(address).outcome;
    expect(outcome).toMatchObject({blame: 'upstream', kind: 'unsent'});
    const asked = fixture.log.decisions.filter(
      (entry) => entry.event === 'tunnel-decided' && entry.role === 'asks',
    );
    expect(asked).toHaveLength(2);
  });

  test('is asked for at two edges if these do not know the upstream, without blame of it', async () => {
    await using fixture = await TunnelFixture.open(3, () => undefined);
    const {outcome} = fixture.send(`${HOST}:9`);
    expect(await outcome).toEqual({
      blame: UNSENT_BLAME.none,
      cause: 'upstream-unknown',
      kind: 'unsent',
    });
    expect(fixture.askedCount).toBe(2);
  });

  test('is asked for at no further edge once the upstream has left', async () => {
    await using fixture = await TunnelFixture.open(3, () => undefined);
    const {outcome} = fixture.send(`${HOST}:9`);
    fixture.removeUpstream();
    expect(await outcome).toMatchObject({blame: UNSENT_BLAME.none});
    expect(fixture.askedCount).toBe(1);
  });

  test('leaves out an edge that did not reply', async () => {
    await using fixture = await TunnelFixture.open(2, (socket) => {
      socket.end(`HTTP/1.1 200 OK\r\n${HEADERS}Content-Length: 0\r\n\r\n`);
    });
    fixture.silence('e1');
    const outcomes = await Promise.all(
      Array.from({length: 6}, () => fixture.send().outcome),
    );
    expect(outcomes.every(({kind}) => kind === 'answer')).toBe(true);
    const askedBefore = fixture.countAsked('e1');
    await Promise.all(Array.from({length: 6}, () => fixture.send().outcome));
    expect(askedBefore).toBeGreaterThan(0);
    expect(fixture.countAsked('e1')).toBe(askedBefore);
  });

  test('is asked for again at once if the only other edge was overloaded', async () => {
    await using fixture = await TunnelFixture.open(1, (socket) => {
      socket.write(`HTTP/1.1 200 OK\r\n${HEADERS}Content-Length: 0\r\n\r\n`);
    });
    fixture.refusal = TUNNEL_OUTCOME.overloaded;
    expect(await fixture.send().outcome).toMatchObject({cause: 'no-helper'});
    fixture.refusal = undefined;
    expect(await fixture.send().outcome).toMatchObject({kind: 'answer'});
  });

  test('is refused by an edge that is cut off, without blame of the upstream', async () => {
    await using fixture = await TunnelFixture.open(2, () => undefined);
    fixture.refusal = TUNNEL_OUTCOME.cutOff;
    const outcome = await fixture.send().outcome;
    expect(outcome).toMatchObject({blame: 'no-helper', kind: 'unsent'});
    expect(fixture.upstreamSockets).toEqual([]);
  });
});

describe('TunnelFrameReader', () => {
  test('yields the same bytes for every split of the frames', () => {
    const first = Buffer.from('first');
    const frames = Buffer.concat([
      framePrefix(first.length),
      first,
      framePrefix(1),
      Buffer.from('2'),
      END_FRAME,
    ]);
    for (let split = 0; split <= frames.length; split += 1) {
      let received = '';
      const reader = new TunnelFrameReader({
        onBytes: (bytes) => (received += bytes.toString()),
        onEnd: () => (received += '.'),
      });
      reader.push(frames.subarray(0, split));
      reader.push(frames.subarray(split));
      expect(received).toBe('first2.');
    }
  });
});
