/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against an edge that reads more connections than it can serve in time, and
 * against closing connections on a calm day.
 */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {connect} from 'node:net';

import {SystemClock} from 'shared';

import {BacklogMonitor} from '../../callers/BacklogMonitor';
import {ConnectionShedding} from '../../callers/ConnectionShedding';

/** Work for one request, and number of requests: together far more than a second. */
const WORK_MS = 25;
const REQUESTS = 200;

/** Interval between the reports of a queue that is not empty, ms. */
const REPORT_INTERVAL_MS = 50;

function createShedding() {
  const shedding = new ConnectionShedding();
  /** Reports a queue age at a time; returns whether connections are closed then. */
  const isActiveAt = (now: number, queueAgeMs: number): boolean => {
    shedding.update(queueAgeMs, now);
    if (shedding.isActive) {
      shedding.recordClosed(now);
    }
    return shedding.isActive;
  };
  return isActiveAt;
}

/** Reports a queue age throughout a period, ms; no connection may be closed in it. */
function stayBehind(
  isActiveAt: (now: number, queueAgeMs: number) => boolean,
  [from, to]: readonly [number, number],
  queueAgeMs: number,
): void {
  for (let now = from; now < to; now += REPORT_INTERVAL_MS) {
    expect(isActiveAt(now, queueAgeMs)).toBe(false);
  }
}

describe('An edge that is behind with reading', () => {
  test('closes no connection after a short pause, or while the queue is short', () => {
    const isActiveAt = createShedding();
    expect(isActiveAt(0, 900)).toBe(false);
    expect(isActiveAt(900, 500)).toBe(false);
    expect(isActiveAt(950, 0)).toBe(false);
    for (let now = 1_000; now < 20_000; now += 100) {
      expect(isActiveAt(now, 300)).toBe(false);
    }
  });

  // A freeze right after a slow iteration counted as a second of overload.
  test('closes no connection after a freeze, also if the queue was not empty before', () => {
    const isActiveAt = createShedding();
    expect(isActiveAt(0, 160)).toBe(false);
    expect(isActiveAt(5_000, 5_000)).toBe(false);
    expect(isActiveAt(5_050, 0)).toBe(false);
  });

  test('closes connections if it stays behind after a freeze', () => {
    const isActiveAt = createShedding();
    stayBehind(isActiveAt, [0, 750], 4_000);
    expect(isActiveAt(1_000, 4_000)).toBe(true);
  });

  test('closes connections until its queue is empty', () => {
    const isActiveAt = createShedding();
    stayBehind(isActiveAt, [0, 1_000], 200);
    expect(isActiveAt(1_000, 500)).toBe(true);
    expect(isActiveAt(1_010, 200)).toBe(true);
    expect(isActiveAt(1_020, 0)).toBe(false);
  });

  test('closes connections sooner while the overload goes on, and not long after', () => {
    const isActiveAt = createShedding();
    stayBehind(isActiveAt, [0, 750], 500);
    expect(isActiveAt(1_000, 500)).toBe(true);
    expect(isActiveAt(1_010, 0)).toBe(false);
    expect(isActiveAt(1_500, 200)).toBe(false);
    expect(isActiveAt(1_700, 400)).toBe(true);
    expect(isActiveAt(1_710, 0)).toBe(false);
    expect(isActiveAt(60_000, 500)).toBe(false);
  });

  test('serves what it reads, and closes the rest unread', async () => {
    let handled = 0;
    let closed = 0;
    const server = createServer((_, response) => {
      handled += 1;
      const until = Date.now() + WORK_MS;
      while (Date.now() < until) {
        // Keeps the event loop busy, as the work for a request does.
      }
      response.end();
    });
    await new Promise<void>((resolve) =>
      server.listen(0, '127.0.0.1', resolve),
    );
    const {port} = server.address() as AddressInfo;
    const monitor = new BacklogMonitor(
      server,
      new SystemClock(),
      () => undefined,
      new ConnectionShedding(() => (closed += 1)),
    );
    const outcomes = await Promise.all(
      Array.from({length: REQUESTS}, () => sendRequest(port)),
    );
    monitor[Symbol.dispose]();
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
    const served = outcomes.filter((outcome) => outcome === 'served').length;
    expect(closed).toBeGreaterThan(0);
    expect(served).toBe(handled);
    expect(served + closed).toBe(REQUESTS);
    expect(outcomes.filter((outcome) => outcome === 'reset')).toHaveLength(
      closed,
    );
  });
});

/** Sends a request on a new connection; returns how it ended. */
function sendRequest(port: number): Promise<'reset' | 'served'> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    let received = '';
    socket.write('GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n');
    socket.on('data', (chunk) => (received += chunk.toString()));
    socket.on('error', () => undefined);
    socket.on('close', () =>
      resolve(received.startsWith('HTTP/1.1 200') ? 'served' : 'reset'),
    );
  });
}
