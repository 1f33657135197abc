/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Admissions of one process that are not closed yet. */

/** Serials handed out and not closed. */
export class OpenAdmissions {
  private readonly open = new Set<number>();
  private last = 0;

  /** A new serial, open until closed. */
  next(): number {
    this.last += 1;
    this.open.add(this.last);
    return this.last;
  }

  /** Says that an admission is closed, or was never made. */
  close(serial: number): void {
    this.open.delete(serial);
  }

  /** Every serial below is closed. Serials are added in rising order. */
  get floor(): number {
    const [first] = this.open;
    return first ?? this.last + 1;
  }

  /** Admissions that are open. */
  get size(): number {
    return this.open.size;
  }
}
