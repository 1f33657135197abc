/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Simulated clock drift between boxes, far larger than that of real clocks. */

/** Clock rate of each box by its index in the fleet; longer fleets reuse the list. */
export const CLOCK_RATES = [1, 1.05, 0.95, 1.02, 1, 0.97, 1.04];

/** A timer of any box fires no earlier than its delay divided by this rate. */
export const FASTEST_CLOCK_RATE = Math.max(...CLOCK_RATES);
