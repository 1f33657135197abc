/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against a late snapshot that drops entries which a replica has acknowledged. */
import type {LogRequest} from '../../index';
import {replicaIdOf} from '../../index';
import type {Entry} from '../../LogMessages';
import {ReplicaGroup} from '../utils/ReplicaFixture';

const LEADER = replicaIdOf('a', 'leader');
const TERM = 1;
const LAST_INDEX = 9;
const SNAPSHOT_INDEX = 5;

function makeEntry(index: number): Entry {
  return {body: {kind: 'record', record: index}, index, term: TERM};
}

/** A group of which only the follower `b` runs; the test sends what a leader would. */
async function startFollower() {
  const group = new ReplicaGroup(['b'], 1_000, undefined, ['a', 'b', 'c']);
  await group.start('b', false);
  const {replica} = group.member('b');
  const members = {
    learners: [],
    voters: [LEADER, replica.id, replicaIdOf('c', '1')],
  };
  const send = (request: LogRequest) => replica.handle(request);
  await send({kind: 'found', members, to: replica.id});
  const entries = Array.from({length: LAST_INDEX - 1}, (_, offset) =>
    makeEntry(offset + 2),
  );
  const reply = await send({
    commitIndex: 1,
    entries,
    from: LEADER,
    kind: 'append',
    previousIndex: 1,
    previousTerm: 0,
    term: TERM,
    to: replica.id,
  });
  expect(reply).toMatchObject({matchIndex: LAST_INDEX, success: true});
  const sendSnapshot = (lastTerm: number) =>
    send({
      bytes: Buffer.from('[2,3,4,5]'),
      done: true,
      from: LEADER,
      kind: 'snapshot',
      lastIndex: SNAPSHOT_INDEX,
      lastTerm,
      members,
      offset: 0,
      term: TERM,
      to: replica.id,
    });
  return {group, replica, sendSnapshot};
}

describe('A snapshot from the leader', () => {
  test('keeps the entries after its last one, also on the disk', async () => {
    const {group, replica, sendSnapshot} = await startFollower();
    await sendSnapshot(TERM);
    expect(replica.status().lastIndex).toBe(LAST_INDEX);
    group.kill('b');
    await group.start('b', false);
    expect(group.member('b').replica.status().lastIndex).toBe(LAST_INDEX);
    await group.stopAll();
  });

  test('replaces entries of another term', async () => {
    const {group, replica, sendSnapshot} = await startFollower();
    await sendSnapshot(TERM - 1);
    expect(replica.status().lastIndex).toBe(SNAPSHOT_INDEX);
    await group.stopAll();
  });
});
