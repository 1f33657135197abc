/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * What edges have done in one roll-out, and how many requests they may send to the
 * new version. Counts are cumulative by the life of an edge, so reports that come
 * twice, late, or of lives that are over do no harm. What was granted stays used, also
 * by a life that is over.
 */
import {AnswerTotals, NO_ANSWERS, tallyKey} from './AnswerTotals';
import {
  GRANTED_PART,
  LEAST_UNUSED_GRANTS,
  UNUSED_GRANTS_PART,
} from './RolloutConstants';
import type {ExposureBound, ExposureReport, VersionTally} from './Rollouts';

interface Life {
  readonly report: ExposureReport;
  readonly tallies: Map<string, VersionTally>;
  readonly heardAt: number;
  /** Granted to it in all, by this leader and those before. */
  readonly granted: number;
}

/** What the log knows of the exposure under former leaders. */
export interface ExposureBase {
  /** An upper bound of what they granted. */
  readonly granted: number;
  /** A lower bound of the requests of the service. */
  readonly counted: number;
}

/** See the module comment. */
export class ExposureLedger {
  private readonly lives = new Map<string, Life>();
  private readonly answers = new AnswerTotals();
  /** Granted by this leader. */
  private ownGrants = 0;
  /** Of all lives together. */
  private reported = 0;
  private exposedByAll = 0;

  constructor(
    private readonly bound: ExposureBound,
    private readonly base: ExposureBase,
  ) {}

  /** Requests of the service since the order that are known of. */
  get requests(): number {
    return Math.max(this.base.counted, this.reported);
  }

  /** Requests that went to the new version, as far as edges have told. */
  get exposed(): number {
    return this.exposedByAll;
  }

  /** Whether any edge has told this leader of its requests. */
  get hasReports(): boolean {
    return this.lives.size > 0;
  }

  /** All that may have been granted, by any leader. */
  get granted(): number {
    return this.base.granted + this.ownGrants;
  }

  /** All that may be granted by now. */
  get budget(): number {
    const {extra, share} = this.bound;
    return Math.floor(GRANTED_PART * (share * this.requests + extra));
  }

  /** Whether this many further requests may all be exposed within the bound. */
  mayExposeAll(further: number): boolean {
    const {extra, share} = this.bound;
    const exposed = this.granted + further;
    return exposed <= share * (this.requests + further) + extra;
  }

  /** Takes a report in. */
  take(life: string, report: ExposureReport, now: number): void {
    const known = this.lives.get(life);
    const newest = newestOf(known?.report, report);
    this.reported += newest.requests - (known?.report.requests ?? 0);
    this.exposedByAll += newest.exposed - (known?.report.exposed ?? 0);
    const tallies = known?.tallies ?? new Map<string, VersionTally>();
    this.takeTallies(tallies, report.tallies);
    this.lives.set(life, {
      granted: Math.max(known?.granted ?? 0, report.granted),
      heardAt: now,
      report: newest,
      tallies,
    });
  }

  /** Grants what a life may have by now; all that it was granted so far. */
  grant(name: string): number {
    const life = this.lives.get(name);
    if (life === undefined) {
      return 0;
    }
    const more = Math.max(0, Math.min(this.room, this.lackOf(life)));
    const granted = life.granted + more;
    this.lives.set(name, {...life, granted});
    this.ownGrants += more;
    return granted;
  }

  /** All answers, of all lives together, by route and version. */
  get tallies(): VersionTally[] {
    return this.answers.tallies;
  }

  /** Reports of the lives that were heard of since then. */
  reportsSince(time: number): ExposureReport[] {
    return [...this.lives.values()]
      .filter(({heardAt}) => heardAt >= time)
      .map(({report}) => report);
  }

  private get room(): number {
    return this.budget - this.granted;
  }

  /** What a life lacks to its fair part, unless it has enough unused. */
  private lackOf({granted, report}: Life): number {
    const {exposed, requests} = report;
    const fair = (this.budget * requests) / Math.max(1, this.reported);
    const usable = Math.max(LEAST_UNUSED_GRANTS, requests * UNUSED_GRANTS_PART);
    const unused = Math.max(0, granted - exposed);
    return Math.ceil(Math.min(fair - granted, usable - unused));
  }

  /** Counts of answers only grow, so that the one with more is the newer. */
  private takeTallies(
    known: Map<string, VersionTally>,
    reported: readonly VersionTally[],
  ): void {
    for (const tally of reported) {
      const key = tallyKey(tally.route, tally.version);
      const held = known.get(key) ?? NO_ANSWERS;
      if (tally.answers > held.answers) {
        this.answers.add(key, tally, held);
        known.set(key, tally);
      }
    }
  }
}

/** Counts only grow, so the one with more requests is the newer. */
function newestOf(
  known: ExposureReport | undefined,
  report: ExposureReport,
): ExposureReport {
  return known !== undefined && isOlder(report, known) ? known : report;
}

function isOlder(report: ExposureReport, known: ExposureReport): boolean {
  return (
    report.requests < known.requests ||
    report.exposed < known.exposed ||
    answersOf(report) < answersOf(known)
  );
}

function answersOf({tallies}: ExposureReport): number {
  return tallies.reduce((sum, {answers}) => sum + answers, 0);
}
