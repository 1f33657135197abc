/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Counts reads from upstreams over direct connections, shared by all of them. */
export class ReadCounter {
  private count = 0;

  /** Number of reads since the start. */
  get value(): number {
    return this.count;
  }

  /** Counts one read. */
  increment(): void {
    this.count += 1;
  }
}
