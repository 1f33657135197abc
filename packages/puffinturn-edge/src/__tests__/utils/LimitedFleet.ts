/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Edges before upstreams that name in their answers how many requests a second they
 * take from all of them, in virtual time. Counts what arrives and what is refused.
 */
import {SilentDecisionLog} from 'puffinturn-decisions';
import type {BoxRecord} from 'puffinturn-fleet';
import {MemoryNetwork} from 'puffinturn-wire';
import {ManualClock, Random} from 'shared';

import {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import type {UpstreamAdmission} from '../../upstreams/UpstreamAdmission';
import type {AdmissionOf} from './AdmittingEdge';
import {recordOf} from './AdmittingEdge';
import {upstreamOf} from './EdgeFixture';

/** Time from a request to its answer, ms. */
const ANSWER_MS = 50;

/** Time from an answer until all edges have it from the core, ms. */
const NEWS_MS = 100;

/** Edges have this time from the first answer that names a limit, ms. */
const FIRST_MS = 3_000;

/** Requests count from edges that had passed such an answer on for so long, ms. */
const TOLD_MS = 500;

/** The span in which requests are counted, ms. */
const SPAN_MS = 4_000;

const STEP_MS = 5;
const FACTS = {coldStart: undefined, isLeastUrgent: false};

/** The most requests that may reach an upstream in any span. */
export function mostAllowed(perSecond: number): number {
  return Math.floor((perSecond * 1.5 * SPAN_MS) / 1_000 + 5);
}

/** What an upstream names at a time, requests a second; undefined for no limit. */
export type LimitAt = (upstream: string, now: number) => number | undefined;

/** What a LimitedFleet is made of. */
export interface LimitedFleetFields {
  readonly admissionOf: AdmissionOf;
  readonly edges: number;
  readonly upstreams: number;
  readonly limitAt: LimitAt;
  /** Requests a second at all edges together. */
  readonly perSecond: number;
  readonly seed: number;
  /** Whether all callers are at one edge. */
  readonly atOneEdge?: boolean;
  /** Whether the core tells edges what others have heard. */
  readonly hasCore?: boolean;
}

interface SimulatedEdge {
  readonly box: string;
  readonly life: number;
  admission: UpstreamAdmission;
  readonly upstreams: readonly EdgeUpstream[];
  readonly toldAt: Map<string, number>;
  isUp: boolean;
}

interface Arrival {
  readonly at: number;
  /** Whether the edge had passed an answer with a limit on for long enough. */
  readonly counts: boolean;
}

/** See the module comment. */
export class LimitedFleet {
  readonly clock = new ManualClock();
  readonly network: MemoryNetwork;
  readonly edges: SimulatedEdge[] = [];
  readonly arrivals = new Map<string, Arrival[]>();
  served = 0;
  refused = 0;
  /** Boxes that edges know; the list of the core. */
  private records: readonly BoxRecord[];
  private readonly peerLists = new Map<string, readonly BoxRecord[]>();
  private readonly namedAt = new Map<string, number>();
  private readonly random: Random;

  constructor(private readonly fields: LimitedFleetFields) {
    const {edges, seed} = fields;
    this.random = new Random(seed);
    this.network = new MemoryNetwork(this.clock, new Random(seed + 1));
    const boxes = Array.from({length: edges}, (_, at) => `e${at}`);
    this.records = boxes.map(recordOf);
    for (const box of boxes) {
      this.edges.push(this.edgeOf(box, 1));
    }
  }

  /** Requests come for so long. */
  async run(ms: number): Promise<void> {
    const {perSecond} = this.fields;
    for (let at = 0; at < ms; at += STEP_MS) {
      const mean = (perSecond * STEP_MS) / 1_000;
      const count =
        Math.floor(mean) + (this.random.fraction() < mean % 1 ? 1 : 0);
      for (let asked = 0; asked < count; asked += 1) {
        void this.ask();
      }
      await this.clock.advance(STEP_MS);
    }
  }

  /** Ends an edge; the others hear of it from the core later, or never. */
  kill(at: number): void {
    const edge = this.edges[at];
    if (edge !== undefined) {
      edge.isUp = false;
      this.network.disconnect(edge.box);
    }
  }

  /** Starts an edge again that was killed; it knows nothing. */
  restart(at: number): void {
    const edge = this.edges[at];
    if (edge !== undefined) {
      this.edges[at] = this.edgeOf(edge.box, edge.life + 1);
    }
  }

  /** The core tells all edges which ones there are. */
  tellBoxes(boxes: readonly string[]): void {
    this.records = boxes.map(recordOf);
    this.peerLists.clear();
  }

  /** The most that counts of what one upstream got in any span, of all upstreams. */
  get most(): number {
    return this.mostOf(({counts}) => counts);
  }

  /** The most that reached one upstream in any span, FIRST_MS after its first limit. */
  get mostOfAll(): number {
    return this.mostOf(() => true);
  }

  private mostOf(isCounted: (arrival: Arrival) => boolean): number {
    const counts = [...this.arrivals].flatMap(([id, arrivals]) => {
      const from = (this.namedAt.get(id) ?? Infinity) + FIRST_MS;
      const times = arrivals
        .filter((arrival) => arrival.at >= from && isCounted(arrival))
        .map(({at}) => at);
      return times.map(
        (first, index) =>
          times.slice(index).filter((at) => at < first + SPAN_MS).length,
      );
    });
    return Math.max(0, ...counts);
  }

  private async ask(): Promise<void> {
    const edge = this.fields.atOneEdge
      ? this.edges[0]
      : this.random.pick(this.edges);
    if (edge?.isUp !== true) {
      return;
    }
    const heldBack = new Set<EdgeUpstream>();
    for (;;) {
      const open = edge.upstreams.filter(
        (each) =>
          !heldBack.has(each) && edge.admission.waitMs(each, FACTS) === 0,
      );
      const upstream = this.random.pick(open);
      if (upstream === undefined) {
        this.refused += 1;
        return;
      }
      if (await edge.admission.admit(upstream, FACTS)) {
        await this.send(edge, upstream);
        return;
      }
      heldBack.add(upstream);
    }
  }

  private async send(
    edge: SimulatedEdge,
    upstream: EdgeUpstream,
  ): Promise<void> {
    const {id} = upstream;
    const sentAt = this.clock.now();
    const toldAt = edge.toldAt.get(id) ?? Infinity;
    const arrival = {at: sentAt, counts: sentAt >= toldAt + TOLD_MS};
    const arrivals = this.arrivals.get(id) ?? [];
    arrivals.push(arrival);
    this.arrivals.set(id, arrivals);
    this.served += 1;
    await this.clock.sleep(ANSWER_MS);
    const now = this.clock.now();
    const perSecond = this.fields.limitAt(id, now);
    if (perSecond !== undefined) {
      this.namedAt.set(id, this.namedAt.get(id) ?? now);
      edge.toldAt.set(id, edge.toldAt.get(id) ?? now);
    }
    if (edge.isUp && upstream.limits.hear(perSecond, sentAt)) {
      edge.admission.shareLimit(upstream);
      void this.tellAll(upstream);
    }
  }

  /** The core tells all edges what one of them has heard. */
  private async tellAll({id, limits}: EdgeUpstream): Promise<void> {
    const {limit} = limits;
    if (this.fields.hasCore === false) {
      return;
    }
    await this.clock.sleep(NEWS_MS);
    for (const {upstreams} of this.edges) {
      upstreams.find((each) => each.id === id)?.limits.learn(limit);
    }
  }

  private edgeOf(box: string, life: number): SimulatedEdge {
    const log = new SilentDecisionLog();
    const upstreams = Array.from({length: this.fields.upstreams}, (_, at) => {
      return new EdgeUpstream(upstreamOf(`i-${at}`), this.clock, log);
    });
    const admission = this.fields.admissionOf({
      box,
      clock: this.clock,
      network: this.network,
      peers: () => this.peersOf(box),
      tolerance: {extra: 5, overage: 1.5},
      upstreamOf: (id) => upstreams.find((each) => each.id === id),
    });
    const toldAt = new Map<string, number>();
    return {admission, box, isUp: true, life, toldAt, upstreams};
  }

  private peersOf(self: string): readonly BoxRecord[] {
    const known = this.peerLists.get(self);
    if (known !== undefined) {
      return known;
    }
    const peers = this.records.filter(({box}) => box !== self);
    this.peerLists.set(self, peers);
    return peers;
  }
}
