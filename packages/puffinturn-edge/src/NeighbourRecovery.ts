/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Restores the state of edges that restart while the control plane is unreachable. All
 * edges form a ring, ordered by region and hall so that few probes cross regions. Each
 * edge probes its successors in the ring, and sends the configuration, upstreams and
 * list of boxes to a successor that has no state. The cost per edge does not depend on
 * the number of edges.
 */
import type {
  BoxRecord,
  EdgeState,
  PackedEdgeState,
  Regions,
  StateNeededReply,
} from 'puffinturn-fleet';
import {FLEET_SERVICE, packUpdate, unpackUpdate} from 'puffinturn-fleet';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {DisposableList, TaskGroup} from 'shared';

/** Probe interval while the control plane is unreachable, ms; shorter than a restart. */
const OUTAGE_PROBE_INTERVAL_MS = 500;

/** Probe interval while the control plane is reachable, ms. */
const PROBE_INTERVAL_MS = 4_000;

/** Interval at which reachability is checked while the control plane is reachable, ms. */
const CHECK_INTERVAL_MS = 1_000;

/** Timeout for the reply to a probe, ms. */
const PROBE_TIMEOUT_MS = 150;

/** Timeout for sending the state, ms; it can have tens of kilobytes. */
const HANDOVER_TIMEOUT_MS = 1_000;

/** Number of successors that each edge probes; with two, one may be down. */
const NEIGHBOUR_COUNT = 2;

/** Dependencies of the neighbour recovery. */
export interface NeighbourRecoveryParts {
  readonly self: BoxRecord;
  readonly regions: Regions;
  readonly clock: Clock;
  readonly link: Link;
  /** Edges of all halls, without this one. */
  readonly otherEdges: () => readonly BoxRecord[];
  /** Whether the control plane is reachable. */
  readonly isControlReachable: () => boolean;
  /** Whether this edge has no configuration and can't reach the control plane. */
  readonly needsState: () => boolean;
  /** The state to send to an edge that has none; undefined if this edge has none. */
  readonly getState: () => EdgeState | undefined;
  /** Applies the state received from another edge. */
  readonly applyState: (handover: EdgeState, source: string) => void;
}

/** Probes the successors in the ring, and serves the probes of other edges. */
export class NeighbourRecovery implements AsyncDisposable {
  private readonly tasks = new TaskGroup();
  private readonly handlers = new DisposableList();

  constructor(private readonly parts: NeighbourRecoveryParts) {
    const {link, needsState} = parts;
    this.handlers.add(
      link.register(
        FLEET_SERVICE.checkStateNeeded,
        async (): Promise<StateNeededReply> => ({
          acceptsPacked: true,
          needsState: needsState(),
        }),
      ),
    );
    this.handlers.add(
      link.register(FLEET_SERVICE.sendState, async (body, from) => {
        if (needsState()) {
          await this.receiveState(body as EdgeState | PackedEdgeState, from);
        }
        return null;
      }),
    );
    this.tasks.start((signal) => this.run(signal));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.handlers[Symbol.dispose]();
    await this.tasks[Symbol.asyncDispose]();
  }

  private async run(signal: AbortSignal): Promise<void> {
    const {clock, isControlReachable, needsState} = this.parts;
    let probedAt = clock.now();
    while (!signal.aborted) {
      await clock.sleep(
        isControlReachable() ? CHECK_INTERVAL_MS : OUTAGE_PROBE_INTERVAL_MS,
        signal,
      );
      const isWithinInterval =
        isControlReachable() && clock.now() - probedAt < PROBE_INTERVAL_MS;
      if (signal.aborted || isWithinInterval || needsState()) {
        continue;
      }
      probedAt = clock.now();
      await Promise.all(
        this.successors().map((box) => this.probeNeighbour(box)),
      );
    }
  }

  private async probeNeighbour(box: string): Promise<void> {
    const {link, getState} = this.parts;
    const reply = await link.call(
      box,
      FLEET_SERVICE.checkStateNeeded,
      null,
      PROBE_TIMEOUT_MS,
    );
    const handover = getState();
    if (reply.isErr() || handover === undefined) {
      return;
    }
    const {acceptsPacked, needsState} = reply.value as StateNeededReply;
    if (needsState) {
      await link.call(
        box,
        FLEET_SERVICE.sendState,
        acceptsPacked === true ? packState(handover) : handover,
        HANDOVER_TIMEOUT_MS,
      );
    }
  }

  private async receiveState(
    received: EdgeState | PackedEdgeState,
    source: string,
  ): Promise<void> {
    const {applyState, needsState} = this.parts;
    const state = await unpackState(received);
    // Another edge or a control box may have sent one in the meantime.
    if (state !== undefined && needsState()) {
      applyState(state, source);
    }
  }

  /** Returns the edges that follow this one in the ring. */
  private successors(): readonly string[] {
    const {otherEdges, regions, self} = this.parts;
    const boxByKey = new Map(
      otherEdges().map((edge) => [ringKey(edge, regions), edge.box]),
    );
    const sortedKeys = [...boxByKey.keys()].sort();
    const ownKey = ringKey(self, regions);
    const successorKeys = [
      ...sortedKeys.filter((key) => key > ownKey),
      ...sortedKeys.filter((key) => key < ownKey),
    ];
    return successorKeys
      .slice(0, NEIGHBOUR_COUNT)
      .flatMap((key) => boxByKey.get(key) ?? []);
  }
}

function packState({configuration, ...rest}: EdgeState): PackedEdgeState {
  const configurationChange = undefined;
  return {
    ...rest,
    packedUpdate: packUpdate({configuration, configurationChange}),
  };
}

/** Unpacks a state; undefined if it has no configuration that can be decoded. */
async function unpackState(
  received: EdgeState | PackedEdgeState,
): Promise<EdgeState | undefined> {
  if (!('packedUpdate' in received)) {
    return received;
  }
  const {packedUpdate, ...rest} = received;
  const update = await unpackUpdate(packedUpdate);
  const configuration = update.isOk() ? update.value.configuration : undefined;
  return configuration && {...rest, configuration};
}

/** Sort key that orders edges by region, hall and box. */
function ringKey({box, hall}: BoxRecord, regions: Regions): string {
  const region = regions.hasMultipleRegions ? `${regions.regionOf(hall)} ` : '';
  return `${region}${hall} ${box}`;
}
