/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Open admissions of one incarnation. */

/** Allocates admission serials and tracks which ones are open. */
export class OpenAdmissions {
  private readonly openSerials = new Set<number>();
  private lastSerial = 0;

  /** Allocates the next serial and marks it as open. */
  allocate(): number {
    this.lastSerial += 1;
    this.openSerials.add(this.lastSerial);
    return this.lastSerial;
  }

  /** Closes an admission that has ended or was never granted. */
  close(serial: number): void {
    this.openSerials.delete(serial);
  }

  /** The lowest open serial, or the next one if none is open. Never decreases. */
  get lowestOpenSerial(): number {
    // Serials are added in ascending order, and a Set keeps insertion order.
    const [lowestOpen] = this.openSerials;
    return lowestOpen ?? this.lastSerial + 1;
  }

  /** Number of open admissions. */
  get size(): number {
    return this.openSerials.size;
  }
}
