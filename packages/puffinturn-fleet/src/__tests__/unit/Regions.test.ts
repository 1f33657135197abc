/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {Regions, regionsInBoth} from '../../index';

describe('Regions', () => {
  const regions = new Regions({e1: 'east', e2: 'east', w1: 'west'});

  test('names the region of each hall', () => {
    expect(regions.regionOf('e2')).toBe('east');
    expect(regions.areTogether('e1', 'e2')).toBe(true);
    expect(regions.areTogether('e1', 'w1')).toBe(false);
    expect(regions.several).toBe(true);
  });

  test('takes a hall that it does not know for a region of its own', () => {
    expect(regions.regionOf('x')).toBe('x');
    expect(regions.areTogether('x', 'e1')).toBe(false);
    expect(regions.allows(['east', 'west'], 'x')).toBe(false);
  });

  test('has all halls together where it knows fewer than two regions', () => {
    const one = new Regions({a: 'r', b: 'r'});
    for (const few of [one, new Regions()]) {
      expect(few.several).toBe(false);
      expect(few.areTogether('a', 'b')).toBe(true);
      expect(few.areTogether('a', 'x')).toBe(true);
    }
  });

  test('allows every hall without a list, and only those named with one', () => {
    expect(regions.allows(undefined, 'x')).toBe(true);
    expect(regions.allows(['west'], 'w1')).toBe(true);
    expect(regions.allows(['west'], 'e1')).toBe(false);
    expect(regions.allows([], 'e1')).toBe(false);
  });

  test('binds a list also where no region is known', () => {
    expect(new Regions().allows(['east'], 'e1')).toBe(false);
  });

  test('learns another assignment', () => {
    const changing = new Regions();
    changing.learn({e1: 'east', w1: 'west'});
    expect(changing.areTogether('e1', 'w1')).toBe(false);
    expect(changing.regionOf('e1')).toBe('east');
  });
});

describe('regionsInBoth', () => {
  test('is what both lists name, and the other list where one is missing', () => {
    expect(regionsInBoth(undefined, undefined)).toBeUndefined();
    expect(regionsInBoth(['a'], undefined)).toEqual(['a']);
    expect(regionsInBoth(undefined, ['b'])).toEqual(['b']);
    expect(regionsInBoth(['a', 'b'], ['b', 'c'])).toEqual(['b']);
    expect(regionsInBoth(['a'], ['c'])).toEqual([]);
  });
});
