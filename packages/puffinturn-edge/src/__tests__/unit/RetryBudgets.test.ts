/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against edges that together retry more often than the limit of a service allows. */
import {RetryBudgets} from '../../requests/RetryBudgets';

const SERVICE = 's';
const LIMIT = {extra: 60, ratio: 0};

function countRetries(budgets: RetryBudgets): number {
  let count = 0;
  while (budgets.tryConsume(SERVICE)) {
    count += 1;
  }
  return count;
}

describe('RetryBudgets', () => {
  test('gives an edge a smaller share once it knows more edges', () => {
    let edgeCount = 1;
    const budgets = new RetryBudgets(LIMIT, () => edgeCount);
    budgets.recordRequest(SERVICE);
    edgeCount = 12;
    expect(countRetries(budgets)).toBe(3);
  });

  test('gives an edge no more at once when others leave', () => {
    let edgeCount = 12;
    const budgets = new RetryBudgets(LIMIT, () => edgeCount);
    expect(countRetries(budgets)).toBe(3);
    edgeCount = 1;
    expect(countRetries(budgets)).toBe(0);
  });
});
