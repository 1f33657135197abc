/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {Decision} from '../../index';
import {JsonDecisionLog} from '../../index';

function ended(fields: {cause?: string; request?: string} = {}): Decision {
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

function logWith(linesPerSecond: number, successSample: number) {
  const lines: Record<string, unknown>[] = [];
  const time = {now: 0};
  const log = new JsonDecisionLog({
    box: 'b',
    linesPerSecond,
    now: () => time.now,
    successSample,
    write: (line) => lines.push(JSON.parse(line)),
  });
  return {lines, log, time};
}

describe('JsonDecisionLog', () => {
  test('writes every failure and a sample of plain successes', () => {
    const {lines, log} = logWith(1_000, 10);
    for (let count = 0; count < 100; count += 1) {
      log.note(ended());
      log.note(ended({cause: 'no-upstream', request: `f${count}`}));
    }
    const failures = lines.filter(({cause}) => cause === 'no-upstream');
    expect(failures).toHaveLength(100);
    expect(lines).toHaveLength(110);
    expect(lines[0]).toMatchObject({event: 'request-ended', request: 'r'});
  });

  test('writes totals also once the limit of lines is reached', () => {
    const {lines, log} = logWith(1, 1);
    for (let count = 0; count < 5; count += 1) {
      log.note(ended({cause: 'no-upstream'}));
    }
    log.note({answers: [], event: 'answers-counted'});
    expect(lines).toHaveLength(2);
    expect(lines[1]).toMatchObject({event: 'answers-counted', leftOut: 4});
  });

  test('says that an edge is behind also once the limit is reached', () => {
    const {lines, log} = logWith(1, 1);
    for (let count = 0; count < 5; count += 1) {
      log.note(ended({cause: 'read-late'}));
    }
    log.note({ageMs: 600, event: 'backlog-changed', open: 9, phase: 'behind'});
    expect(lines.at(-1)).toMatchObject({event: 'backlog-changed', leftOut: 4});
  });

  test('writes every success where one in one is sampled', () => {
    const {lines, log} = logWith(1_000, 1);
    for (let count = 0; count < 10; count += 1) {
      log.note(ended());
    }
    expect(lines).toHaveLength(10);
  });

  test('holds its limit and says how many lines were left out', () => {
    const {lines, log, time} = logWith(5, 1);
    for (let count = 0; count < 12; count += 1) {
      log.note(ended({cause: 'x'}));
    }
    expect(lines).toHaveLength(5);
    time.now = 1_000;
    log.note(ended({cause: 'x'}));
    expect(lines.at(-1)).toMatchObject({leftOut: 7});
  });
});
