/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {Regions, regionsInBoth} from '../../index';

// Requests must not reach halls outside the allowed regions.
describe('Regions', () => {
  const regions = new Regions({e1: 'east', e2: 'east', w1: 'west'});

  test('returns the region of each hall', () => {
    expect(regions.regionOf('e2')).toBe('east');
    expect(regions.areTogether('e1', 'e2')).toBe(true);
    expect(regions.areTogether('e1', 'w1')).toBe(false);
    expect(regions.several).toBe(true);
  });

  test('treats an unlisted hall as a region of its own', () => {
    expect(regions.regionOf('x')).toBe('x');
    expect(regions.areTogether('x', 'e1')).toBe(false);
    expect(regions.allows(['east', 'west'], 'x')).toBe(false);
  });

  test('treats all halls as one region if fewer than two regions are listed', () => {
    const single = new Regions({a: 'r', b: 'r'});
    for (const current of [single, new Regions()]) {
      expect(current.several).toBe(false);
      expect(current.areTogether('a', 'b')).toBe(true);
      expect(current.areTogether('a', 'x')).toBe(true);
    }
  });

  test('allows every hall without a list, and only those in listed regions with one', () => {
    expect(regions.allows(undefined, 'x')).toBe(true);
    expect(regions.allows(['west'], 'w1')).toBe(true);
    expect(regions.allows(['west'], 'e1')).toBe(false);
    expect(regions.allows([], 'e1')).toBe(false);
  });

  test('applies a list of allowed regions even if no mapping is known', () => {
    expect(new Regions().allows(['east'], 'e1')).toBe(false);
  });

  test('replaces the mapping of halls to regions', () => {
    const updated = new Regions();
    updated.learn({e1: 'east', w1: 'west'});
    expect(updated.areTogether('e1', 'w1')).toBe(false);
    expect(updated.regionOf('e1')).toBe('east');
  });
});

describe('regionsInBoth', () => {
  test('returns the common regions, or the defined list if the other is undefined', () => {
    expect(regionsInBoth(undefined, undefined)).toBeUndefined();
    expect(regionsInBoth(['a'], undefined)).toEqual(['a']);
    expect(regionsInBoth(undefined, ['b'])).toEqual(['b']);
    expect(regionsInBoth(['a', 'b'], ['b', 'c'])).toEqual(['b']);
    expect(regionsInBoth(['a'], ['c'])).toEqual([]);
  });
});
