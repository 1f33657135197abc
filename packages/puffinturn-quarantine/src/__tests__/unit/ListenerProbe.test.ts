/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against a delay of this process that counts as silence of a listener. */
import type {AddressInfo} from 'node:net';
import {createServer} from 'node:net';

import {LISTENER_STATE, probeListener} from '../../ListenerProbe';

const HOST = '127.0.0.1';
const TIMEOUT_MS = 50;

/** Keeps the event loop from running. */
function block(ms: number): void {
  const cell = new Int32Array(new SharedArrayBuffer(4));
  Atomics.wait(cell, 0, 0, ms);
}

test('A probe finds a listener although its time-out passed while the process was blocked', async () => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const {port} = server.address() as AddressInfo;
  const probe = probeListener(HOST, port, TIMEOUT_MS);
  block(3 * TIMEOUT_MS);
  expect(await probe).toBe(LISTENER_STATE.listening);
  server.close();
});
