/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import {ReplicaGroup} from '../utils/ReplicaFixture';

const BOXES = ['a', 'b', 'c'];

describe('Replica', () => {
  test('elects one leader and applies records everywhere', async () => {
    const group = new ReplicaGroup(BOXES);
    await group.startAll();
    expect(await group.propose('x')).toBe(true);
    await group.clock.advance(500);
    for (const box of BOXES) {
      expect(group.member(box).machine.records).toEqual(['x']);
    }
    await group.stopAll();
  });

  test('keeps what was acknowledged when all boxes crash', async () => {
    const group = new ReplicaGroup(BOXES);
    await group.startAll();
    expect(await group.propose('x')).toBe(true);
    await group.stopAll();
    await group.startAll();
    await group.clock.advance(2_000);
    expect(group.member(group.leader()).machine.records).toEqual(['x']);
    await group.stopAll();
  });

  test('a leader that is cut off steps down and acknowledges nothing', async () => {
    const group = new ReplicaGroup(BOXES);
    await group.startAll();
    const former = group.leader();
    const others = BOXES.filter((box) => box !== former);
    group.network.partition([former], others);
    expect(await group.propose('lost', former)).toBe(false);
    await group.clock.advance(3_000);
    expect(group.member(former).replica.isLeader).toBe(false);
    expect(await group.propose('kept')).toBe(true);
    group.network.heal();
    await group.clock.advance(3_000);
    for (const box of BOXES) {
      expect(group.member(box).machine.records).toEqual(['kept']);
    }
    await group.stopAll();
  });

  test('a one-way cut does not keep the group without a leader', async () => {
    const group = new ReplicaGroup(BOXES);
    await group.startAll();
    const former = group.leader();
    for (const box of BOXES) {
      group.network.cut(box, former);
    }
    await group.clock.advance(4_000);
    expect(group.leader()).not.toBe(former);
    expect(await group.propose('x')).toBe(true);
    await group.stopAll();
  });

  test('a barrier on a leader that was replaced fails', async () => {
    const group = new ReplicaGroup(BOXES);
    await group.startAll();
    const former = group.leader();
    group.network.partition(
      [former],
      BOXES.filter((box) => box !== former),
    );
    let answer = '';
    void group
      .member(former)
      .replica.barrier()
      .match(
        () => (answer = 'read'),
        (failure) => (answer = failure.kind),
      );
    await group.clock.advance(4_000);
    expect(answer).toBe('not-leader');
    await group.stopAll();
  });

  test('brings a replica up that is behind the snapshot', async () => {
    const group = new ReplicaGroup(BOXES, 20);
    await group.startAll();
    const behind = BOXES.find((box) => box !== group.leader()) ?? '';
    group.kill(behind);
    for (let count = 0; count < 90; count += 1) {
      expect(await group.propose(count)).toBe(true);
    }
    await group.start(behind);
    await group.clock.advance(3_000);
    expect(group.member(behind).machine.records).toHaveLength(90);
    await group.stopAll();
  });

  test('a box that lost its disk comes back under another id, and a second loss after the repair loses nothing', async () => {
    const group = new ReplicaGroup(BOXES, 20);
    await group.startAll();
    for (let count = 0; count < 30; count += 1) {
      await group.propose(count);
    }
    const [first, second] = BOXES.filter((box) => box !== group.leader());
    const formerId = group.member(first ?? '').replica.id;
    group.kill(first ?? '');
    group.disks.delete(first ?? '');
    await group.start(first ?? '');
    await group.clock.advance(6_000);
    const repaired = group.member(first ?? '').replica;
    expect(repaired.id).not.toBe(formerId);
    expect(repaired.status().members.voters).toContain(repaired.id);
    expect(repaired.status().members.voters).not.toContain(formerId);
    group.kill(second ?? '');
    expect(await group.propose('after')).toBe(true);
    await group.clock.advance(500);
    expect(group.member(first ?? '').machine.records).toHaveLength(31);
    await group.stopAll();
  });

  test.each([1, 3, 7, 20])(
    'cuts off a last write torn by %i bytes',
    async (count) => {
      const group = new ReplicaGroup(BOXES);
      await group.startAll();
      await group.propose('x');
      await group.propose('y');
      await group.stopAll();
      const disk = group.disks.get('a');
      const names = (await disk?.list())?.unwrapOr([]) ?? [];
      const segment = names.find((name) => name.startsWith('segment')) ?? '';
      disk?.tear(segment, count);
      await group.startAll();
      await group.clock.advance(2_000);
      expect(group.member('a').machine.records).toEqual(['x', 'y']);
      await group.stopAll();
    },
  );
});
