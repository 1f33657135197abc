/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {fingerprintOf} from '../../Fingerprint';

const REQUEST = {
  body: Buffer.from('a prompt'),
  caller: 't',
  host: 'a.example',
  method: 'POST',
  path: '/chat/1?q=2',
};

/** Guards against confusing different requests and against missing repeated ones. */
describe('fingerprintOf', () => {
  test('returns the same fingerprint for the same request', () => {
    const copy = {...REQUEST, body: Buffer.from('a prompt')};
    expect(fingerprintOf(copy)).toBe(fingerprintOf(REQUEST));
    expect(fingerprintOf(REQUEST)).toMatch(/^[0-9a-f]{32}$/);
  });

  test.each([
    {body: Buffer.from('another prompt')},
    {body: Buffer.alloc(0)},
    {caller: 'u'},
    {host: 'b.example'},
    {method: 'PUT'},
    {path: '/chat/1?q=3'},
  ])('returns another fingerprint for %p', (fields) => {
    const other = fingerprintOf({...REQUEST, ...fields});
    expect(other).not.toBe(fingerprintOf(REQUEST));
  });

  test('separates adjacent parts of a request', () => {
    const first = fingerprintOf({...REQUEST, caller: 'tu', path: '/v'});
    const second = fingerprintOf({...REQUEST, caller: 't', path: 'u/v'});
    expect(first).not.toBe(second);
  });
});
