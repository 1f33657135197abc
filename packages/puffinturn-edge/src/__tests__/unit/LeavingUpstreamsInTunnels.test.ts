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

import {RETRY_POLICY} from 'puffinturn-fleet';

import type {ForwardingFixture} from '../utils/ForwardingFixture';
import {createRoute, TestUpstream} from '../utils/ForwardingFixture';
import {TunnelledEdge} from '../utils/TunnelledEdge';

const FIRST_EVENT = 'id: 1\ndata: one\n\n';
const SECOND_EVENT = 'id: 2\ndata: two\n\n';
const STREAM = 'text/event-stream';
const ROUTE = createRoute('stream', {
  maxAttempts: 2,
  repetition: RETRY_POLICY.resumable,
  streams: true,
});

/** Two upstreams, an edge without links to them, and one that carries its tunnels. */
class TunnelledFleet implements AsyncDisposable {
  /** In the order in which they were opened. */
  private readonly resources: AsyncDisposable[] = [];

  /** `handlers` serve the first request and the second. */
  async open(
    ...handlers: readonly TestUpstream['handler'][]
  ): Promise<ForwardingFixture> {
    const upstreams = [
      await TestUpstream.start('a'),
      await TestUpstream.start('b'),
    ];
    this.resources.push(...upstreams);
    let count = 0;
    for (const upstream of upstreams) {
      upstream.handler = (incoming, response) => {
        handlers[count]?.(incoming, response);
        count += 1;
      };
    }
    const records = upstreams.map((upstream) => upstream.record());
    const tunnelled = await TunnelledEdge.start([ROUTE], records);
    this.resources.push(tunnelled);
    return tunnelled.edge;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const resource of this.resources.reverse()) {
      await resource[Symbol.asyncDispose]();
    }
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
