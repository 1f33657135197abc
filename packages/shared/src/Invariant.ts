/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Checks for programmer mistakes. Failures that users or the network can cause
 * are values (see Failure), never exceptions.
 */

/** Thrown when an invariant does not hold: a bug in this project. */
export class InvariantError extends Error {}

/** Throws InvariantError unless `condition` holds. */
export function invariant(
  condition: unknown,
  message: string,
): asserts condition {
  if (!condition) {
    throw new InvariantError(message);
  }
}
