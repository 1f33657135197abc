/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against text that is altered where bytes are no UTF-8. */
import {decodeUtf8, parseUtf8Json} from '../../Utf8';

describe('Text of other programs', () => {
  test('is decoded as it is', () => {
    const text = '{"name":"é€😀"}';
    const bytes = Buffer.from(text);
    expect(decodeUtf8(bytes)._unsafeUnwrap()).toBe(text);
    expect(parseUtf8Json(bytes)._unsafeUnwrap()).toEqual({name: 'é€😀'});
  });

  test.each([
    ['a byte of another encoding', [0x22, 0xe9, 0x22]],
    ['a sequence that ends early', [0x22, 0xe2, 0x82, 0x22]],
    ['an overlong sequence', [0x22, 0xc0, 0xaf, 0x22]],
    ['half of a surrogate pair', [0x22, 0xed, 0xa0, 0x80, 0x22]],
  ])('fails at %s', (_name, bytes) => {
    expect(decodeUtf8(Uint8Array.from(bytes)).isErr()).toBe(true);
    expect(parseUtf8Json(Uint8Array.from(bytes)).isErr()).toBe(true);
  });

  test('fails at what is no JSON', () => {
    expect(parseUtf8Json(Buffer.from('{')).isErr()).toBe(true);
  });
});
