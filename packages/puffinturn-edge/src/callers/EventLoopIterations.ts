/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Waiting for event loop iterations instead of time. */

/**
 * Waits for `count` event loop iterations, the current one included. Each iteration
 * reads once from every connection that has data.
 */
export async function waitForLoopIterations(count: number): Promise<void> {
  for (let iteration = 0; iteration < count; iteration += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
