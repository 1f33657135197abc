/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against a log line for every change of the queue age. */
import {InMemoryDecisionLog} from 'puffinturn-decisions';

import {BacklogLogger} from '../../callers/BacklogLogger';

describe('BacklogLogger', () => {
  test('logs one line for an overload and one for the recovery', () => {
    const log = new InMemoryDecisionLog();
    const logger = new BacklogLogger(log);
    for (const ageMs of [0, 400, 800.4, 3_000, 300, 0, 200, 0]) {
      logger.update(ageMs, 7);
    }
    expect(log.decisions).toEqual([
      {ageMs: 800, event: 'backlog-changed', open: 7, phase: 'behind'},
      {ageMs: 0, event: 'backlog-changed', open: 7, phase: 'caught-up'},
    ]);
  });
});
