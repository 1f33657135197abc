/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** A fleet in virtual time whose control boxes, or links to them, are late for one edge. */
import {invariant} from 'shared';

import {FLEET_SERVICE, UPSTREAM_STATE} from '../../index';
import {configurationOf, upstreamOf} from './FleetFixture';
import {ObservedFleet, STEP_MS} from './ObservedFleet';
import type {WatchedFleet, WatchingEdge} from './WatchedFleet';
import {FIVE_CONTROLS, startEdgeBesideLeader, startFleet} from './WatchedFleet';

/** Interval between changes, each a configuration and a departure, ms. */
const CHANGE_INTERVAL_MS = 400;

/** How long changes go on after the fault, ms. */
export const OBSERVATION_MS = 5_000;

/** Ways in which the answers of control boxes to an edge come late or say too little. */
export const FAULT = {
  /** The edge's connection loses all messages. */
  silent: 'silent',
  /** The same, right after the answer to another call of the edge. */
  silentAfterAnswer: 'silent after another answer',
  /** The control box hears from the leader but gets no entries. */
  withoutEntries: 'without entries',
  /** Neither the edge nor the leader reaches the control box. */
  unreachable: 'unreachable',
} as const;

/** A value of FAULT. */
export type Fault = (typeof FAULT)[keyof typeof FAULT];

/** All faults. */
export const FAULTS = Object.values(FAULT);

/** A fleet whose control boxes are made late for one edge. */
export class LateFleet extends ObservedFleet {
  private constructor(
    fleet: WatchedFleet,
    watched: WatchingEdge,
    /** The control boxes that the edge polls, then the others. */
    readonly polledFirst: readonly string[],
  ) {
    super(fleet, watched);
  }

  /** Starts a fleet with an edge that does not poll the leader. */
  static async start(): Promise<LateFleet> {
    const fleet = await startFleet(FIVE_CONTROLS);
    const watched = await startEdgeBesideLeader(fleet);
    const {polledControls} = watched.watch;
    const others = FIVE_CONTROLS.filter((box) => !polledControls.includes(box));
    return new LateFleet(fleet, watched, [...polledControls, ...others]);
  }

  /** How often the edge found its state outdated since it first had one. */
  get outdatedCount(): number {
    return this.watched.log.decisions.filter(
      (line) =>
        line.event === 'state-outdated' &&
        line.outdated &&
        line.upstreamsAgeMs !== undefined,
    ).length;
  }

  async begin(fault: Fault, box: string): Promise<void> {
    const {network, withoutEntries} = this.fleet;
    switch (fault) {
      case FAULT.silent:
        network.silenceConnections(this.watched.edge, [box]);
        return;
      case FAULT.silentAfterAnswer:
        await this.callFromEdge(box);
        network.silenceConnections(this.watched.edge, [box]);
        return;
      case FAULT.withoutEntries:
        withoutEntries.add(box);
        return;
      case FAULT.unreachable:
        network.partition(
          [box],
          [
            this.watched.edge,
            ...FIVE_CONTROLS.filter((other) => other !== box),
          ],
        );
    }
  }

  /** Delays each message between the edge and the control boxes. */
  slowMessages(delayMs: number): void {
    for (const box of FIVE_CONTROLS) {
      this.fleet.network.slowMessages(this.watched.edge, box, delayMs);
    }
  }

  /** Calls a control box, which replies within the 50 ms unless its link has failed. */
  private async callFromEdge(box: string): Promise<void> {
    const {readConfiguration} = FLEET_SERVICE;
    void this.watched.link.call(box, readConfiguration, null, 1_000);
    await this.fleet.clock.advance(50);
  }

  /**
   * Changes the configuration and lets upstreams leave at the given control box, and returns
   * the longest time between an acknowledgement and its arrival at the edge, ms.
   */
  async longestDelayMs(
    changingBox: string,
    onStep: (at: number) => Promise<void> = () => Promise.resolve(),
  ): Promise<number> {
    const {clock} = this.fleet;
    const acknowledgedAt = new Map<number, number>();
    let longestMs = 0;
    for (let at = 0; at < OBSERVATION_MS; at += STEP_MS) {
      await onStep(at);
      const number = 10 + at / CHANGE_INTERVAL_MS;
      if (Number.isInteger(number)) {
        void this.change(changingBox, number).then((isAcknowledged) => {
          if (isAcknowledged) {
            acknowledgedAt.set(number, clock.now());
          }
        });
      }
      await clock.advance(STEP_MS);
      for (const [number, since] of acknowledgedAt) {
        const elapsedMs = clock.now() - since;
        longestMs = Math.max(longestMs, elapsedMs);
        if (this.isInForce(number)) {
          acknowledgedAt.delete(number);
        } else {
          this.recordMissing(elapsedMs);
        }
      }
    }
    invariant(longestMs > 0, 'some change must be acknowledged');
    return longestMs;
  }

  /** Changes the configuration and lets an upstream leave; whether both are acknowledged. */
  private async change(box: string, number: number): Promise<boolean> {
    const control = this.fleet.control(box);
    const id = `i-${number}`;
    control.upstreamControl.mergeRecord(upstreamOf({bornAt: number, id}));
    const configuration = configurationOf(number);
    const changed = control.changeConfiguration({configuration, document: id});
    const left = control.upstreamControl.acceptDeregistration(id);
    return (await changed).accepted && (await left);
  }

  /** Whether the edge has a configuration and the departure that came with it. */
  private isInForce(number: number): boolean {
    const {handler} = this.watched;
    const hasDeparture = handler.upstreamRecords.some(
      ({id, state}) => id === `i-${number}` && state !== UPSTREAM_STATE.ready,
    );
    return handler.configurationVersion >= number && hasDeparture;
  }
}
