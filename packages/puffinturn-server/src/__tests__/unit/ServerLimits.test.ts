/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */
/** Guards against limits of clients that leave a small machine nothing, or too little. */
import {
  ClientLimitsSchema,
  deriveServerLimits,
  DOCUMENT_SHARES,
  FORWARDING_SHARES,
} from '../../ServerLimits';

const DEFAULTS = ClientLimitsSchema.parse({});
const MEGABYTE = 1_024 * 1_024;

describe('deriveServerLimits', () => {
  test('shares out what the process leaves, or what descriptors allow', () => {
    const large = {descriptors: 4_200, memoryMb: 350};
    expect(deriveServerLimits(large, FORWARDING_SHARES, DEFAULTS)).toEqual({
      ...DEFAULTS,
      maxConnections: 640,
      maxHeldBytes: 50 * MEGABYTE,
    });
    const few = {descriptors: 100, memoryMb: 350};
    expect(
      deriveServerLimits(few, FORWARDING_SHARES, DEFAULTS).maxConnections,
    ).toBe(40);
  });

  test('leaves clients of the smallest machines a part', () => {
    const small = {descriptors: 4_200, memoryMb: 100};
    const {maxConnections, maxHeldBytes} = deriveServerLimits(
      small,
      FORWARDING_SHARES,
      DEFAULTS,
    );
    expect([maxConnections, maxHeldBytes]).toEqual([64, 5 * MEGABYTE]);
  });

  test('holds eight of the largest documents at a control box', () => {
    const box = {descriptors: 4_096, memoryMb: 346};
    const {maxHeldBytes} = deriveServerLimits(box, DOCUMENT_SHARES, DEFAULTS);
    expect(maxHeldBytes).toBeGreaterThan(8 * 8 * MEGABYTE);
  });

  test('lets settings replace what is derived', () => {
    const set = ClientLimitsSchema.parse({
      maxConnections: 3,
      maxHeldBytes: 2e6,
    });
    const machine = {descriptors: 4_096, memoryMb: 350};
    expect(deriveServerLimits(machine, FORWARDING_SHARES, set)).toEqual(set);
  });
});
