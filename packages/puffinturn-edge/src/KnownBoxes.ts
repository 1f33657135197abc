/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The boxes known to an edge, from the last list received. */
import type {BoxRecord, Regions} from 'puffinturn-fleet';
import {BOX_ROLE} from 'puffinturn-fleet';
import type {Link} from 'puffinturn-wire';

/** Dependencies of KnownBoxes. */
export interface KnownBoxesParts {
  readonly self: BoxRecord;
  readonly link: Link;
  readonly regions: Regions;
}

/** Holds the list of boxes and derives counts of edges from it. */
export class KnownBoxes {
  private records: readonly BoxRecord[] = [];
  private peerRecords: readonly BoxRecord[] = [];

  constructor(private readonly parts: KnownBoxesParts) {}

  /** All boxes, this one included. */
  get all(): readonly BoxRecord[] {
    return this.records;
  }

  /** The other edges; the array is replaced, not modified, on an update. */
  get peers(): readonly BoxRecord[] {
    return this.peerRecords;
  }

  /** Number of edges, this one included. */
  get edgeCount(): number {
    return this.peerRecords.length + 1;
  }

  /** Number of edges in this edge's region, this one included. */
  get regionEdgeCount(): number {
    const peersInRegion = this.peerRecords.filter(({hall}) =>
      this.isInOwnRegion(hall),
    );
    return peersInRegion.length + 1;
  }

  /** Bytes of calls and replies sent to boxes in other regions. */
  get crossRegionBytes(): number {
    const remoteBoxes = this.records.filter(
      ({hall}) => !this.isInOwnRegion(hall),
    );
    const sentBytes = this.parts.link.bytesSentByPeer();
    return remoteBoxes.reduce(
      (sum, {box}) => sum + (sentBytes.get(box) ?? 0),
      0,
    );
  }

  /** Replaces the list of boxes. */
  update(records: readonly BoxRecord[]): void {
    const {self} = this.parts;
    this.records = records;
    this.peerRecords = records.filter(
      ({box, role}) => role === BOX_ROLE.edge && box !== self.box,
    );
  }

  private isInOwnRegion(hall: string): boolean {
    const {regions, self} = this.parts;
    return regions.areInSameRegion(self.hall, hall);
  }
}
