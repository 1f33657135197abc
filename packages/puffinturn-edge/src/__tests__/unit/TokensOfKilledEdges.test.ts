/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against callers being refused after a restart because killed edges took tokens
 * with them that no request had used.
 */
import {
  BUDGET,
  EDGES,
  lostTokens,
  REQUEST_INTERVAL_MS,
  restart,
  SERVICE_TIME_MS,
  startFleet,
} from '../utils/KilledEdges';
import {CORE} from '../utils/TokenFleet';

/** Time that a killed process takes until its successor has started, ms. */
const RESTART_MS = 800;

describe('Tokens of killed edges', () => {
  test('the kill of all processes loses less than 5 % of the budget', async () => {
    const {fleet, load} = await startFleet();
    await load.run(10);
    fleet.network.disconnect(CORE);
    EDGES.forEach((box) => load.kill(box));
    await fleet.clock.advance(RESTART_MS);
    fleet.startCore();
    restart(fleet, EDGES);
    await fleet.clock.advance(3_000);
    expect(lostTokens(fleet, load)).toBeLessThan(BUDGET * 0.05);
    await load.run(3);
    expect(load.served).toBeGreaterThan(0);
  });

  test('the kill of one edge loses less than 1 % of the budget', async () => {
    const {fleet, load} = await startFleet();
    await load.run(10);
    const holder = EDGES.reduce((most, box) =>
      fleet.heldBy(box) > fleet.heldBy(most) ? box : most,
    );
    expect(fleet.heldBy(holder)).toBeGreaterThan(BUDGET * 0.01);
    load.kill(holder);
    await fleet.clock.advance(RESTART_MS);
    restart(fleet, [holder]);
    await load.run(3);
    await fleet.clock.advance(SERVICE_TIME_MS);
    expect(lostTokens(fleet, load)).toBeLessThan(BUDGET * 0.01);
  });

  test('a machine that lost power gives nothing back', async () => {
    const {fleet, load} = await startFleet();
    await load.run(10);
    const [box = ''] = EDGES;
    const held = fleet.heldBy(box);
    load.kill(box);
    fleet.bootMachine(box);
    await fleet.clock.advance(RESTART_MS);
    const granted = BUDGET - fleet.coreRemaining;
    restart(fleet, [box]);
    await fleet.clock.advance(100);
    expect(held).toBeGreaterThan(0);
    expect(BUDGET - fleet.coreRemaining).toBeGreaterThanOrEqual(granted);
  });

  test('requests are served while the control plane is away for 8 s', async () => {
    const {fleet, load} = await startFleet(2 * BUDGET);
    await load.run(8);
    fleet.network.partition(EDGES, [CORE]);
    const {sent, served} = load;
    await load.run(8);
    const ratio = (load.served - served) / (load.sent - sent);
    expect(ratio).toBeGreaterThan(0.97);
  });

  test('a team that was idle is served while the control plane is away', async () => {
    const {fleet, load} = await startFleet(2 * BUDGET);
    fleet.network.partition(EDGES, [CORE]);
    await load.run(8, 10 * REQUEST_INTERVAL_MS);
    await fleet.clock.advance(SERVICE_TIME_MS);
    expect(load.served / load.sent).toBeGreaterThan(0.97);
  });
});
