/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Load: a hall of 21 upstreams in 63 comes back cold while callers send 2.5 times
 * the usual, a quarter of it about one long prompt that one of them kept; 87 edges, some far busier than
 * others, learn of it up to a fifth of a second apart, and twelve edges start
 * meanwhile. A cold upstream may get 19 requests in any one second, from all
 * edges together.
 */
import {SilentDecisionLog} from 'puffinturn-decisions';
import type {BoxRecord} from 'puffinturn-fleet';
import {MemoryNetwork} from 'puffinturn-wire';
import {drawByWeight, ManualClock, Random} from 'shared';

import type {PromptPart} from '../../callers/CallerDialect';
import {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import type {UpstreamAdmission} from '../../upstreams/UpstreamAdmission';
import {ExpectedTime} from '../../upstreams/UpstreamChoice';
import type {AdmissionOf} from '../utils/AdmittingEdge';
import {byPace, byPermits, recordOf, unbounded} from '../utils/AdmittingEdge';
import {upstreamOf} from '../utils/EdgeFixture';

const EDGES = 87;
const NEW_EDGES = 12;
const UPSTREAMS = 63;
const HALLS = 3;
const COLD = {durationMs: 3_000, requestsPerSecond: 9.9};
const TOLERANCE = {extra: 5, overage: 1.5};
const MOST_A_SECOND = 19;

/** Requests to engines a second, and how long one is open. */
const ARRIVALS_PER_S = 700;
const HOT_PART = 0.28;
const OPEN_MS = 1_500;
const PROMPTS = 900;
const NEWS_WITHIN_MS = 200;
const STEP_MS = 1;

const SERVICE = {
  coldStart: COLD,
  engine: undefined,
  maxConnections: 1,
  name: 's',
};

interface SimulatedEdge {
  readonly box: string;
  readonly upstreams: readonly EdgeUpstream[];
  readonly admission: UpstreamAdmission;
  peers: readonly BoxRecord[];
  /** How many callers it has for each one of the others. */
  readonly weight: number;
}

const FACTS = {coldStart: COLD, isLeastUrgent: false};

function partsOf(prompt: number): PromptPart[] {
  return [
    {id: `shared-${prompt}`, tokens: 5_400},
    {id: 'own', tokens: 1_200},
  ];
}

class ColdHall {
  readonly clock = new ManualClock();
  readonly arrivals = new Map<string, number[]>();
  readonly edges: SimulatedEdge[];
  sent = 0;
  refused = 0;
  private readonly choice = new ExpectedTime();
  private readonly hot: number;
  private readonly random: Random;
  private readonly network: MemoryNetwork;

  constructor(
    seed: number,
    private readonly admissionOf: AdmissionOf,
  ) {
    this.random = new Random(seed);
    this.network = new MemoryNetwork(this.clock, new Random(seed));
    this.edges = Array.from({length: EDGES}, (_, at) => this.edgeOf(`e${at}`));
    this.introduce(this.edges);
    this.hot = this.promptKeptCold();
  }

  /** All upstreams of one hall turn cold; each edge learns of it a bit later. */
  async run(): Promise<void> {
    await this.clock.advance(10_000);
    const coldUntil = this.clock.now() + COLD.durationMs;
    for (const edge of this.edges) {
      const late = this.random.fraction() * NEWS_WITHIN_MS;
      void this.clock.sleep(late).then(() => this.turnCold(edge, coldUntil));
    }
    await this.clock.advance(NEWS_WITHIN_MS);
    const joined = Array.from({length: NEW_EDGES}, (_, at) =>
      this.edgeOf(`n${at}`),
    );
    joined.forEach((edge) => this.turnCold(edge, coldUntil));
    this.edges.push(...joined);
    // New edges know all others at once, the others learn of them one by one.
    joined.forEach((edge) => (edge.peers = this.peersOf(edge)));
    for (const edge of this.edges) {
      void this.clock
        .sleep(this.random.fraction() * NEWS_WITHIN_MS)
        .then(() => (edge.peers = this.peersOf(edge)));
    }
    for (let at = 0; at < COLD.durationMs - NEWS_WITHIN_MS; at += STEP_MS) {
      for (let n = this.arrivalsNow(); n > 0; n -= 1) {
        void this.arrive();
      }
      await this.clock.advance(STEP_MS);
    }
  }

  /** The most requests that one cold upstream got in any one second. */
  get busiestSecond(): number {
    let most = 0;
    for (const times of this.arrivals.values()) {
      for (const [from, at] of times.entries()) {
        const within = times.slice(from).filter((time) => time < at + 1_000);
        most = Math.max(most, within.length);
      }
    }
    return most;
  }

  /** A prompt that all edges agree to send to an upstream of the cold hall. */
  private promptKeptCold(): number {
    const upstreams = this.edges[0]?.upstreams ?? [];
    for (let prompt = 0; ; prompt += 1) {
      const facts = {hall: '', parts: partsOf(prompt), service: SERVICE};
      if (this.choice.choose(upstreams, facts)?.record.hall === 'h0') {
        return prompt;
      }
    }
  }

  private arrivalsNow(): number {
    const mean = (ARRIVALS_PER_S * STEP_MS) / 1_000;
    return this.random.fraction() < mean ? 1 : 0;
  }

  private async arrive(): Promise<void> {
    const edge = this.pickEdge();
    const isHot = this.random.fraction() < HOT_PART;
    const prompt = isHot ? this.hot : this.random.integer(0, PROMPTS);
    const parts = partsOf(prompt);
    const facts = {hall: edge.box, parts, service: SERVICE};
    const heldBack = new Set<EdgeUpstream>();
    for (;;) {
      const allowed = edge.upstreams.filter(
        (each) =>
          !heldBack.has(each) && edge.admission.waitMs(each, FACTS) === 0,
      );
      const upstream = this.choice.choose(allowed, facts);
      if (upstream === undefined) {
        this.refused += 1;
        return;
      }
      if (await edge.admission.admit(upstream, FACTS)) {
        this.send(upstream, parts);
        return;
      }
      heldBack.add(upstream);
    }
  }

  private send(upstream: EdgeUpstream, parts: PromptPart[]): void {
    this.sent += 1;
    upstream.inFlight += 1;
    upstream.prefixes.sent(parts);
    void this.clock.sleep(OPEN_MS).then(() => (upstream.inFlight -= 1));
    if (upstream.cold) {
      const times = this.arrivals.get(upstream.id) ?? [];
      this.arrivals.set(upstream.id, [...times, this.clock.now()]);
    }
  }

  private pickEdge(): SimulatedEdge {
    return drawByWeight(
      this.edges,
      ({weight}) => weight,
      this.random.fraction(),
    )!;
  }

  private turnCold({upstreams}: SimulatedEdge, coldUntil: number): void {
    for (const upstream of upstreams) {
      if (upstream.record.hall === 'h0') {
        upstream.turnsCold(coldUntil);
      }
    }
  }

  private edgeOf(box: string): SimulatedEdge {
    const log = new SilentDecisionLog();
    const upstreams = Array.from({length: UPSTREAMS}, (_, at) => {
      const hall = `h${at % HALLS}`;
      return new EdgeUpstream(upstreamOf(`i-${at}`, {hall}), this.clock, log);
    });
    const admission = this.admissionOf({
      box,
      clock: this.clock,
      network: this.network,
      peers: () => edge.peers,
      tolerance: TOLERANCE,
      upstreamOf: (id) => upstreams.find((upstream) => upstream.id === id),
    });
    const weight = this.random.integer(1, 6);
    const edge: SimulatedEdge = {admission, box, peers: [], upstreams, weight};
    return edge;
  }

  private introduce(edges: readonly SimulatedEdge[]): void {
    for (const edge of edges) {
      edge.peers = this.peersOf(edge);
    }
  }

  private peersOf(self: SimulatedEdge): BoxRecord[] {
    return this.edges
      .filter((edge) => edge !== self)
      .map(({box}) => recordOf(box));
  }
}

describe('A hall that comes back cold', () => {
  test.each([
    [1, 'permits', byPermits],
    [2, 'permits', byPermits],
    [3, 'permits', byPermits],
    [1, 'pace', byPace],
    [2, 'pace', byPace],
    [3, 'pace', byPace],
  ] as const)(
    'is not flooded (seed %i, by %s)',
    async (seed, _, admissionOf) => {
      const hall = new ColdHall(seed, admissionOf);
      await hall.run();
      expect(hall.busiestSecond).toBeLessThanOrEqual(MOST_A_SECOND);
      expect(hall.refused).toBe(0);
      // It warms up by use: most of its upstreams get something.
      expect(hall.arrivals.size).toBeGreaterThan(UPSTREAMS / HALLS / 2);
    },
  );

  test('would be without a bound', async () => {
    const hall = new ColdHall(1, unbounded);
    await hall.run();
    expect(hall.busiestSecond).toBeGreaterThan(MOST_A_SECOND);
  });
});
