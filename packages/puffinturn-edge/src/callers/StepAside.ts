/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * An edge that is behind with reading steps aside: it leaves new connections to the
 * others of its hall for some seconds. It asks them all first and needs most of
 * them, and each agrees to few at a time, so that a hall never lacks edges.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import type {BoxRecord, StepAsideReply} from 'puffinturn-fleet';
import {FLEET_SERVICE} from 'puffinturn-fleet';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {TaskGroup} from 'shared';

import {TOLD_APART_MS} from './AcceptBacklog';

/** What StepAside is made of. */
export interface StepAsideParts {
  readonly self: BoxRecord;
  readonly clock: Clock;
  readonly link: Link;
  readonly log: DecisionLog;
  /** The other edges. */
  readonly edges: () => readonly BoxRecord[];
  /** Whether this edge takes connections but for being aside. */
  readonly ready: () => boolean;
  /** How long a connection accepted now may have waited, ms. */
  readonly ageMs: () => number;
}

/**
 * Looks in a row that find connections waiting before an edge asks. A pause of the
 * process is worked off sooner; and what spreads callers needs two seconds more to
 * notice, in which those of this edge go on being refused.
 */
const BEHIND_LOOKS = 3;

/** Age below which an edge has caught up, ms. */
const CAUGHT_UP_AGE_MS = 250;

/** How often an edge looks, ms. */
const LOOK_MS = 250;

/** Least time aside, ms; what spreads callers notices after two seconds. */
const LEAST_ASIDE_MS = 4_000;

/** Longest time aside, ms. */
const MOST_ASIDE_MS = 8_000;

/** Least time from a return to the next question, ms: most of its time it serves. */
const LEAST_IN_MS = 30_000;

/** Time from a refusal to the next question, ms: others may have caught up by then. */
const ASK_AGAIN_MS = 1_000;

/**
 * Longest time for the answer of another edge, ms. A well one takes a few; this edge
 * takes half a second to read it while it is behind.
 */
const ANSWER_MS = 1_000;

/** The part of a hall that may be aside, as each of its edges knows it. */
const MOST_ASIDE_PART = 0.25;

/** The part of the others that has to agree. */
const AGREED_PART = 0.75;

/** See the module comment. */
export class StepAside implements AsyncDisposable {
  private readonly tasks = new TaskGroup();
  private readonly handler: Disposable;
  /** Until when other edges that this one agreed to may be aside. */
  private readonly agreedUntil = new Map<string, number>();
  private asideAt: number | undefined;
  private askAt = -Infinity;
  /** Looks in a row that found connections waiting. */
  private behindLooks = 0;

  constructor(private readonly parts: StepAsideParts) {
    this.handler = parts.link.register(
      FLEET_SERVICE.stepAside,
      async (_, from): Promise<StepAsideReply> => ({agreed: this.agree(from)}),
    );
    this.tasks.start((signal) => this.run(signal));
  }

  /** Whether this edge leaves new connections to others. */
  get aside(): boolean {
    return this.asideAt !== undefined;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.handler[Symbol.dispose]();
    await this.tasks[Symbol.asyncDispose]();
  }

  private async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    while (!signal.aborted) {
      await clock.sleep(LOOK_MS, signal);
      if (this.asideAt === undefined) {
        await this.askIfBehind();
      } else {
        this.returnIfDue(this.asideAt);
      }
    }
  }

  private async askIfBehind(): Promise<void> {
    const {ageMs, clock, ready} = this.parts;
    this.behindLooks = ageMs() > 0 ? this.behindLooks + 1 : 0;
    const isBehind =
      this.behindLooks >= BEHIND_LOOKS && ageMs() >= TOLD_APART_MS;
    const mayAsk = ready() && this.mostAside() > 0 && clock.now() >= this.askAt;
    if (!isBehind || !mayAsk) {
      return;
    }
    const others = this.others();
    const answers = await Promise.all(others.map(({box}) => this.ask(box)));
    const agreed = answers.filter((answer) => answer).length;
    const enough = agreed >= others.length * AGREED_PART;
    this.askAt = clock.now() + ASK_AGAIN_MS;
    this.asideAt = enough ? clock.now() : undefined;
    this.note(enough ? 'aside' : 'refused', agreed, others.length);
  }

  private returnIfDue(asideAt: number): void {
    const {ageMs, clock} = this.parts;
    const passed = clock.now() - asideAt;
    const caughtUp = passed >= LEAST_ASIDE_MS && ageMs() < CAUGHT_UP_AGE_MS;
    if (caughtUp || passed >= MOST_ASIDE_MS) {
      this.asideAt = undefined;
      this.askAt = clock.now() + LEAST_IN_MS;
      this.note('back', 0, 0);
    }
  }

  private async ask(box: string): Promise<boolean> {
    const {link} = this.parts;
    const service = FLEET_SERVICE.stepAside;
    const answer = await link.call(box, service, null, ANSWER_MS);
    return answer.isOk() && (answer.value as StepAsideReply).agreed;
  }

  /** Answers another edge; one that is behind itself can take no more callers. */
  private agree(from: string): boolean {
    const {ageMs, clock, ready} = this.parts;
    const now = clock.now();
    for (const [box, until] of this.agreedUntil) {
      if (until <= now) {
        this.agreedUntil.delete(box);
      }
    }
    const known = this.agreedUntil.has(from);
    const isWell = ready() && !this.aside && ageMs() < CAUGHT_UP_AGE_MS;
    const agreed =
      isWell && (known || this.agreedUntil.size < this.mostAside());
    if (agreed) {
      this.agreedUntil.set(from, now + ANSWER_MS + MOST_ASIDE_MS);
    }
    return agreed;
  }

  /** Edges of the hall that may be aside at a time. */
  private mostAside(): number {
    return Math.floor((this.others().length + 1) * MOST_ASIDE_PART);
  }

  /** The other edges of the hall. */
  private others(): readonly BoxRecord[] {
    const {edges, self} = this.parts;
    return edges().filter(({hall}) => hall === self.hall);
  }

  private note(outcome: string, agreed: number, asked: number): void {
    const ageMs = Math.round(this.parts.ageMs());
    const event = 'step-aside-decided';
    this.parts.log.note({ageMs, agreed, asked, event, outcome});
  }
}
