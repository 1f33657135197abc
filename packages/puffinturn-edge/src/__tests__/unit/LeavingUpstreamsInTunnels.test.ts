/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against parts of streams that look complete, because the edge that carries a
 * tunnel does not know that the upstream had said it leaves.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import type {BoxRecord} from 'puffinturn-fleet';
import {BOX_ROLE, Regions, RETRY_POLICY} from 'puffinturn-fleet';
import {MemoryNetwork} from 'puffinturn-wire';
import {Random, SystemClock} from 'shared';

import {EdgeMetrics} from '../../EdgeMetrics';
import {TunnelClient} from '../../tunnels/TunnelClient';
import {TunnelServer} from '../../tunnels/TunnelServer';
import {UpstreamPool} from '../../upstreams/UpstreamPool';
import {
  createRoute,
  ForwardingFixture,
  TestUpstream,
} from '../utils/ForwardingFixture';

const FIRST_EVENT = 'id: 1\ndata: one\n\n';
const SECOND_EVENT = 'id: 2\ndata: two\n\n';
const STREAM = 'text/event-stream';
const ROUTE = createRoute('stream', {
  maxAttempts: 2,
  repetition: RETRY_POLICY.resumable,
  streams: true,
});

function edgeRecord(box: string): BoxRecord {
  return {box, hall: 'a', incarnation: '1', role: BOX_ROLE.edge};
}

/** Two upstreams, an edge without links to them, and one that carries its tunnels. */
class TunnelledFleet implements AsyncDisposable {
  private readonly clock = new SystemClock();
  private readonly network = new MemoryNetwork(this.clock, new Random(1));
  /** In the order in which they were opened. */
  private readonly resources: (AsyncDisposable | Disposable)[] = [];

  /** `handlers` serve the first request and the second. */
  async open(
    ...handlers: readonly TestUpstream['handler'][]
  ): Promise<ForwardingFixture> {
    const upstreams = [
      this.own(await TestUpstream.start('a')),
      this.own(await TestUpstream.start('b')),
    ];
    let count = 0;
    for (const upstream of upstreams) {
      upstream.handler = (incoming, response) => {
        handlers[count]?.(incoming, response);
        count += 1;
      };
    }
    const records = upstreams.map((upstream) => upstream.record());
    const edge = this.own(
      await ForwardingFixture.start([ROUTE], ({directLinks, log}) => ({
        directLinks: Object.assign(directLinks, {needsTunnel: () => true}),
        tunnelClient: new TunnelClient({
          clock: this.clock,
          link: this.network.connect('asking'),
          log,
          metrics: new EdgeMetrics(),
          otherEdges: () => [edgeRecord('carrying')],
          random: new Random(1),
          regions: new Regions(),
          self: edgeRecord('asking'),
        }),
      })),
    );
    const pool = this.own(new UpstreamPool(this.clock, edge.log));
    for (const one of [edge.pool, pool]) {
      one.merge(records, 'test');
    }
    const carrier = await TunnelServer.open(
      {host: '127.0.0.1', port: 0},
      {
        clock: this.clock,
        drainMs: 2_000,
        link: this.network.connect('carrying'),
        log: edge.log,
        metrics: new EdgeMetrics(),
        pool,
        refusal: () => undefined,
      },
    );
    this.own(carrier._unsafeUnwrap());
    return edge;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const resource of this.resources.reverse()) {
      await (Symbol.asyncDispose in resource
        ? resource[Symbol.asyncDispose]()
        : resource[Symbol.dispose]());
    }
  }

  private own<Resource extends AsyncDisposable | Disposable>(
    resource: Resource,
  ): Resource {
    this.resources.push(resource);
    return resource;
  }
}

/** Sends one event, with further headers, and ends the connection. */
function endAfterFirstEvent(headers: readonly string[]) {
  return ({headers: received, socket}: IncomingMessage): void => {
    const lines = [
      'HTTP/1.1 200 OK',
      `content-type: ${STREAM}`,
      `x-request: ${String(received['x-request'])}`,
      'x-seal: seal',
      ...headers,
    ];
    socket.end(`${lines.join('\r\n')}\r\n\r\n${FIRST_EVENT}`);
  };
}

/** Sends the second event. */
function completeStream(_: IncomingMessage, response: ServerResponse): void {
  response.writeHead(200, {'content-type': STREAM});
  response.end(SECOND_EVENT);
}

describe('A stream through another edge that ends with its connection', () => {
  test('goes on elsewhere if its upstream had said that it leaves', async () => {
    await using fleet = new TunnelledFleet();
    const edge = await fleet.open(
      endAfterFirstEvent(['x-leaving: 1']),
      completeStream,
    );
    expect(await edge.sendRequest('stream')).toMatchObject({
      body: FIRST_EVENT + SECOND_EVENT,
      isComplete: true,
    });
  });

  test('is complete if its upstream listens and does not leave', async () => {
    await using fleet = new TunnelledFleet();
    const edge = await fleet.open(endAfterFirstEvent([]));
    expect(await edge.sendRequest('stream')).toMatchObject({
      body: FIRST_EVENT,
      isComplete: true,
    });
  });
});
