/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The lists of members that a replica finds in its log and its latest snapshot. */
import type {EntryList} from './EntryList';
import type {Members, ReplicaId} from './LogMessages';
import type {Snapshots} from './Snapshots';

const NO_MEMBERS: Members = {learners: [], voters: []};

/** Reads lists of members from a log; the latest one is in force as soon as it is appended. */
export class MemberLists {
  private members: Members = NO_MEMBERS;
  private membersIndex = 0;

  constructor(
    private readonly log: EntryList,
    private readonly snapshots: Snapshots,
  ) {
    this.refresh();
  }

  /** The list in force. */
  get current(): Members {
    return this.members;
  }

  /** Index of the entry with the list in force. */
  get currentIndex(): number {
    return this.membersIndex;
  }

  /** Voters and learners. */
  get all(): readonly ReplicaId[] {
    return [...this.members.voters, ...this.members.learners];
  }

  /** The list with which the group was bootstrapped; undefined if it is compacted. */
  get first(): Members | undefined {
    const body = this.log.entryAt(1)?.body;
    return body?.kind === 'members' ? body.members : undefined;
  }

  isVoter(id: ReplicaId): boolean {
    return this.members.voters.includes(id);
  }

  isMember(id: ReplicaId): boolean {
    return this.all.includes(id);
  }

  /** Finds the list in force anew, after a change of the log or of the snapshot. */
  refresh(): void {
    const listed = this.log.latestMembers();
    const {lastIndex, latest} = this.snapshots;
    this.members = listed?.members ?? latest?.members ?? NO_MEMBERS;
    this.membersIndex = listed?.index ?? lastIndex;
  }

  /** The list that was in force at an index that is not compacted. */
  at(index: number): Members {
    const {compactedIndex} = this.log;
    for (let position = index; position > compactedIndex; position -= 1) {
      const body = this.log.entryAt(position)?.body;
      if (body?.kind === 'members') {
        return body.members;
      }
    }
    return this.snapshots.latest?.members ?? NO_MEMBERS;
  }
}
