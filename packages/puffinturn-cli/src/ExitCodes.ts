/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Exit codes of the command-line tool, documented in docs/operators/tool.md. */

/** Exit codes by meaning. */
export const EXIT = {
  /** A conflicting change was accepted first, or a newer one is in force. */
  conflict: 3,
  /** `diff` found differences. */
  differs: 4,
  /** The fleet was unreachable or rejected the request. */
  failed: 1,
  ok: 0,
  /** Accepted, but not yet in force in every region. */
  pending: 5,
  /** Wrong arguments or invalid files. */
  usage: 2,
} as const;

/** Value of `EXIT`. */
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];
