/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {KeptDecisionLog} from 'puffinturn-decisions';

import {BacklogLines} from '../../callers/BacklogLines';

describe('BacklogLines', () => {
  test('say once that an edge is behind, and once that it has caught up', () => {
    const log = new KeptDecisionLog();
    const lines = new BacklogLines(log);
    for (const ageMs of [0, 400, 800.4, 3_000, 300, 0, 200, 0]) {
      lines.update(ageMs, 7);
    }
    expect(log.lines).toEqual([
      {ageMs: 800, event: 'backlog-changed', open: 7, phase: 'behind'},
      {ageMs: 0, event: 'backlog-changed', open: 7, phase: 'caught-up'},
    ]);
  });
});
