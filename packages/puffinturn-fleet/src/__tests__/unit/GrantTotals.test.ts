/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {InMemoryDecisionLog} from 'puffinturn-decisions';
import {ManualClock} from 'shared';

import {GrantTotals} from '../../GrantTotals';
import {FleetMachine} from '../../index';
import {configurationOf, teamOf} from '../utils/FleetFixture';

// Continuous exchanges must not flood the log, and idle periods must log nothing.
describe('GrantTotals', () => {
  test('logs granted tokens once a second, and nothing while idle', async () => {
    const clock = new ManualClock();
    const log = new InMemoryDecisionLog();
    const machine = new FleetMachine();
    const teams = [teamOf({prepaidTokens: 1_000})];
    const configuration = configurationOf(1, {teams});
    machine.apply({
      kind: 'configuration',
      stored: {configuration, document: 'unused'},
    });
    const ask = {back: 0, lent: 0, need: 300, share: 1, spent: 0, want: 0};
    machine.apply({
      asks: [{...ask, team: 't'}],
      box: 'e',
      holder: 'e 1',
      kind: 'allowance',
      sequence: 1,
    });
    await using totals = new GrantTotals(clock, log, machine);
    totals.recordTeams(['t']);
    totals.recordTeams(['t']);
    await clock.advance(10_000);
    expect(log.decisions).toEqual([
      {
        event: 'grants-counted',
        teams: [{granted: 300, held: 300, prepaid: 1_000, team: 't'}],
      },
    ]);
  });
});
