/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Sends a snapshot to a replica in parts, one at a time. */
import {SNAPSHOT_PART_BYTES} from './LogConstants';
import type {LogLink} from './LogLink';
import type {ReplicaId, SnapshotReply, SnapshotRequest} from './LogMessages';
import type {Snapshot} from './LogStorage';

/** One transfer. */
export interface SnapshotTransfer {
  readonly link: LogLink;
  readonly snapshot: Snapshot;
  readonly from: ReplicaId;
  readonly to: ReplicaId;
  readonly term: number;
  readonly callMs: number;
  /** Whether the sender still leads. */
  readonly goesOn: () => boolean;
  /** Whether an answer of this term is from the same term as the transfer. */
  readonly acceptsTerm: (term: number) => Promise<boolean>;
}

/** True once the receiver has installed the whole snapshot. */
export async function sendSnapshot(
  transfer: SnapshotTransfer,
): Promise<boolean> {
  const {acceptsTerm, callMs, goesOn, link, to} = transfer;
  let offset = 0;
  while (goesOn()) {
    const request = partAt(transfer, offset);
    const answer = await link.call(to, request, callMs);
    if (answer.isErr()) {
      return false;
    }
    const reply = answer.value as SnapshotReply;
    if (!(await acceptsTerm(reply.term))) {
      return false;
    }
    const end = offset + request.bytes.length;
    if (request.done && reply.nextOffset === end) {
      return true;
    }
    offset = reply.nextOffset;
  }
  return false;
}

function partAt(
  {from, snapshot, term, to}: SnapshotTransfer,
  offset: number,
): SnapshotRequest {
  const {bytes, lastIndex, lastTerm, members} = snapshot;
  const end = Math.min(bytes.length, offset + SNAPSHOT_PART_BYTES);
  return {
    bytes: bytes.subarray(offset, end),
    done: end === bytes.length,
    from,
    kind: 'snapshot',
    lastIndex,
    lastTerm,
    members,
    offset,
    term,
    to,
  };
}
