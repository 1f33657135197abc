/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Sends a snapshot to a replica in chunks, one at a time. */
import {SNAPSHOT_CHUNK_BYTES} from './LogConstants';
import type {LogLink} from './LogLink';
import type {ReplicaId, SnapshotReply, SnapshotRequest} from './LogMessages';
import type {Snapshot} from './LogStorage';

/** One transfer of a snapshot to a replica. */
export interface SnapshotTransfer {
  readonly link: LogLink;
  readonly snapshot: Snapshot;
  readonly from: ReplicaId;
  readonly to: ReplicaId;
  readonly term: number;
  readonly callTimeoutMs: number;
  /** Whether the sender is still the leader; the transfer stops otherwise. */
  readonly isStillLeader: () => boolean;
  /** Adopts a higher term from a reply. Resolves to false if terms differ. */
  readonly checkReplyTerm: (term: number) => Promise<boolean>;
}

/** Resolves to true once the receiver has installed the whole snapshot. */
export async function sendSnapshot(
  transfer: SnapshotTransfer,
): Promise<boolean> {
  const {callTimeoutMs, checkReplyTerm, isStillLeader, link, to} = transfer;
  let offset = 0;
  while (isStillLeader()) {
    const request = chunkAt(transfer, offset);
    const result = await link.call(to, request, callTimeoutMs);
    if (result.isErr()) {
      return false;
    }
    const reply = result.value as SnapshotReply;
    if (!(await checkReplyTerm(reply.term))) {
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

function chunkAt(
  {from, snapshot, term, to}: SnapshotTransfer,
  offset: number,
): SnapshotRequest {
  const {bytes, lastIndex, lastTerm, members} = snapshot;
  const end = Math.min(bytes.length, offset + SNAPSHOT_CHUNK_BYTES);
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
