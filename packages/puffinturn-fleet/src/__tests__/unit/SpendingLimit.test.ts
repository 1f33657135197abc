/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against reclaiming tokens that a killed edge may have spent. */
import type {MachineTime} from 'shared';

import type {AllowanceAsk, AllowanceOutcome} from '../../index';
import {FleetMachine} from '../../index';
import {configurationOf, teamOf} from '../utils/FleetFixture';

const LIMIT = {burst: 50, doublingS: 2, perSecond: 100};

/** Tokens taken at most in 1 s under LIMIT: 50 + 100 * (1 + 1 / 8), rounded up. */
const TAKEN_IN_1_S = 163;

function machineTime(seconds: number, bootId = 'boot-1'): MachineTime {
  return {bootId, steadyMs: seconds * 1_000, wallMs: 7e9 + seconds * 1_000};
}

function machineWithBudget(prepaidTokens: number): FleetMachine {
  const machine = new FleetMachine();
  const configuration = configurationOf(1, {teams: [teamOf({prepaidTokens})]});
  machine.apply({
    kind: 'configuration',
    stored: {configuration, document: ''},
  });
  return machine;
}

interface Exchange {
  readonly ask?: Partial<AllowanceAsk>;
  readonly sentAt?: MachineTime | undefined;
  readonly sequence?: number;
  readonly startedAt?: MachineTime | undefined;
}

/** Applies an exchange of one incarnation of the only edge. */
function exchange(
  machine: FleetMachine,
  holder: string,
  {ask, sentAt, sequence = 1, startedAt}: Exchange,
): AllowanceOutcome {
  const asks = ask === undefined ? [] : [completeAsk(ask)];
  const record = {asks, box: 'e', holder, sentAt, sequence, startedAt};
  return machine.apply({...record, kind: 'allowance'}) as AllowanceOutcome;
}

function completeAsk(ask: Partial<AllowanceAsk>): AllowanceAsk {
  return {
    back: 0,
    lent: 0,
    limit: LIMIT,
    need: 0,
    share: 1,
    spent: 0,
    team: 't',
    want: 0,
    ...ask,
  };
}

/** A machine whose first incarnation took 1,000 tokens at 10 s of its machine. */
function machineWithHolder(ask: Partial<AllowanceAsk> = {}): FleetMachine {
  const machine = machineWithBudget(1_000);
  exchange(machine, 'first', {
    ask: {need: 1_000, ...ask},
    sentAt: machineTime(10),
    startedAt: machineTime(1),
  });
  return machine;
}

describe('The tokens of an ended incarnation', () => {
  test('are reclaimed but for what it may have taken since its last exchange', () => {
    const machine = machineWithHolder();
    const outcome = exchange(machine, 'second', {startedAt: machineTime(11)});
    const reclaimed = 1_000 - TAKEN_IN_1_S;
    expect(outcome).toMatchObject({
      reclaimed: [{amount: reclaimed, team: 't'}],
      writtenOff: [{amount: TAKEN_IN_1_S, team: 't'}],
    });
    expect(machine.grantedTokens('t')).toBe(TAKEN_IN_1_S);
  });

  test('are reclaimed after a snapshot too', () => {
    const machine = new FleetMachine();
    machine.restore(machineWithHolder().snapshot());
    exchange(machine, 'second', {startedAt: machineTime(11)});
    expect(machine.grantedTokens('t')).toBe(TAKEN_IN_1_S);
  });

  test.each([
    ['the machine booted again', {}, machineTime(11, 'boot-2')],
    ['the steady clock started anew', {}, machineTime(2)],
    [
      'the wall time tells of a longer time',
      {},
      {...machineTime(11), wallMs: machineTime(60).wallMs},
    ],
    ['the machine tells no time', {}, undefined],
    ['no limit was announced', {limit: undefined}, machineTime(11)],
    ['too much time has passed', {}, machineTime(30)],
  ])('are written off if %s', (_case, ask, startedAt) => {
    const machine = machineWithHolder(ask);
    exchange(machine, 'second', {startedAt});
    expect(machine.grantedTokens('t')).toBe(1_000);
  });

  test('are not returned again by an exchange that arrives later', () => {
    const machine = machineWithHolder();
    exchange(machine, 'second', {startedAt: machineTime(11)});
    exchange(machine, 'first', {
      ask: {back: 400},
      sentAt: machineTime(10.2),
      sequence: 2,
      startedAt: machineTime(1),
    });
    expect(machine.grantedTokens('t')).toBe(TAKEN_IN_1_S);
  });

  test('are kept if the first exchange of an earlier incarnation arrives late', () => {
    const machine = machineWithHolder();
    const late = exchange(machine, 'earlier', {
      ask: {need: 10},
      sentAt: machineTime(0.5),
      startedAt: machineTime(0.2),
    });
    expect(late.grants).toEqual([]);
    expect(machine.grantedTokens('t')).toBe(1_000);
    const next = exchange(machine, 'first', {
      ask: {spent: 10},
      sentAt: machineTime(10.5),
      sequence: 2,
      startedAt: machineTime(1),
    });
    expect(next.reclaimed).toBeUndefined();
    expect(machine.grantedTokens('t')).toBe(1_000);
  });
});
