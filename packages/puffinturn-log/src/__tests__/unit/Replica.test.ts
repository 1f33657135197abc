/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against loss of acknowledged records, stale reads, and groups that cannot
 * elect a leader after crashes, partitions and disk loss.
 */
import {ReplicaGroup} from '../utils/ReplicaFixture';

const BOXES = ['a', 'b', 'c'];

describe('Replica', () => {
  test('elects a leader and applies records on every replica', async () => {
    const group = new ReplicaGroup(BOXES);
    await group.startAll();
    expect(await group.propose('x')).toBe(true);
    await group.clock.advance(500);
    for (const box of BOXES) {
      expect(group.member(box).stateMachine.records).toEqual(['x']);
    }
    await group.stopAll();
  });

  test('keeps acknowledged records when all boxes crash', async () => {
    const group = new ReplicaGroup(BOXES);
    await group.startAll();
    expect(await group.propose('x')).toBe(true);
    await group.stopAll();
    await group.startAll();
    await group.clock.advance(2_000);
    expect(group.member(group.leader()).stateMachine.records).toEqual(['x']);
    await group.stopAll();
  });

  test('a partitioned leader steps down and acknowledges no record', async () => {
    const group = new ReplicaGroup(BOXES);
    await group.startAll();
    const formerLeader = group.leader();
    const others = BOXES.filter((box) => box !== formerLeader);
    group.network.partition([formerLeader], others);
    expect(await group.propose('lost', formerLeader)).toBe(false);
    await group.clock.advance(3_000);
    expect(group.member(formerLeader).replica.isLeader).toBe(false);
    expect(await group.propose('kept')).toBe(true);
    group.network.heal();
    await group.clock.advance(3_000);
    for (const box of BOXES) {
      expect(group.member(box).stateMachine.records).toEqual(['kept']);
    }
    await group.stopAll();
  });

  test('elects another leader if the leader can send but not receive', async () => {
    const group = new ReplicaGroup(BOXES);
    await group.startAll();
    const formerLeader = group.leader();
    for (const box of BOXES) {
      group.network.dropMessages(box, formerLeader);
    }
    await group.clock.advance(4_000);
    expect(group.leader()).not.toBe(formerLeader);
    expect(await group.propose('x')).toBe(true);
    await group.stopAll();
  });

  test('a barrier fails on a leader that was replaced', async () => {
    const group = new ReplicaGroup(BOXES);
    await group.startAll();
    const formerLeader = group.leader();
    group.network.partition(
      [formerLeader],
      BOXES.filter((box) => box !== formerLeader),
    );
    let result = '';
    void group
      .member(formerLeader)
      .replica.barrier()
      .match(
        () => (result = 'read'),
        (failure) => (result = failure.kind),
      );
    await group.clock.advance(4_000);
    expect(result).toBe('not-leader');
    await group.stopAll();
  });

  test('sends a snapshot to a replica whose next entry was compacted', async () => {
    const group = new ReplicaGroup(BOXES, 20);
    await group.startAll();
    const laggingBox = BOXES.find((box) => box !== group.leader()) ?? '';
    group.kill(laggingBox);
    for (let count = 0; count < 90; count += 1) {
      expect(await group.propose(count)).toBe(true);
    }
    await group.start(laggingBox);
    await group.clock.advance(3_000);
    expect(group.member(laggingBox).stateMachine.records).toHaveLength(90);
    await group.stopAll();
  });

  test('a box that lost its disk rejoins under another id, and a second failure then loses no record', async () => {
    const group = new ReplicaGroup(BOXES, 20);
    await group.startAll();
    for (let count = 0; count < 30; count += 1) {
      await group.propose(count);
    }
    const [lostBox, secondLostBox] = BOXES.filter(
      (box) => box !== group.leader(),
    );
    const formerId = group.member(lostBox ?? '').replica.id;
    group.kill(lostBox ?? '');
    group.disks.delete(lostBox ?? '');
    await group.start(lostBox ?? '');
    await group.clock.advance(6_000);
    const repaired = group.member(lostBox ?? '').replica;
    expect(repaired.id).not.toBe(formerId);
    expect(repaired.status().members.voters).toContain(repaired.id);
    expect(repaired.status().members.voters).not.toContain(formerId);
    group.kill(secondLostBox ?? '');
    expect(await group.propose('after')).toBe(true);
    await group.clock.advance(500);
    expect(group.member(lostBox ?? '').stateMachine.records).toHaveLength(31);
    await group.stopAll();
  });

  test.each([1, 3, 7, 20])(
    'recovers when the last write lacks %i bytes',
    async (count) => {
      const group = new ReplicaGroup(BOXES);
      await group.startAll();
      await group.propose('x');
      await group.propose('y');
      await group.stopAll();
      const disk = group.disks.get('a');
      const names = (await disk?.list())?.unwrapOr([]) ?? [];
      const segment = names.find((name) => name.startsWith('segment')) ?? '';
      disk?.truncateTail(segment, count);
      await group.startAll();
      await group.clock.advance(2_000);
      expect(group.member('a').stateMachine.records).toEqual(['x', 'y']);
      await group.stopAll();
    },
  );
});
