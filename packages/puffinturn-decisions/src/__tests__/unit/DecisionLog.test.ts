/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against lost failures and totals, and against an unbounded rate of lines. */
import type {Decision} from '../../index';
import {JsonDecisionLog} from '../../index';

function createRequestEnded(
  fields: {cause?: string; request?: string} = {},
): Decision {
  return {
    attempts: 1,
    cause: 'served',
    charged: 0,
    configuration: 1,
    event: 'request-ended',
    events: 0,
    request: 'r',
    route: 'a',
    upstream: 'i',
    status: 200,
    team: 't',
    tookMs: 1,
    ...fields,
  };
}

function createLog(linesPerSecond: number, successSampleInterval: number) {
  const lines: Record<string, unknown>[] = [];
  const clock = {now: 0};
  const log = new JsonDecisionLog({
    box: 'b',
    linesPerSecond,
    now: () => clock.now,
    successSampleInterval,
    write: (line) => lines.push(JSON.parse(line)),
  });
  return {clock, lines, log};
}

describe('JsonDecisionLog', () => {
  test('writes all failures but only a sample of the successful requests', () => {
    const {lines, log} = createLog(1_000, 10);
    for (let count = 0; count < 100; count += 1) {
      log.note(createRequestEnded());
      log.note(
        createRequestEnded({cause: 'no-upstream', request: `f${count}`}),
      );
    }
    const failures = lines.filter(({cause}) => cause === 'no-upstream');
    expect(failures).toHaveLength(100);
    expect(lines).toHaveLength(110);
    expect(lines[0]).toMatchObject({event: 'request-ended', request: 'r'});
  });

  test('writes totals after the rate limit is reached', () => {
    const {lines, log} = createLog(1, 1);
    for (let count = 0; count < 5; count += 1) {
      log.note(createRequestEnded({cause: 'no-upstream'}));
    }
    log.note({answers: [], event: 'answers-counted'});
    expect(lines).toHaveLength(2);
    expect(lines[1]).toMatchObject({event: 'answers-counted', leftOut: 4});
  });

  test('writes an overload event after the rate limit is reached', () => {
    const {lines, log} = createLog(1, 1);
    for (let count = 0; count < 5; count += 1) {
      log.note(createRequestEnded({cause: 'read-late'}));
    }
    log.note({ageMs: 600, event: 'backlog-changed', open: 9, phase: 'behind'});
    expect(lines.at(-1)).toMatchObject({event: 'backlog-changed', leftOut: 4});
  });

  test('writes a limited rate of departures after the rate limit is reached', () => {
    const {clock, lines, log} = createLog(6, 1);
    for (let count = 0; count < 12; count += 1) {
      log.note(createRequestEnded({cause: 'no-upstream'}));
    }
    const departure: Decision = {
      bornAt: 1,
      event: 'departure-decided',
      former: 'ready',
      formerAgeMs: 1,
      leader: 'c1',
      outcome: 'acknowledged',
      state: 'draining',
      tookMs: 1,
      upstream: 'i-1',
    };
    const writtenDepartures = (): number =>
      lines.filter(({event}) => event === 'departure-decided').length;
    for (let count = 0; count < 5; count += 1) {
      log.note(departure);
    }
    expect(writtenDepartures()).toBe(2);
    clock.now = 500;
    for (let count = 0; count < 9; count += 1) {
      log.note(createRequestEnded({cause: 'no-upstream'}));
    }
    log.note(departure);
    expect(writtenDepartures()).toBe(3);
  });

  test('writes all successful requests if the sampling interval is 1', () => {
    const {lines, log} = createLog(1_000, 1);
    for (let count = 0; count < 10; count += 1) {
      log.note(createRequestEnded());
    }
    expect(lines).toHaveLength(10);
  });

  test('enforces the rate limit and reports the number of dropped lines', () => {
    const {clock, lines, log} = createLog(5, 1);
    for (let count = 0; count < 12; count += 1) {
      log.note(createRequestEnded({cause: 'x'}));
    }
    expect(lines).toHaveLength(5);
    clock.now = 1_000;
    log.note(createRequestEnded({cause: 'x'}));
    expect(lines.at(-1)).toMatchObject({leftOut: 7});
  });
});
