/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The common type of failures that are returned as values. */

/** A failure with a stable, machine-readable `kind` and a readable `message`. */
export interface Failure<Kind extends string = string> {
  readonly kind: Kind;
  readonly message: string;
}

/** Returns the message of a thrown value. */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
