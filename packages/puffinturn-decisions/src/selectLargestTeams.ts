/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Selects the teams listed in a log line about tokens. */

/** Bounds the length of a line, because there may be thousands of teams. */
const MAX_LOGGED_TEAMS = 12;

/** Returns the teams with the largest amounts, in descending order. */
export function selectLargestTeams<Team>(
  teams: readonly Team[],
  amountOf: (team: Team) => number,
): Team[] {
  return [...teams]
    .sort((a, b) => amountOf(b) - amountOf(a))
    .slice(0, MAX_LOGGED_TEAMS);
}
