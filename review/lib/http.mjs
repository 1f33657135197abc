/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** HTTP calls of clients and of the operator. */
import {Agent, request} from 'node:http';

/** Sends a request and reads the whole answer; rejects on a broken connection. */
export function send(host, port, options) {
  const {agent, body, headers = {}, method = 'GET', path, timeoutMs} = options;
  return new Promise((resolve, reject) => {
    const outgoing = request(
      {agent: agent ?? new Agent(), headers, host, method, path, port},
      (incoming) => {
        const chunks = [];
        incoming.on('data', (chunk) => chunks.push(chunk));
        incoming.on('error', reject);
        incoming.on('close', () => {
          if (!incoming.complete) {
            reject(new Error('answer cut short'));
          }
        });
        incoming.on('end', () =>
          resolve({
            body: Buffer.concat(chunks).toString(),
            headers: incoming.headers,
            status: incoming.statusCode,
          }),
        );
      },
    );
    if (timeoutMs !== undefined) {
      outgoing.setTimeout(timeoutMs, () =>
        outgoing.destroy(new Error('no answer in time')),
      );
    }
    outgoing.on('error', reject);
    outgoing.end(body);
  });
}
