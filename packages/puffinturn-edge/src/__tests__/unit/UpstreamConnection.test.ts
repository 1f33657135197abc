/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {Socket} from 'node:net';

import {connectionOf} from '../../connections/UpstreamConnection';

describe('connectionOf', () => {
  test('watches a connection once, however many requests it serves', () => {
    const socket = new Socket();
    const before = socket.listenerCount('end');
    const connection = connectionOf(socket);
    for (let request = 0; request < 50; request += 1) {
      expect(connectionOf(socket)).toBe(connection);
    }
    expect(socket.listenerCount('end')).toBe(before + 1);
    expect(socket.listenerCount('error')).toBe(1);
  });

  test('notes a failure for good', () => {
    const socket = new Socket();
    const connection = connectionOf(socket);
    socket.emit('error', new Error('reset'));
    expect(connection.harmed).toBe(true);
  });

  test('takes an end without a peer for a reset', () => {
    const socket = new Socket();
    const connection = connectionOf(socket);
    socket.emit('end');
    expect(connection.harmed).toBe(true);
  });
});
