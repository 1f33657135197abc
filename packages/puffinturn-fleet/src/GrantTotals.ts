/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Totals of the core for its log, once a second while edges exchange allowances:
 * what is granted of each budget. With the edges' own totals they show whether more
 * tokens are about than the core has granted.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import {largestTeams} from 'puffinturn-decisions';
import type {Clock} from 'shared';
import {TaskGroup} from 'shared';

import type {FleetMachine} from './FleetMachine';

/** Time over which exchanges are gathered for one line, ms. */
const TOTALS_EVERY_MS = 1_000;

/** See the module comment. */
export class GrantTotals implements AsyncDisposable {
  private readonly tasks = new TaskGroup();
  private teams = new Set<string>();

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
    private readonly machine: FleetMachine,
  ) {}

  /** Takes note of teams whose tokens have moved. */
  count(teams: readonly string[]): void {
    if (this.teams.size === 0 && teams.length > 0) {
      this.tasks.start((signal) => this.writeLater(signal));
    }
    for (const team of teams) {
      this.teams.add(team);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async writeLater(signal: AbortSignal): Promise<void> {
    await this.clock.sleep(TOTALS_EVERY_MS, signal);
    const all = [...this.teams].map((team) => this.machine.grantsOf(team));
    this.teams = new Set();
    const teams = largestTeams(all, ({granted}) => granted);
    this.log.note({event: 'grants-counted', teams});
  }
}
