/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against overloading cold upstreams when a hall returns to service while many
 * edges, some of them new, learn of it at different times.
 */
import {NoopDecisionLog} from 'puffinturn-decisions';
import type {BoxRecord} from 'puffinturn-fleet';
import {MemoryNetwork} from 'puffinturn-wire';
import {ManualClock, Random, selectByWeight} from 'shared';

import type {PromptPart} from '../../callers/CallerProtocol';
import {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import {LowestLatency} from '../../upstreams/LoadBalancer';
import type {UpstreamAdmission} from '../../upstreams/UpstreamAdmission';
import type {AdmissionFactory} from '../utils/Admissions';
import {
  createPacedAdmission,
  createPermitAdmission,
  createUnboundedAdmission,
  edgeRecord,
} from '../utils/Admissions';
import {makeUpstream} from '../utils/EdgeFixture';

const EDGES = 87;
const JOINING_EDGES = 12;
const UPSTREAMS = 63;
const HALLS = 3;
const COLD_START = {durationMs: 3_000, requestsPerSecond: 9.9};
const TOLERANCE = {extra: 5, overage: 1.5};
const MAX_ARRIVALS_PER_S = 19;

/** Total request rate of all edges, requests/s. */
const ARRIVALS_PER_S = 700;
/** Share of the requests that have the same prompt, from 0 to 1. */
const HOT_PROMPT_SHARE = 0.28;
const REQUEST_MS = 1_500;
const PROMPTS = 900;
const PROPAGATION_MS = 200;
const STEP_MS = 1;

const SERVICE = {
  coldStart: COLD_START,
  engine: undefined,
  maxConnections: 1,
  name: 's',
};

interface SimulatedEdge {
  readonly box: string;
  readonly upstreams: readonly EdgeUpstream[];
  readonly admission: UpstreamAdmission;
  peers: readonly BoxRecord[];
  /** Relative number of callers. */
  readonly weight: number;
}

const ADMISSION_CONTEXT = {coldStart: COLD_START, isLeastUrgent: false};

function createPrompt(prompt: number): PromptPart[] {
  return [
    {id: `shared-${prompt}`, tokens: 5_400},
    {id: 'own', tokens: 1_200},
  ];
}

class ColdHallSimulation {
  readonly clock = new ManualClock();
  readonly arrivals = new Map<string, number[]>();
  readonly edges: SimulatedEdge[];
  sent = 0;
  refused = 0;
  private readonly loadBalancer = new LowestLatency();
  private readonly hotPrompt: number;
  private readonly random: Random;
  private readonly network: MemoryNetwork;

  constructor(
    seed: number,
    private readonly createAdmission: AdmissionFactory,
  ) {
    this.random = new Random(seed);
    this.network = new MemoryNetwork(this.clock, new Random(seed));
    this.edges = Array.from({length: EDGES}, (_, at) =>
      this.createEdge(`e${at}`),
    );
    this.announceEdges(this.edges);
    this.hotPrompt = this.findHotPrompt();
  }

  /** Turns the upstreams of one hall cold; edges are notified after random delays. */
  async run(): Promise<void> {
    await this.clock.advance(10_000);
    const coldUntil = this.clock.now() + COLD_START.durationMs;
    for (const edge of this.edges) {
      const delayMs = this.random.fraction() * PROPAGATION_MS;
      void this.clock.sleep(delayMs).then(() => this.turnCold(edge, coldUntil));
    }
    await this.clock.advance(PROPAGATION_MS);
    const joined = Array.from({length: JOINING_EDGES}, (_, at) =>
      this.createEdge(`n${at}`),
    );
    joined.forEach((edge) => this.turnCold(edge, coldUntil));
    this.edges.push(...joined);
    // New edges have the full list of boxes; the others receive it after random delays.
    joined.forEach((edge) => (edge.peers = this.peersOf(edge)));
    for (const edge of this.edges) {
      void this.clock
        .sleep(this.random.fraction() * PROPAGATION_MS)
        .then(() => (edge.peers = this.peersOf(edge)));
    }
    for (
      let at = 0;
      at < COLD_START.durationMs - PROPAGATION_MS;
      at += STEP_MS
    ) {
      for (let n = this.arrivalsInStep(); n > 0; n -= 1) {
        void this.sendRequest();
      }
      await this.clock.advance(STEP_MS);
    }
  }

  /** Maximum requests that one cold upstream got in any second. */
  get peakArrivalsPerS(): number {
    let most = 0;
    for (const times of this.arrivals.values()) {
      for (const [from, at] of times.entries()) {
        const within = times.slice(from).filter((time) => time < at + 1_000);
        most = Math.max(most, within.length);
      }
    }
    return most;
  }

  /** Finds a prompt that all edges send to an upstream of the cold hall. */
  private findHotPrompt(): number {
    const upstreams = this.edges[0]?.upstreams ?? [];
    for (let prompt = 0; ; prompt += 1) {
      const context = {hall: '', parts: createPrompt(prompt), service: SERVICE};
      if (this.loadBalancer.choose(upstreams, context)?.record.hall === 'h0') {
        return prompt;
      }
    }
  }

  private arrivalsInStep(): number {
    const mean = (ARRIVALS_PER_S * STEP_MS) / 1_000;
    return this.random.fraction() < mean ? 1 : 0;
  }

  private async sendRequest(): Promise<void> {
    const edge = this.pickEdge();
    const isHot = this.random.fraction() < HOT_PROMPT_SHARE;
    const prompt = isHot ? this.hotPrompt : this.random.integer(0, PROMPTS);
    const parts = createPrompt(prompt);
    const context = {hall: edge.box, parts, service: SERVICE};
    const denied = new Set<EdgeUpstream>();
    for (;;) {
      const admissible = edge.upstreams.filter(
        (each) =>
          !denied.has(each) &&
          edge.admission.waitMs(each, ADMISSION_CONTEXT) === 0,
      );
      const upstream = this.loadBalancer.choose(admissible, context);
      if (upstream === undefined) {
        this.refused += 1;
        return;
      }
      if (await edge.admission.admit(upstream, ADMISSION_CONTEXT)) {
        this.send(upstream, parts);
        return;
      }
      denied.add(upstream);
    }
  }

  private send(upstream: EdgeUpstream, parts: PromptPart[]): void {
    this.sent += 1;
    upstream.inFlight += 1;
    upstream.cachedPrefixes.recordPrompt(parts);
    void this.clock.sleep(REQUEST_MS).then(() => (upstream.inFlight -= 1));
    if (upstream.isCold) {
      const times = this.arrivals.get(upstream.id) ?? [];
      this.arrivals.set(upstream.id, [...times, this.clock.now()]);
    }
  }

  private pickEdge(): SimulatedEdge {
    return selectByWeight(
      this.edges,
      ({weight}) => weight,
      this.random.fraction(),
    )!;
  }

  private turnCold({upstreams}: SimulatedEdge, coldUntil: number): void {
    for (const upstream of upstreams) {
      if (upstream.record.hall === 'h0') {
        upstream.markCold(coldUntil);
      }
    }
  }

  private createEdge(box: string): SimulatedEdge {
    const log = new NoopDecisionLog();
    const upstreams = Array.from({length: UPSTREAMS}, (_, at) => {
      const hall = `h${at % HALLS}`;
      return new EdgeUpstream(makeUpstream(`i-${at}`, {hall}), this.clock, log);
    });
    const admission = this.createAdmission({
      box,
      clock: this.clock,
      network: this.network,
      peers: () => edge.peers,
      tolerance: TOLERANCE,
      findUpstream: (id) => upstreams.find((upstream) => upstream.id === id),
    });
    const weight = this.random.integer(1, 6);
    const edge: SimulatedEdge = {admission, box, peers: [], upstreams, weight};
    return edge;
  }

  private announceEdges(edges: readonly SimulatedEdge[]): void {
    for (const edge of edges) {
      edge.peers = this.peersOf(edge);
    }
  }

  private peersOf(self: SimulatedEdge): BoxRecord[] {
    return this.edges
      .filter((edge) => edge !== self)
      .map(({box}) => edgeRecord(box));
  }
}

describe('A hall that returns to service cold', () => {
  test.each([
    [1, 'permits', createPermitAdmission],
    [2, 'permits', createPermitAdmission],
    [3, 'permits', createPermitAdmission],
    [1, 'pace', createPacedAdmission],
    [2, 'pace', createPacedAdmission],
    [3, 'pace', createPacedAdmission],
  ] as const)(
    'stays within its cold-start limit (seed %i, admission by %s)',
    async (seed, _, createAdmission) => {
      const hall = new ColdHallSimulation(seed, createAdmission);
      await hall.run();
      expect(hall.peakArrivalsPerS).toBeLessThanOrEqual(MAX_ARRIVALS_PER_S);
      expect(hall.refused).toBe(0);
      // Upstreams warm up by serving requests, so most of them must get some.
      expect(hall.arrivals.size).toBeGreaterThan(UPSTREAMS / HALLS / 2);
    },
  );

  test('exceeds its cold-start limit without admission control', async () => {
    const hall = new ColdHallSimulation(1, createUnboundedAdmission);
    await hall.run();
    expect(hall.peakArrivalsPerS).toBeGreaterThan(MAX_ARRIVALS_PER_S);
  });
});
