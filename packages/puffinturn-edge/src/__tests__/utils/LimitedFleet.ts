/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Simulates edges that send to rate-limited upstreams, in virtual time. */
import {NoopDecisionLog} from 'puffinturn-decisions';
import type {BoxRecord} from 'puffinturn-fleet';
import {MemoryNetwork} from 'puffinturn-wire';
import {ManualClock, Random} from 'shared';

import {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import type {UpstreamAdmission} from '../../upstreams/UpstreamAdmission';
import type {AdmissionFactory} from './Admissions';
import {edgeRecord} from './Admissions';
import {makeUpstream} from './EdgeFixture';

/** Time from a request to its response, ms. */
const RESPONSE_MS = 50;

/** Time until the control plane has propagated a limit to all edges, ms. */
const PROPAGATION_MS = 100;

/** Time after the first stated limit from which arrivals are checked, ms. */
const SETTLING_MS = 3_000;

/** Time after an edge reported a limit from which its requests are counted, ms. */
const REPORT_DELAY_MS = 500;

/** Length of the sliding window in which requests are counted, ms. */
const WINDOW_MS = 4_000;

const STEP_MS = 5;
const ADMISSION_CONTEXT = {coldStart: undefined, isLeastUrgent: false};

/** Maximum requests that may reach an upstream in any window. */
export function maxAllowedArrivals(perSecond: number): number {
  return Math.floor((perSecond * 1.5 * WINDOW_MS) / 1_000 + 5);
}

/** Rate limit that an upstream states at a time, requests/s; undefined for none. */
export type LimitAt = (upstream: string, now: number) => number | undefined;

/** Options of a LimitedFleet. */
export interface LimitedFleetOptions {
  readonly createAdmission: AdmissionFactory;
  readonly edges: number;
  readonly upstreams: number;
  readonly limitAt: LimitAt;
  /** Total request rate of all edges, requests/s. */
  readonly requestsPerSecond: number;
  readonly seed: number;
  /** Whether all requests are sent through one edge. */
  readonly usesOneEdge?: boolean;
  /** Whether a control plane propagates limits between edges. */
  readonly hasCore?: boolean;
}

interface SimulatedEdge {
  readonly box: string;
  readonly incarnation: number;
  admission: UpstreamAdmission;
  readonly upstreams: readonly EdgeUpstream[];
  readonly limitKnownAt: Map<string, number>;
  isUp: boolean;
}

interface Arrival {
  readonly at: number;
  /** Whether the edge had reported the limit at least REPORT_DELAY_MS before. */
  readonly isCounted: boolean;
}

/**
 * Simulated edges and upstreams that state rate limits in their responses. Counts the
 * requests that arrive at each upstream and those that are rejected.
 */
export class LimitedFleet {
  readonly clock = new ManualClock();
  readonly network: MemoryNetwork;
  readonly edges: SimulatedEdge[] = [];
  readonly arrivals = new Map<string, Arrival[]>();
  served = 0;
  refused = 0;
  /** Boxes in the list distributed by the control plane. */
  private boxRecords: readonly BoxRecord[];
  private readonly peerLists = new Map<string, readonly BoxRecord[]>();
  private readonly firstLimitAt = new Map<string, number>();
  private readonly random: Random;

  constructor(private readonly options: LimitedFleetOptions) {
    const {edges, seed} = options;
    this.random = new Random(seed);
    this.network = new MemoryNetwork(this.clock, new Random(seed + 1));
    const boxes = Array.from({length: edges}, (_, at) => `e${at}`);
    this.boxRecords = boxes.map(edgeRecord);
    for (const box of boxes) {
      this.edges.push(this.createEdge(box, 1));
    }
  }

  /** Sends requests for the given time, ms. */
  async run(ms: number): Promise<void> {
    const {requestsPerSecond} = this.options;
    for (let at = 0; at < ms; at += STEP_MS) {
      const mean = (requestsPerSecond * STEP_MS) / 1_000;
      const count =
        Math.floor(mean) + (this.random.fraction() < mean % 1 ? 1 : 0);
      for (let asked = 0; asked < count; asked += 1) {
        void this.sendRequest();
      }
      await this.clock.advance(STEP_MS);
    }
  }

  /** Stops an edge without telling the others. */
  kill(at: number): void {
    const edge = this.edges[at];
    if (edge !== undefined) {
      edge.isUp = false;
      this.network.disconnect(edge.box);
    }
  }

  /** Restarts a stopped edge with empty state. */
  restart(at: number): void {
    const edge = this.edges[at];
    if (edge !== undefined) {
      this.edges[at] = this.createEdge(edge.box, edge.incarnation + 1);
    }
  }

  /** Distributes the list of edges to all edges. */
  announceBoxes(boxes: readonly string[]): void {
    this.boxRecords = boxes.map(edgeRecord);
    this.peerLists.clear();
  }

  /** Maximum counted arrivals at one upstream in any window. */
  get peakCountedArrivals(): number {
    return this.peakOf(({isCounted}) => isCounted);
  }

  /** Maximum arrivals at one upstream in any window, SETTLING_MS after its first limit. */
  get peakArrivals(): number {
    return this.peakOf(() => true);
  }

  private peakOf(isCounted: (arrival: Arrival) => boolean): number {
    const counts = [...this.arrivals].flatMap(([id, arrivals]) => {
      const from = (this.firstLimitAt.get(id) ?? Infinity) + SETTLING_MS;
      const times = arrivals
        .filter((arrival) => arrival.at >= from && isCounted(arrival))
        .map(({at}) => at);
      return times.map(
        (first, index) =>
          times.slice(index).filter((at) => at < first + WINDOW_MS).length,
      );
    });
    return Math.max(0, ...counts);
  }

  private async sendRequest(): Promise<void> {
    const edge = this.options.usesOneEdge
      ? this.edges[0]
      : this.random.pick(this.edges);
    if (edge?.isUp !== true) {
      return;
    }
    const denied = new Set<EdgeUpstream>();
    for (;;) {
      const admissible = edge.upstreams.filter(
        (each) =>
          !denied.has(each) &&
          edge.admission.waitMs(each, ADMISSION_CONTEXT) === 0,
      );
      const upstream = this.random.pick(admissible);
      if (upstream === undefined) {
        this.refused += 1;
        return;
      }
      if (await edge.admission.admit(upstream, ADMISSION_CONTEXT)) {
        await this.send(edge, upstream);
        return;
      }
      denied.add(upstream);
    }
  }

  private async send(
    edge: SimulatedEdge,
    upstream: EdgeUpstream,
  ): Promise<void> {
    const {id} = upstream;
    const sentAt = this.clock.now();
    const knownAt = edge.limitKnownAt.get(id) ?? Infinity;
    const arrival = {
      at: sentAt,
      isCounted: sentAt >= knownAt + REPORT_DELAY_MS,
    };
    const arrivals = this.arrivals.get(id) ?? [];
    arrivals.push(arrival);
    this.arrivals.set(id, arrivals);
    this.served += 1;
    await this.clock.sleep(RESPONSE_MS);
    const now = this.clock.now();
    const perSecond = this.options.limitAt(id, now);
    if (perSecond !== undefined) {
      this.firstLimitAt.set(id, this.firstLimitAt.get(id) ?? now);
      edge.limitKnownAt.set(id, edge.limitKnownAt.get(id) ?? now);
    }
    if (edge.isUp && upstream.limits.recordLimit(perSecond, sentAt)) {
      edge.admission.shareLimit(upstream);
      void this.propagateLimit(upstream);
    }
  }

  /** Propagates a limit to all edges through the control plane. */
  private async propagateLimit({id, limits}: EdgeUpstream): Promise<void> {
    const {limit} = limits;
    if (this.options.hasCore === false) {
      return;
    }
    await this.clock.sleep(PROPAGATION_MS);
    for (const {upstreams} of this.edges) {
      upstreams.find((each) => each.id === id)?.limits.merge(limit);
    }
  }

  private createEdge(box: string, incarnation: number): SimulatedEdge {
    const log = new NoopDecisionLog();
    const upstreams = Array.from({length: this.options.upstreams}, (_, at) => {
      return new EdgeUpstream(makeUpstream(`i-${at}`), this.clock, log);
    });
    const admission = this.options.createAdmission({
      box,
      clock: this.clock,
      network: this.network,
      peers: () => this.peersOf(box),
      tolerance: {extra: 5, overage: 1.5},
      findUpstream: (id) => upstreams.find((each) => each.id === id),
    });
    const limitKnownAt = new Map<string, number>();
    return {admission, box, isUp: true, incarnation, limitKnownAt, upstreams};
  }

  private peersOf(self: string): readonly BoxRecord[] {
    const known = this.peerLists.get(self);
    if (known !== undefined) {
      return known;
    }
    const peers = this.boxRecords.filter(({box}) => box !== self);
    this.peerLists.set(self, peers);
    return peers;
  }
}
