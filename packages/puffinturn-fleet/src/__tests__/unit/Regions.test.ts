/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {intersectRegions, Regions} from '../../index';

// Requests must not reach halls outside the allowed regions.
describe('Regions', () => {
  const regions = new Regions({e1: 'east', e2: 'east', w1: 'west'});

  test('returns the region of each hall', () => {
    expect(regions.regionOf('e2')).toBe('east');
    expect(regions.areInSameRegion('e1', 'e2')).toBe(true);
    expect(regions.areInSameRegion('e1', 'w1')).toBe(false);
    expect(regions.hasMultipleRegions).toBe(true);
  });

  test('treats an unlisted hall as a region of its own', () => {
    expect(regions.regionOf('x')).toBe('x');
    expect(regions.areInSameRegion('x', 'e1')).toBe(false);
    expect(regions.isHallAllowed(['east', 'west'], 'x')).toBe(false);
  });

  test('treats all halls as one region if fewer than two regions are listed', () => {
    const single = new Regions({a: 'r', b: 'r'});
    for (const current of [single, new Regions()]) {
      expect(current.hasMultipleRegions).toBe(false);
      expect(current.areInSameRegion('a', 'b')).toBe(true);
      expect(current.areInSameRegion('a', 'x')).toBe(true);
    }
  });

  test('allows every hall without a list, and only those in listed regions with one', () => {
    expect(regions.isHallAllowed(undefined, 'x')).toBe(true);
    expect(regions.isHallAllowed(['west'], 'w1')).toBe(true);
    expect(regions.isHallAllowed(['west'], 'e1')).toBe(false);
    expect(regions.isHallAllowed([], 'e1')).toBe(false);
  });

  test('applies a list of allowed regions even if no mapping is known', () => {
    expect(new Regions().isHallAllowed(['east'], 'e1')).toBe(false);
  });

  test('replaces the mapping of halls to regions', () => {
    const updated = new Regions();
    updated.setRegions({e1: 'east', w1: 'west'});
    expect(updated.areInSameRegion('e1', 'w1')).toBe(false);
    expect(updated.regionOf('e1')).toBe('east');
  });
});

describe('intersectRegions', () => {
  test('returns the common regions, or the defined list if the other is undefined', () => {
    expect(intersectRegions(undefined, undefined)).toBeUndefined();
    expect(intersectRegions(['a'], undefined)).toEqual(['a']);
    expect(intersectRegions(undefined, ['b'])).toEqual(['b']);
    expect(intersectRegions(['a', 'b'], ['b', 'c'])).toEqual(['b']);
    expect(intersectRegions(['a'], ['c'])).toEqual([]);
  });
});
