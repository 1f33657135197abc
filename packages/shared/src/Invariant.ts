/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Assertions against programming errors. Failures caused by users or the network
 * are returned as Failure values instead of thrown.
 */

/** Thrown when an invariant is violated, which is always a bug. */
export class InvariantError extends Error {}

/** Throws an InvariantError if `condition` is falsy. */
export function invariant(
  condition: unknown,
  message: string,
): asserts condition {
  if (!condition) {
    throw new InvariantError(message);
  }
}
