/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Waiting by turns of the event loop rather than by time. */

/**
 * Resolves in the given turn of the event loop that ends from now on; 1 is the
 * present one. Each turn reads once from every connection that has something.
 */
export async function eventLoopTurns(count: number): Promise<void> {
  for (let turn = 0; turn < count; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
