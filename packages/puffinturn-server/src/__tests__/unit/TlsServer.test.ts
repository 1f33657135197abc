/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */
/** Guards against limits that lose track of connections over TLS. */
import {request} from 'node:https';
import {createServer} from 'node:https';
import type {AddressInfo} from 'node:net';
import {connect} from 'node:net';

import {generate} from 'selfsigned';
import {SystemClock} from 'shared';

import {BOUNDED_SERVER_OPTIONS, BoundedServer} from '../../BoundedServer';
import {
  ClientLimitsSchema,
  deriveServerLimits,
  FORWARDING_SHARES,
} from '../../ServerLimits';

const HOST = '127.0.0.1';
const LIMITS = deriveServerLimits(
  {descriptors: 1_000, memoryMb: 350},
  FORWARDING_SHARES,
  ClientLimitsSchema.parse({maxConnections: 2}),
);

/** Sends a request over a connection of its own; returns the status. */
function send(port: number, body: string): Promise<number> {
  return new Promise((resolve, reject) => {
    const outgoing = request(
      {
        agent: false,
        host: HOST,
        method: 'POST',
        port,
        rejectUnauthorized: false,
      },
      (incoming) => {
        incoming.resume();
        incoming.on('end', () => resolve(incoming.statusCode ?? 0));
      },
    );
    outgoing.on('error', reject);
    outgoing.end(body);
  });
}

test('a server over TLS answers, beside connections without a handshake', async () => {
  const {cert, private: key} = await generate([
    {name: 'commonName', value: 'box'},
  ]);
  const server = createServer({...BOUNDED_SERVER_OPTIONS, cert, key});
  const bodies: string[] = [];
  const bounded = new BoundedServer(
    server,
    (_, response, body) => {
      void body.read(1_000).then((read) => {
        bodies.push(read.unwrapOr(Buffer.alloc(0)).toString());
        response.end('ok');
      });
    },
    {
      clock: new SystemClock(),
      limits: LIMITS,
      observer: {onLimit: () => undefined, onReport: () => undefined},
    },
  );
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const {port} = server.address() as AddressInfo;
  const silent = Array.from({length: 5}, () =>
    connect(port, HOST).on('error', () => undefined),
  );
  while (bounded.usage.connections < LIMITS.maxConnections) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  expect(await send(port, 'first')).toBe(200);
  expect(await send(port, 'second')).toBe(200);
  expect(bodies).toEqual(['first', 'second']);
  expect(bounded.usage.connections).toBeLessThanOrEqual(LIMITS.maxConnections);
  for (const socket of silent) {
    socket.destroy();
  }
  while (bounded.usage.connections > 0) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  bounded[Symbol.dispose]();
  await new Promise((resolve) => server.close(resolve));
});
