/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Chooses which control boxes are polled: the nearest healthy ones, a limited number of
 * them. The others are on standby.
 */
import type {ControlPeer} from './ControlPeer';
import type {Regions} from './Regions';

/** Distance classes of control boxes; the nearest ones are polled first. */
const DISTANCE = {ownHall: 0, ownRegion: 1, otherRegion: 2} as const;

/** Constructor arguments of ControlSelection. */
export interface ControlSelectionParts {
  /** All known control boxes. */
  readonly peers: ReadonlyMap<string, ControlPeer>;
  readonly ownHall: string;
  readonly regions: Regions;
  /** Number of control boxes to poll once current; Infinity for all. */
  readonly maxPolledControls: number;
  /** Whether every control box is asked, as the state is old. */
  readonly isOutdated: () => boolean;
}

/** Chooses the control boxes that are polled. */
export class ControlSelection {
  constructor(private readonly parts: ControlSelectionParts) {}

  /** Addresses of the polled control boxes, the preferred one first. */
  get polledControls(): string[] {
    return [...this.parts.peers.values()]
      .filter((peer) => this.isPolled(peer))
      .sort((a, b) => this.countPreferred(a) - this.countPreferred(b))
      .map(({box}) => box);
  }

  /** Whether some control box has passed a barrier of the log for a reply. */
  get isCurrent(): boolean {
    return [...this.parts.peers.values()].some(
      ({hasCurrentReply}) => hasCurrentReply,
    );
  }

  /**
   * Whether a control box is polled rather than on standby. Unhealthy ones are polled to
   * detect their recovery; before the first current reply, all are polled.
   */
  isPolled(peer: ControlPeer): boolean {
    if (peer.isUnhealthy || !this.isCurrent || this.parts.isOutdated()) {
      return true;
    }
    return this.countPreferred(peer) < this.parts.maxPolledControls;
  }

  /** Number of healthy control boxes that are preferred to this one. */
  countPreferred(peer: ControlPeer): number {
    const preferred = [...this.parts.peers.values()].filter(
      (other) => !other.isUnhealthy && this.isPreferred(other, peer),
    );
    return preferred.length;
  }

  /**
   * Prefers control boxes of the own hall, then of the own region; a hash spreads the load.
   * Other regions are polled only while too few in the own region are healthy.
   */
  private isPreferred(a: ControlPeer, b: ControlPeer): boolean {
    const distanceDifference =
      this.distanceTo(a.hall) - this.distanceTo(b.hall);
    return distanceDifference === 0 ? a.rank < b.rank : distanceDifference < 0;
  }

  private distanceTo(hall: string | undefined): number {
    const {ownHall, regions} = this.parts;
    if (hall === ownHall) {
      return DISTANCE.ownHall;
    }
    const isInOwnRegion =
      !regions.hasMultipleRegions ||
      (hall !== undefined && regions.areInSameRegion(ownHall, hall));
    return isInOwnRegion ? DISTANCE.ownRegion : DISTANCE.otherRegion;
  }
}
