/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Time of day in UTC, for tables. */

/** Hours to milliseconds of a time since the epoch, ms. */
export function timeOfDay(time: number): string {
  return new Date(time).toISOString().slice(11, 23);
}
