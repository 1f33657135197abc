/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** A fleet in virtual time, over connections like those of TCP, after faults that are over. */
import {invariant} from 'shared';

import {configurationOf} from './FleetFixture';
import {ObservedFleet, STEP_MS} from './ObservedFleet';
import {FIVE_CONTROLS, startEdgeBesideLeader, startFleet} from './WatchedFleet';

/** Time after which a change counts as never in force, ms. */
const GIVE_UP_MS = 10_000;

/** Time between an unacknowledged change and its repetition, ms. */
const OPERATOR_RETRY_MS = 400;

/** Faults that begin and end. */
export const DISTURBANCE = {
  /** No packets between the edge and all control boxes. */
  edgeCut: 'edge cut off',
  /** Packets of the edge are lost, those to it arrive. */
  edgeUnheard: 'edge unheard',
  /** Packets to the edge are lost, its own arrive. */
  edgeDeaf: 'edge gets nothing',
  /** No packets between the edge and the control boxes that it polls. */
  polledCut: 'polled boxes cut off from the edge',
  /** The polled control boxes are cut off from all others. */
  polledIsolated: 'polled boxes isolated',
  /** The processes of the polled control boxes do not run. */
  polledPaused: 'polled boxes paused',
  /** The process of the preferred control box does not run. */
  preferredPaused: 'preferred box paused',
  /** The polled control boxes get no entries. */
  polledWithoutEntries: 'polled boxes without entries',
  /** The leader is cut off from the other control boxes. */
  leaderIsolated: 'leader isolated',
  /** The process of the leader does not run. */
  leaderPaused: 'leader paused',
} as const;

/** A value of DISTURBANCE. */
export type Disturbance = (typeof DISTURBANCE)[keyof typeof DISTURBANCE];

/** An edge and its control boxes, which are disturbed and then left alone. */
export class DisturbedFleet extends ObservedFleet {
  private lastVersion = 1;

  /** Starts a fleet with an edge that does not poll the leader. */
  static async start(): Promise<DisturbedFleet> {
    const fleet = await startFleet(FIVE_CONTROLS, true);
    return new DisturbedFleet(fleet, await startEdgeBesideLeader(fleet));
  }

  begin(disturbance: Disturbance): void {
    const {network, paused, withoutEntries} = this.fleet;
    const {edge, watch} = this.watched;
    const {leaderAddress = '', polledControls} = watch;
    const polled = polledControls.slice(0, 2);
    const others = (boxes: readonly string[]) =>
      FIVE_CONTROLS.filter((box) => !boxes.includes(box));
    switch (disturbance) {
      case DISTURBANCE.edgeCut:
        network.partition([edge], FIVE_CONTROLS);
        return;
      case DISTURBANCE.edgeUnheard:
        FIVE_CONTROLS.forEach((box) => network.dropMessages(edge, box));
        return;
      case DISTURBANCE.edgeDeaf:
        FIVE_CONTROLS.forEach((box) => network.dropMessages(box, edge));
        return;
      case DISTURBANCE.polledCut:
        network.partition([edge], polled);
        return;
      case DISTURBANCE.polledIsolated:
        network.partition(polled, [...others(polled), edge]);
        return;
      case DISTURBANCE.polledPaused:
        polled.forEach((box) => paused.add(box));
        return;
      case DISTURBANCE.preferredPaused:
        paused.add(polled[0] ?? '');
        return;
      case DISTURBANCE.polledWithoutEntries:
        polled.forEach((box) => withoutEntries.add(box));
        return;
      case DISTURBANCE.leaderIsolated:
        network.partition([leaderAddress], others([leaderAddress]));
        return;
      case DISTURBANCE.leaderPaused:
        paused.add(leaderAddress);
    }
  }

  /** Makes one change; returns the time from its acknowledgement until it is in force, ms. */
  async changeDelayMs(): Promise<number> {
    const {clock} = this.fleet;
    this.lastVersion += 1;
    const version = this.lastVersion;
    let acknowledgedAt: number | undefined;
    void this.changeUntilAccepted(version).then(() => {
      acknowledgedAt = clock.now();
    });
    const startedAt = clock.now();
    while (clock.now() - startedAt < GIVE_UP_MS) {
      const isInForce = this.watched.handler.configurationVersion >= version;
      if (acknowledgedAt !== undefined && isInForce) {
        return clock.now() - acknowledgedAt;
      }
      this.recordMissing(clock.now() - (acknowledgedAt ?? Infinity));
      await clock.advance(STEP_MS);
    }
    return Infinity;
  }

  /** Sends a change to one control box after the other, as an operator does. */
  private async changeUntilAccepted(version: number): Promise<void> {
    const {clock} = this.fleet;
    for (let attempt = 0; ; attempt += 1) {
      const box = FIVE_CONTROLS[attempt % FIVE_CONTROLS.length];
      invariant(box !== undefined, `there is no box for attempt ${attempt}`);
      const retryDue = clock.sleep(OPERATOR_RETRY_MS);
      const reply = await Promise.race([
        this.fleet.control(box).changeConfiguration({
          configuration: configurationOf(version),
          document: `${version}`,
        }),
        retryDue,
      ]);
      if (reply?.accepted) {
        return;
      }
      await retryDue;
    }
  }
}
