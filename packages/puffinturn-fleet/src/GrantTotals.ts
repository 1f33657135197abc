/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {DecisionLog} from 'puffinturn-decisions';
import {selectLargestTeams} from 'puffinturn-decisions';
import type {Clock} from 'shared';
import {TaskGroup} from 'shared';

import type {FleetMachine} from './FleetMachine';

/** Time over which exchanges are aggregated into one log line, ms. */
const LOG_INTERVAL_MS = 1_000;

/**
 * Logs the tokens granted per team, once a second while edges exchange allowances.
 * Compared with the totals that edges log, they reveal tokens that were never granted.
 */
export class GrantTotals implements AsyncDisposable {
  private readonly tasks = new TaskGroup();
  private changedTeams = new Set<string>();

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
    private readonly machine: FleetMachine,
  ) {}

  /** Includes teams in the next log line after an allowance exchange. */
  recordTeams(teams: readonly string[]): void {
    if (this.changedTeams.size === 0 && teams.length > 0) {
      this.tasks.start((signal) => this.logAfterInterval(signal));
    }
    for (const team of teams) {
      this.changedTeams.add(team);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async logAfterInterval(signal: AbortSignal): Promise<void> {
    await this.clock.sleep(LOG_INTERVAL_MS, signal);
    const grants = [...this.changedTeams].map((team) =>
      this.machine.tokenTotals(team),
    );
    this.changedTeams = new Set();
    const teams = selectLargestTeams(grants, ({granted}) => granted);
    this.log.note({event: 'grants-counted', teams});
  }
}
