/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The shape that every failure of the project has. */

/** A failure: `kind` is stable and for programs, `message` is for people. */
export interface Failure<Kind extends string = string> {
  readonly kind: Kind;
  readonly message: string;
}

/** Describes any thrown value in one line. */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
