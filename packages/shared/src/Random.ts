/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Seeded pseudo-random numbers. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A deterministic pseudo-random number generator. */
export class Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns an integer from `low` to `high`, both inclusive. */
  integer(low: number, high: number): number {
    return uniformInt(this.generator, low, high);
  }

  /** Returns a number in [0, 1). */
  fraction(): number {
    return uniformFloat64(this.generator);
  }

  /** Returns one of `items`, or undefined if it is empty. */
  pick<Item>(items: readonly Item[]): Item | undefined {
    return items.length === 0
      ? undefined
      : items[this.integer(0, items.length - 1)];
  }
}

/**
 * Selects an item by weight, given a random `fraction` in [0, 1). Returns
 * undefined if all weights are 0.
 */
export function selectByWeight<Item>(
  items: readonly Item[],
  weightOf: (item: Item) => number,
  fraction: number,
): Item | undefined {
  const totalWeight = items.reduce((total, item) => total + weightOf(item), 0);
  let remaining = fraction * totalWeight;
  return items.find((item) => {
    remaining -= weightOf(item);
    return remaining < 0;
  });
}
