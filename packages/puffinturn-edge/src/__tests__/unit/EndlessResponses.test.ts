/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against upstreams whose responses never end: requests that wait for them until
 * their deadline, though another upstream would serve them, and memory that grows.
 */
import {RETRY_POLICY} from 'puffinturn-fleet';

import {
  createRoute,
  ForwardingFixture,
  TestUpstream,
} from '../utils/ForwardingFixture';
import type {EndlessResponse} from '../utils/RawUpstream';
import {RawUpstream} from '../utils/RawUpstream';

const TIMEOUT_MS = 1_500;

const LOOKUP_ROUTE = createRoute('look', {
  maxAttempts: 2,
  timeoutMs: TIMEOUT_MS,
});
const STREAM_ROUTE = createRoute('stream', {
  maxAttempts: 2,
  repetition: RETRY_POLICY.resumable,
  streams: true,
  timeoutMs: TIMEOUT_MS,
});

const HEADERS = 'X-Request: ID\r\nX-Seal: seal\r\n';

const ENDLESS: Record<string, EndlessResponse> = {
  'interim responses': {head: '', part: 'HTTP/1.1 102 Processing\r\n\r\n'},
  'empty lines': {head: '', part: '\r\n'},
  'a status line': {head: 'HTTP/1.1 200 ', part: 'x'},
  'header lines': {head: 'HTTP/1.1 200 OK\r\n', part: 'x-more: 1\r\n'},
  'the body of a rejection': {
    head: `HTTP/1.1 503 Busy\r\n${HEADERS}X-Not-Run: 1\r\n\r\n`,
    part: 'x',
  },
  'the body of an error': {
    head: `HTTP/1.1 503 Busy\r\n${HEADERS}\r\n`,
    part: 'x',
  },
  'the chunks of an error': {
    head: `HTTP/1.1 500 No\r\n${HEADERS}Transfer-Encoding: chunked\r\n\r\n`,
    part: '1\r\nx\r\n',
  },
};

const ENDLESS_EVENT: EndlessResponse = {
  head: `HTTP/1.1 200 OK\r\n${HEADERS}Content-Type: text/event-stream\r\n\r\ndata: `,
  part: 'x',
};

const ENDLESS_EVENT_IN_TINY_CHUNKS: EndlessResponse = {
  head: `HTTP/1.1 200 OK\r\n${HEADERS}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`,
  part: '1\r\nx\r\n',
};

/** Size of an event that may come byte by byte. */
const SOUND_EVENT_BYTES = 16_000;

const ENDLESS_BODY: EndlessResponse = {
  head: `HTTP/1.1 200 OK\r\n${HEADERS}\r\n`,
  part: 'x',
};

/** Starts an upstream with an endless response, and another one that serves. */
async function startServing(response: EndlessResponse) {
  const endless = await RawUpstream.start('a', response);
  const sound = await TestUpstream.start('b');
  const edge = await ForwardingFixture.start([LOOKUP_ROUTE, STREAM_ROUTE]);
  edge.pool.merge([endless.record(), sound.record()], 'c1');
  return {
    edge,
    endless,
    sound,
    async [Symbol.asyncDispose]() {
      await edge[Symbol.asyncDispose]();
      await endless[Symbol.asyncDispose]();
      await sound[Symbol.asyncDispose]();
    },
  };
}

describe('Responses without end', () => {
  test.each(Object.keys(ENDLESS))(
    'of %s: the request is served by another upstream',
    async (name) => {
      const response = ENDLESS[name] ?? ENDLESS_BODY;
      await using fixture = await startServing(response);
      const {edge, endless} = fixture;
      const statuses = await edge.sendRequests('look', 20);
      expect(statuses).toEqual(statuses.map(() => 200));
      expect(endless.requestCount).toBeGreaterThan(0);
      expect(endless.requestCount).toBeLessThan(10);
    },
  );

  test.each([
    ['of one event', ENDLESS_EVENT],
    ['of one event in chunks of a byte', ENDLESS_EVENT_IN_TINY_CHUNKS],
  ])('%s: the stream is served by another upstream', async (_, response) => {
    await using fixture = await startServing(response);
    const {edge, endless, sound} = fixture;
    sound.handler = (_request, answer) => {
      answer.writeHead(200, {'content-type': 'text/event-stream'});
      answer.end('id: 1\ndata: whole\n\n');
    };
    for (let count = 0; count < 10; count += 1) {
      const answer = await edge.sendRequest('stream');
      expect(answer).toMatchObject({
        body: 'id: 1\ndata: whole\n\n',
        isComplete: true,
        status: 200,
      });
    }
    expect(endless.requestCount).toBeGreaterThan(0);
    expect(edge.partialEvents.totalBytes).toBe(0);
  });

  test('are not mistaken for a sound event in chunks of a byte', async () => {
    await using sound = await TestUpstream.start('b');
    await using edge = await ForwardingFixture.start([STREAM_ROUTE]);
    edge.pool.merge([sound.record()], 'c1');
    const event = `data: ${'x'.repeat(SOUND_EVENT_BYTES)}\n\n`;
    sound.handler = (_, response) => {
      response.writeHead(200, {'content-type': 'text/event-stream'});
      [...event].forEach((byte) => response.write(byte));
      response.end();
    };
    const answer = await edge.sendRequest('stream');
    expect(answer).toMatchObject({body: event, isComplete: true, status: 200});
  });

  test('of a body: it is broken off at the time-out and its upstream avoided', async () => {
    await using fixture = await startServing(ENDLESS_BODY);
    const {edge, endless} = fixture;
    for (let count = 0; endless.requestCount < 2 && count < 20; count += 1) {
      await edge.sendRequest('look');
    }
    const before = endless.requestCount;
    const answers = [];
    for (let count = 0; count < 20; count += 1) {
      answers.push(await edge.sendRequest('look'));
    }
    expect(before).toBe(2);
    expect(endless.requestCount - before).toBeLessThan(4);
    const broken = answers.filter(({isComplete}) => !isComplete);
    expect(broken).toHaveLength(endless.requestCount - before);
  });
});
