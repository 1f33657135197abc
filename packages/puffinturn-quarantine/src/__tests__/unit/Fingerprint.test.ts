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

describe('A fingerprint', () => {
  test('is the same for the same request', () => {
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
  ])('differs with %p', (fields) => {
    const other = fingerprintOf({...REQUEST, ...fields});
    expect(other).not.toBe(fingerprintOf(REQUEST));
  });

  test('does not confuse where one part ends and the next begins', () => {
    const one = fingerprintOf({...REQUEST, caller: 'tu', path: '/v'});
    const other = fingerprintOf({...REQUEST, caller: 't', path: 'u/v'});
    expect(one).not.toBe(other);
  });
});
