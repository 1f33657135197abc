/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against waiting for a body that never follows, and against telling callers a
 * length of zero for it.
 */
import {RetryBudgets} from '../../requests/RetryBudgets';
import {CutUpstream} from '../utils/CutUpstream';
import {createRoute, ForwardingFixture} from '../utils/ForwardingFixture';

const IDENTITY = 'x-request: ID\r\nx-seal: seal\r\n';
const LENGTH = 'Content-Length: 14\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n';

const HEADS = [
  {fields: LENGTH, length: '14', method: 'HEAD', status: '200 OK'},
  {fields: CHUNKED, length: undefined, method: 'HEAD', status: '200 OK'},
  {fields: LENGTH, length: '14', method: 'GET', status: '304 Not Modified'},
  {
    fields: CHUNKED,
    length: undefined,
    method: 'GET',
    status: '304 Not Modified',
  },
  {fields: '', length: undefined, method: 'GET', status: '304 Not Modified'},
  {fields: LENGTH, length: undefined, method: 'GET', status: '204 No Content'},
  {fields: '', length: undefined, method: 'GET', status: '204 No Content'},
];

describe('A response without a body', () => {
  test.each(HEADS)(
    'arrives at once, on a connection that is reused: $method, $status, $fields',
    async ({fields, length, method, status}) => {
      let reuseCount = 0;
      await using upstream = await CutUpstream.start('a', ({earlierIds}) => {
        reuseCount += earlierIds.length;
        return {bytes: `HTTP/1.1 ${status}\r\n${IDENTITY}${fields}\r\n`};
      });
      const timeoutMs = 1_000;
      const retryBudgets = new RetryBudgets({extra: 9, ratio: 1}, () => 1);
      await using edge = await ForwardingFixture.start(
        [createRoute('look', {timeoutMs})],
        () => ({retryBudgets}),
      );
      edge.pool.merge([upstream.record()], 'test');
      for (let count = 0; count < 2; count += 1) {
        expect(await edge.sendRequest('look', method)).toMatchObject({
          body: '',
          contentLength: length,
          isComplete: true,
          status: Number.parseInt(status, 10),
        });
      }
      expect(reuseCount).toBe(1);
    },
  );
});
