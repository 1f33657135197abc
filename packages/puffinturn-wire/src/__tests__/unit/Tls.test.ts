/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against connections from boxes without a trusted certificate. */
import {createSecretKey} from 'node:crypto';

import {generate} from 'selfsigned';
import {invariant, SystemClock} from 'shared';

import type {Address, LinkTls} from '../../index';
import {TcpLink} from '../../index';

const KEY = createSecretKey(Buffer.alloc(32, 1));

async function createTls(): Promise<LinkTls> {
  const made = await generate([{name: 'commonName', value: 'fleet'}], {
    keySize: 2048,
  });
  return {ca: made.cert, cert: made.cert, key: made.private};
}

async function openLink(
  box: string,
  addresses: Map<string, Address>,
  tls?: LinkTls,
): Promise<TcpLink> {
  const opened = await TcpLink.open({
    addressOf: (name) => addresses.get(name),
    box,
    clock: new SystemClock(),
    key: KEY,
    listen: {host: '127.0.0.1', port: 0},
    tls,
  });
  invariant(opened.isOk(), 'the link must open');
  addresses.set(box, {host: '127.0.0.1', port: opened.value.port});
  return opened.value;
}

test('accepts boxes with a trusted certificate and rejects all others', async () => {
  const tls = await createTls();
  const addresses = new Map<string, Address>();
  await using a = await openLink('a', addresses, tls);
  await using b = await openLink('b', addresses, tls);
  await using plain = await openLink('plain', addresses);
  await using stranger = await openLink(
    'stranger',
    addresses,
    await createTls(),
  );
  b.register('echo', async (body) => body);
  const heard = await a.call('b', 'echo', 'hello', 5_000);
  expect(heard._unsafeUnwrap()).toBe('hello');
  for (const other of [plain, stranger]) {
    const refused = await other.call('b', 'echo', 'hello', 5_000);
    expect(refused._unsafeUnwrapErr().kind).toBe('not-sent');
  }
}, 30_000);
