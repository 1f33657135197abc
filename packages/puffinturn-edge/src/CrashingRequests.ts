/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Which requests this edge must not run, as they crash the upstreams that run them:
 * those that the core has quarantined, and those that this edge's own crashes convict,
 * also while the core can't be reached. What is seen here is told to the core until
 * it is taken; told twice, it counts once.
 */
import {LRUCache} from 'lru-cache';
import type {DecisionLog} from 'puffinturn-decisions';
import type {CrashReply, CrashRequest} from 'puffinturn-fleet';
import {FLEET_SERVICE} from 'puffinturn-fleet';
import type {Crash, CrashReport, Quarantine} from 'puffinturn-quarantine';
import {
  CRASHES_TO_QUARANTINE,
  CrashRegister,
  NO_QUARANTINE,
} from 'puffinturn-quarantine';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {Condition, sleepUnlessNotified, TaskGroup} from 'shared';

/** Longest time for the answer of one control box, ms. */
const ANSWER_MS = 500;

/** Pause after a round in which no control box took the report, ms. */
const RETRY_MS = 250;

/** Control boxes that a report is offered to before a pause. */
const CONTROLS_TRIED = 3;

/** Longest time between two looks whether there is something to tell, ms. */
const IDLE_MS = 60_000;

/**
 * Crashes and answers kept while the core takes no reports; the oldest are dropped. A
 * hall's upstreams that crash a few times in a long cut stay below it.
 */
const MAX_UNTOLD = 500;

/**
 * How long a request that was at a crash is looked out for, ms; while any is, the
 * fingerprint of every request has to be known.
 */
const BLAMED_MS = 60_000;

/** What CrashingRequests are made of. */
export interface CrashingRequestsParts {
  readonly box: string;
  readonly clock: Clock;
  readonly link: Link;
  readonly log: DecisionLog;
  /** Control boxes, the one to ask first at the front. */
  readonly controls: () => readonly string[];
}

interface SeenCrash {
  readonly crash: Crash;
  /** When it was noticed, monotonic ms. */
  readonly at: number;
}

/** What the core has not taken yet. */
interface Untold {
  readonly crashes: readonly SeenCrash[];
  readonly answered: readonly string[];
}

/** See the module comment. */
export class CrashingRequests implements AsyncDisposable {
  private readonly own = new CrashRegister();
  /** Requests that were at a crash seen here; a whole answer clears them. */
  private readonly blamed = new LRUCache<string, true>({
    max: MAX_UNTOLD,
    ttl: BLAMED_MS,
  });
  private told = NO_QUARANTINE;
  private quarantined: ReadonlySet<string> = new Set();
  private crashes: SeenCrash[] = [];
  private answered: string[] = [];
  private readonly news = new Condition();
  private readonly tasks = new TaskGroup();

  constructor(private readonly parts: CrashingRequestsParts) {
    this.tasks.start((signal) => this.run(signal));
  }

  /** What the core told last. */
  get quarantine(): Quarantine {
    return this.told;
  }

  /** Whether any request may be quarantined or blamed; else none need be looked up. */
  get isEmpty(): boolean {
    return this.blamed.size === 0 && this.quarantined.size === 0;
  }

  /** Whether a request must not be run. */
  isQuarantined(fingerprint: string): boolean {
    return (
      this.quarantined.has(fingerprint) || this.own.isQuarantined(fingerprint)
    );
  }

  /** Whether one more crash would have a request quarantined. */
  isLastTry(fingerprint: string): boolean {
    return this.own.crashesOf(fingerprint) >= CRASHES_TO_QUARANTINE - 1;
  }

  /** Takes over what the core or another edge has, unless that is older. */
  adopt(found: Quarantine, source: string): void {
    const {told} = this;
    if (found.revision <= told.revision) {
      return;
    }
    this.told = found;
    this.quarantined = new Set(found.fingerprints);
    for (const fingerprint of told.fingerprints) {
      if (!this.quarantined.has(fingerprint)) {
        this.own.release(fingerprint);
      }
    }
    this.parts.log.note({
      count: found.fingerprints.length,
      event: 'quarantine-adopted',
      former: told.revision,
      newest: found.fingerprints.at(-1),
      revision: found.revision,
      source,
    });
  }

  /** Notes a crash and which requests of this edge were there. */
  crashed(crash: Crash): void {
    for (const fingerprint of crash.fingerprints) {
      this.blamed.set(fingerprint, true);
    }
    const {clock} = this.parts;
    const report = {answered: [], crashes: [{...crash, agoMs: 0}]};
    this.own.report(report, clock.wallTime());
    const seen = {at: clock.now(), crash};
    this.crashes = [...this.crashes, seen].slice(-MAX_UNTOLD);
    this.news.notify();
  }

  /** Notes that a request got a whole answer: it does not crash what runs it. */
  served(fingerprint: string): void {
    if (!this.blamed.delete(fingerprint)) {
      return;
    }
    this.own.release(fingerprint);
    this.answered = [...this.answered, fingerprint].slice(-MAX_UNTOLD);
    this.news.notify();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    while (!signal.aborted) {
      const untold = this.untold();
      if (untold === undefined) {
        await sleepUnlessNotified(clock, this.news, IDLE_MS, signal);
      } else if (await this.tell(this.reportOf(untold))) {
        this.forget(untold);
      } else {
        await clock.sleep(RETRY_MS, signal);
      }
    }
  }

  private untold(): Untold | undefined {
    const {answered, crashes} = this;
    const isEmpty = answered.length === 0 && crashes.length === 0;
    return isEmpty ? undefined : {answered, crashes};
  }

  private reportOf({answered, crashes}: Untold): CrashReport {
    const now = this.parts.clock.now();
    return {
      answered,
      crashes: crashes.map(({at, crash}) => ({...crash, agoMs: now - at})),
    };
  }

  private forget({answered, crashes}: Untold): void {
    this.crashes = this.crashes.filter((seen) => !crashes.includes(seen));
    this.answered = this.answered.filter((one) => !answered.includes(one));
  }

  private async tell(report: CrashReport): Promise<boolean> {
    const {box, controls, link} = this.parts;
    const request: CrashRequest = {box, report};
    for (const control of controls().slice(0, CONTROLS_TRIED)) {
      const answer = await link.call(
        control,
        FLEET_SERVICE.reportCrashes,
        request,
        ANSWER_MS,
      );
      if (answer.isOk() && (answer.value as CrashReply).taken) {
        return true;
      }
    }
    return false;
  }
}
