/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against undetected resets and against listeners added for each request. */
import {Socket} from 'node:net';

import {getConnectionState} from '../../connections/ConnectionState';

describe('getConnectionState', () => {
  test('adds its listeners once per socket', () => {
    const socket = new Socket();
    const before = socket.listenerCount('end');
    const connection = getConnectionState(socket);
    for (let request = 0; request < 50; request += 1) {
      expect(getConnectionState(socket)).toBe(connection);
    }
    expect(socket.listenerCount('end')).toBe(before + 1);
    expect(socket.listenerCount('error')).toBe(1);
  });

  test('records an error', () => {
    const socket = new Socket();
    const connection = getConnectionState(socket);
    socket.emit('error', new Error('reset'));
    expect(connection.hasFailed).toBe(true);
  });

  test('treats an end without a remote address as a reset', () => {
    const socket = new Socket();
    const connection = getConnectionState(socket);
    socket.emit('end');
    expect(connection.hasFailed).toBe(true);
  });
});
