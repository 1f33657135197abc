/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** How fast the clocks of boxes run; real ones differ by far less. */

/** The rate of each box by its place in the list, and again from the start. */
export const CLOCK_RATES = [1, 1.05, 0.95, 1.02, 1, 0.97, 1.04];

/** A wait of any box is over after this part of it at the earliest. */
export const FASTEST_CLOCK = Math.max(...CLOCK_RATES);
