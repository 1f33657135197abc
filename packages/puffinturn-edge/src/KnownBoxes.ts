/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The boxes that an edge knows of, as the core told last. */
import type {BoxRecord, Regions} from 'puffinturn-fleet';
import {BOX_ROLE} from 'puffinturn-fleet';
import type {Link} from 'puffinturn-wire';

/** What KnownBoxes rest on. */
export interface KnownBoxesParts {
  readonly self: BoxRecord;
  readonly link: Link;
  readonly regions: Regions;
}

/** See the module comment. */
export class KnownBoxes {
  private records: readonly BoxRecord[] = [];
  private otherEdges: readonly BoxRecord[] = [];

  constructor(private readonly parts: KnownBoxesParts) {}

  /** All boxes. */
  get all(): readonly BoxRecord[] {
    return this.records;
  }

  /** The other edges; a new array where the list has changed. */
  get peers(): readonly BoxRecord[] {
    return this.otherEdges;
  }

  /** How many edges there are, this one included. */
  get edges(): number {
    return this.otherEdges.length + 1;
  }

  /** How many of them the own region has. */
  get edgesOfRegion(): number {
    const near = this.otherEdges.filter(({hall}) => this.isNear(hall));
    return near.length + 1;
  }

  /** Bytes of calls, and of answers to calls, to boxes of other regions. */
  get bytesToOtherRegions(): number {
    const away = this.records.filter(({hall}) => !this.isNear(hall));
    const sent = this.parts.link.sentByPeer();
    return away.reduce((sum, {box}) => sum + (sent.get(box) ?? 0), 0);
  }

  /** Takes over who is alive. */
  learn(records: readonly BoxRecord[]): void {
    const {self} = this.parts;
    this.records = records;
    this.otherEdges = records.filter(
      ({box, role}) => role === BOX_ROLE.edge && box !== self.box,
    );
  }

  private isNear(hall: string): boolean {
    const {regions, self} = this.parts;
    return regions.areTogether(self.hall, hall);
  }
}
