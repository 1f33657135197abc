/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Which teams a line about tokens names. */

/** Teams that a line names; there may be thousands. */
const MAX_TEAMS_NOTED = 12;

/** Those with most tokens, the largest amount first. */
export function largestTeams<Team>(
  all: readonly Team[],
  amountOf: (team: Team) => number,
): Team[] {
  return [...all]
    .sort((a, b) => amountOf(b) - amountOf(a))
    .slice(0, MAX_TEAMS_NOTED);
}
