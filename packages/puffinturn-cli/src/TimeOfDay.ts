/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Formats the time of day in UTC. */

/** Formats milliseconds since the epoch as `HH:MM:SS.mmm`. */
export function formatTimeOfDay(time: number): string {
  return new Date(time).toISOString().slice(11, 23);
}
