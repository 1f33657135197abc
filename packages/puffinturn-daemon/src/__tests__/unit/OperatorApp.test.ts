/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against operator requests whose bodies use up the memory of the process, or come
 * into force with other characters.
 */
import {createHash} from 'node:crypto';

import {jest} from '@jest/globals';

import type {OperatorAppParts} from '../../OperatorApp';
import {createOperatorApp} from '../../OperatorApp';

const KEY = 'operator-key';
const PIECE = Buffer.alloc(64 * 1024, ' ');

/** No process may read more of a body than this, bytes; it takes 4 MiB. */
const MAX_READ_BYTES = 8 * 1024 * 1024;

/** Far more than any limit, so that the test ends, bytes. */
const ENDLESS_BYTES = 64 * 1024 * 1024;

function createApp(api: Partial<OperatorAppParts['api']> = {}) {
  const sha256 = createHash('sha256').update(KEY).digest('hex');
  return createOperatorApp({
    api,
    keys: [{name: 'operator', sha256}],
  } as unknown as OperatorAppParts);
}

describe('An operator request', () => {
  // Only a length in the headers was checked, and a body in chunks has none.
  test('with an endless body in chunks is rejected', async () => {
    const app = createApp();
    let sentBytes = 0;
    const body = new ReadableStream({
      pull(controller) {
        sentBytes += PIECE.length;
        controller.enqueue(PIECE);
        if (sentBytes >= ENDLESS_BYTES) {
          controller.close();
        }
      },
    });
    const response = await app.request('/v1/declarations', {
      body,
      duplex: 'half',
      headers: {authorization: `Bearer ${KEY}`},
      method: 'POST',
    } as RequestInit);
    expect(response.status).toBe(413);
    expect(sentBytes).toBeLessThan(MAX_READ_BYTES);
  });

  // Each byte that is no UTF-8 was replaced: the rule came into force and refused nothing.
  test('that is no UTF-8 is rejected', async () => {
    const declare = jest.fn<OperatorAppParts['api']['declare']>();
    const when = 'model == "caf\xe9"';
    const rule = {action: 'refuse', name: 'r', reason: 'no', when};
    const spec = {rules: [rule]};
    const policy = {kind: 'policy', name: 'p', number: 1, spec};
    const response = await createApp({declare}).request('/v1/declarations', {
      body: Buffer.from(JSON.stringify(policy), 'latin1'),
      headers: {authorization: `Bearer ${KEY}`},
      method: 'POST',
    });
    expect(response.status).toBe(400);
    expect(await response.text()).toContain('bytes that are no UTF-8');
    expect(declare).not.toHaveBeenCalled();
  });
});
