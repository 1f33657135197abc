/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Load: two regions of two halls, twelve edges and six engines each; 120 requests a
 * second and region, of 12 KB, most of them about one of 60 prompts of 5,000 tokens.
 * A third of the requests are less urgent. Then a region's engines go dark, all or
 * all but one, for six seconds, and come back knowing no prompt.
 */
import {ManualClock, Random} from 'shared';

import type {PromptPart} from '../../callers/CallerDialect';
import {RegionCrossing} from '../../regions/RegionCrossing';
import type {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import {PromptReading} from '../../upstreams/PromptReading';
import type {Placement} from '../../upstreams/UpstreamChoice';
import type {CrossingOf} from '../utils/RegionEdge';
import {RegionEdge, TWO_REGIONS} from '../utils/RegionEdge';

const HALLS = Object.keys(TWO_REGIONS);
const EDGES_A_HALL = 6;
const ENGINES_A_HALL = 3;
const ARRIVALS_PER_S = 240;
const PROMPTS = 60;
const SHARED_TOKENS = 5_000;
const OWN_TOKENS = 1_200;
const READS_PER_MS = 85;
const BODY_BYTES = 12_000;
const OBJECTIVE_MS = 500;
const CONNECT_MS = 400;
const COPY_MS_PER_TOKEN = 0.0004;
const COPY_SETUP_MS = 10;
const MOST_TRIES = 4;
const LEAST_URGENT_PART = 0.33;
const STEP_MS = 2;
const DARK_FROM_MS = 6_000;
const DARK_UNTIL_MS = 12_000;
const DAY_MS = 20_000;

/** One engine: reads prompts one after the other, and keeps what it has read. */
class Engine {
  readonly kept = new Set<string>();
  isDark = false;
  private freeAt = 0;

  constructor(readonly hall: string) {}

  /** When the first token of a prompt comes, ms from now. */
  read(now: number, promptId: string, copiedTokens: number): number {
    const keeps = this.kept.has(promptId);
    const shared = keeps ? 0 : SHARED_TOKENS - copiedTokens;
    const copy =
      copiedTokens === 0 ? 0 : COPY_SETUP_MS + copiedTokens * COPY_MS_PER_TOKEN;
    const began = Math.max(now, this.freeAt);
    this.kept.add(promptId);
    this.freeAt = began + copy + (shared + OWN_TOKENS) / READS_PER_MS;
    return this.freeAt - now;
  }
}

interface Tally {
  inTime: number;
  late: number;
  refused: number;
  crossed: number;
}

/** What came of the requests of a stretch of time, by rank. */
interface Stretch {
  readonly urgent: Tally;
  readonly least: Tally;
  bytes: number;
}

interface Outcome {
  readonly before: Stretch;
  readonly during: Stretch;
  /** From 2 s after the return on. */
  readonly after: Stretch;
  /** Prompts read from their start, by all engines of both regions. */
  readonly wholeReads: number;
  readonly copiesAcross: number;
}

function noTally(): Tally {
  return {crossed: 0, inTime: 0, late: 0, refused: 0};
}

function noStretch(): Stretch {
  return {bytes: 0, least: noTally(), urgent: noTally()};
}

/** What happens to the link and to the engines from DARK_FROM_MS on. */
interface Trouble {
  /** How many of the six western engines stay. */
  readonly left: number;
  readonly linkIsCut: boolean;
}

interface Way {
  readonly byHall: Readonly<Record<string, string>>;
  readonly crossingOf?: CrossingOf;
}

/** Edges take the other region for further halls of their own. */
const ONE_REGION: Way = {byHall: {}};

/** Another region is taken where there is no engine at home, and only then. */
class LastResort extends RegionCrossing {
  override transferMs(): number {
    return 1e9;
  }
}

const STRICT: Way = {
  byHall: TWO_REGIONS,
  crossingOf: (parts) => new LastResort(parts),
};

const KEPT: Way = {byHall: TWO_REGIONS};

/** One run of the load under a trouble. */
class RegionDay {
  private readonly clock = new ManualClock();
  private readonly random: Random;
  private readonly engines = new Map<string, Engine>();
  private readonly edges: readonly {
    readonly edge: RegionEdge;
    readonly hall: string;
  }[];
  private readonly outcome = {
    after: noStretch(),
    before: noStretch(),
    copiesAcross: 0,
    during: noStretch(),
    wholeReads: 0,
  };

  constructor(
    way: Way,
    private readonly trouble: Trouble,
    seed: number,
  ) {
    this.random = new Random(seed);
    for (const hall of HALLS) {
      for (let at = 0; at < ENGINES_A_HALL; at += 1) {
        this.engines.set(`${hall}-${at}`, new Engine(hall));
      }
    }
    this.edges = HALLS.flatMap((hall) =>
      Array.from({length: EDGES_A_HALL}, () => ({
        edge: this.edgeIn(hall, way),
        hall,
      })),
    );
  }

  async run(): Promise<Outcome> {
    const {clock, random} = this;
    for (let at = 0; at < DAY_MS; at += STEP_MS) {
      if (at === DARK_FROM_MS) {
        this.begin();
      }
      if (at === DARK_UNTIL_MS) {
        this.end();
      }
      // Callers come in pairs.
      if (random.fraction() < (ARRIVALS_PER_S * STEP_MS) / 2_000) {
        void this.ask();
        void this.ask();
      }
      await clock.advance(STEP_MS);
    }
    await clock.advance(5_000);
    return this.outcome;
  }

  private edgeIn(hall: string, {byHall, crossingOf}: Way): RegionEdge {
    const edge = new RegionEdge({
      byHall,
      clock: this.clock,
      edges: EDGES_A_HALL * 2,
      hall,
      random: this.random,
      ...(crossingOf === undefined ? {} : {crossingOf}),
    });
    for (const id of this.engines.keys()) {
      edge.add(id);
    }
    return edge;
  }

  private begin(): void {
    const west = [...this.engines.values()].filter(({hall}) => isWest(hall));
    for (const engine of west.slice(this.trouble.left)) {
      engine.isDark = true;
    }
  }

  private end(): void {
    for (const engine of this.engines.values()) {
      if (engine.isDark) {
        engine.isDark = false;
        engine.kept.clear();
      }
    }
  }

  private stretchAt(now: number): Stretch {
    if (now < DARK_FROM_MS) {
      return this.outcome.before;
    }
    // The first second shows what edges do before they know.
    if (now < DARK_UNTIL_MS) {
      return now < DARK_FROM_MS + 1_000 ? noStretch() : this.outcome.during;
    }
    return now < DARK_UNTIL_MS + 2_000 ? noStretch() : this.outcome.after;
  }

  private promptOf(): readonly PromptPart[] {
    const {random} = this;
    const rank = Math.floor(random.fraction() * random.fraction() * PROMPTS);
    return [
      {id: `p${rank}`, tokens: SHARED_TOKENS},
      {id: `own-${random.integer(0, 1e9)}`, tokens: OWN_TOKENS},
    ];
  }

  private async ask(): Promise<void> {
    const {clock, random} = this;
    const from = random.pick(this.edges)!;
    const parts = this.promptOf();
    const plan = from.edge.enginePlan(parts);
    const isLeastUrgent = random.fraction() < LEAST_URGENT_PART;
    const began = clock.now();
    const stretch = this.stretchAt(began);
    const tally = isLeastUrgent ? stretch.least : stretch.urgent;
    const sending = {
      bodyBytes: BODY_BYTES,
      heldBack: new Set<EdgeUpstream>(),
      isLeastUrgent,
    };
    const tried: EdgeUpstream[] = [];
    while (tried.length < MOST_TRIES) {
      const placed = from.edge.place(plan, tried, sending);
      if (placed === undefined) {
        break;
      }
      tried.push(placed.upstream);
      const {doubtful} = placed.upstream;
      if (doubtful) {
        from.edge.homeProbes.sent();
      }
      const isAway = isWest(from.hall) !== isWest(placed.upstream.record.hall);
      if (isAway) {
        tally.crossed += 1;
        stretch.bytes += BODY_BYTES + 5_000;
      }
      if (from.edge.crossing.isAway(placed.upstream.record.hall)) {
        from.edge.crossing.sent(plan, BODY_BYTES);
      }
      if (await this.serve(placed, parts, isAway)) {
        if (doubtful) {
          from.edge.homeProbes.answered();
        }
        const isInTime = clock.now() - began <= OBJECTIVE_MS;
        tally[isInTime ? 'inTime' : 'late'] += 1;
        return;
      }
    }
    tally.refused += 1;
  }

  /** Sends it; false where no connection comes up. */
  private async serve(
    placement: Placement,
    parts: readonly PromptPart[],
    isAway: boolean,
  ): Promise<boolean> {
    const {clock, outcome} = this;
    const {copiedTokens, prefixSource, upstream} = placement;
    const engine = this.engines.get(upstream.id)!;
    const isCut = isAway && this.trouble.linkIsCut && isTroubled(clock.now());
    upstream.inFlight += 1;
    if (engine.isDark || isCut) {
      await clock.sleep(CONNECT_MS);
      upstream.inFlight -= 1;
      upstream.unreachable();
      return false;
    }
    const [shared] = parts;
    const promptId = shared!.id;
    if (!engine.kept.has(promptId) && copiedTokens === 0) {
      outcome.wholeReads += 1;
    }
    const source = prefixSource?.record.hall;
    if (source !== undefined && isWest(source) !== isWest(engine.hall)) {
      outcome.copiesAcross += 1;
    }
    const reading = new PromptReading(clock, placement, parts);
    await clock.sleep(isAway ? 12 : 1);
    await clock.sleep(engine.read(clock.now(), promptId, copiedTokens));
    await clock.sleep(isAway ? 12 : 1);
    upstream.inFlight -= 1;
    reading.end(true);
    upstream.succeeded();
    return true;
  }
}

function isWest(hall: string): boolean {
  return hall.startsWith('w');
}

function isTroubled(now: number): boolean {
  return now >= DARK_FROM_MS && now < DARK_UNTIL_MS;
}

function play(way: Way, trouble: Trouble, seed: number): Promise<Outcome> {
  return new RegionDay(way, trouble, seed).run();
}

function countOf({inTime, late, refused}: Tally): number {
  return inTime + late + refused;
}

/** Requests in time, of one. */
function servedPart(...tallies: Tally[]): number {
  const all = tallies.reduce((sum, tally) => sum + countOf(tally), 0);
  return tallies.reduce((sum, {inTime}) => sum + inTime, 0) / all;
}

/** Attempts that went over, for each request. */
function crossedPart(...tallies: Tally[]): number {
  const all = tallies.reduce((sum, tally) => sum + countOf(tally), 0);
  return tallies.reduce((sum, {crossed}) => sum + crossed, 0) / all;
}

function partsOf({least, urgent}: Stretch) {
  return {
    crossed: crossedPart(urgent, least),
    least: servedPart(least),
    served: servedPart(urgent, least),
    urgent: servedPart(urgent),
  };
}

const CALM: Trouble = {left: 6, linkIsCut: false};
const CUT: Trouble = {left: 6, linkIsCut: true};
const DARK: Trouble = {left: 0, linkIsCut: false};
const ONE_LEFT: Trouble = {left: 1, linkIsCut: false};
const TWO_LEFT: Trouble = {left: 2, linkIsCut: false};
const SEEDS = [1, 2, 3];

/** Half of what the link carries, and what edges may send at once, kB/s. */
const MOST_KB_PER_S = 2_500 + 1_000;

function kiloBytesPerS({bytes}: Stretch, ms: number): number {
  return bytes / ms;
}

describe('Two regions under load', () => {
  test.each(SEEDS)('cross for nothing while all is well (%i)', async (seed) => {
    const {after, before, copiesAcross, during, wholeReads} = await play(
      KEPT,
      CALM,
      seed,
    );
    for (const stretch of [before, during, after]) {
      expect(partsOf(stretch).crossed).toBeLessThan(0.01);
      expect(partsOf(stretch).served).toBeGreaterThan(0.99);
    }
    expect(copiesAcross).toBe(0);
    // Each prompt once a region, and not once an engine.
    expect(wholeReads).toBeLessThan(2.1 * PROMPTS);
  });

  test.each(SEEDS)('do not notice that the link is cut (%i)', async (seed) => {
    const kept = partsOf((await play(KEPT, CUT, seed)).during);
    const former = partsOf((await play(ONE_REGION, CUT, seed)).during);
    expect(kept.served).toBeGreaterThan(0.99);
    expect(kept.served).toBeGreaterThan(former.served);
  });

  test.each(SEEDS)('serve each other where one is dark (%i)', async (seed) => {
    const {after, copiesAcross, during} = await play(KEPT, DARK, seed);
    const parts = partsOf(during);
    expect(parts.served).toBeGreaterThan(0.9);
    expect(parts.urgent).toBeGreaterThanOrEqual(parts.least - 0.01);
    expect(kiloBytesPerS(during, 5_000)).toBeLessThan(MOST_KB_PER_S);
    expect(copiesAcross).toBe(0);
    // Back home within two seconds, though the engines are cold.
    expect(partsOf(after).crossed).toBeLessThan(0.02);
    expect(partsOf(after).served).toBeGreaterThan(0.99);
  });

  test.each(SEEDS)('share what one can not bear alone (%i)', async (seed) => {
    for (const trouble of [ONE_LEFT, TWO_LEFT]) {
      const kept = partsOf((await play(KEPT, trouble, seed)).during);
      const strict = partsOf((await play(STRICT, trouble, seed)).during);
      expect(kept.served).toBeGreaterThan(0.93);
      expect(kept.served).toBeGreaterThan(strict.served + 0.1);
      expect(strict.crossed).toBeLessThan(0.05);
    }
  });

  test('serve at home what they can where the other one is cut off', async () => {
    const trouble: Trouble = {left: 0, linkIsCut: true};
    const {after, during} = await play(KEPT, trouble, 1);
    // The eastern half; attempts over a dead link are few.
    expect(partsOf(during).served).toBeGreaterThan(0.45);
    expect(partsOf(during).crossed).toBeLessThan(0.35);
    expect(partsOf(after).served).toBeGreaterThan(0.99);
  });

  test('move less over the link than halls of one region do', async () => {
    const kept = await play(KEPT, ONE_LEFT, 1);
    const former = await play(ONE_REGION, ONE_LEFT, 1);
    expect(kept.during.bytes).toBeLessThan(0.7 * former.during.bytes);
    expect(kept.before.bytes).toBeLessThan(0.05 * former.before.bytes);
    expect(former.copiesAcross).toBeGreaterThan(0);
  });
});
