/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Keeps one box up to date: one task for each control box asks it for news and
 * is answered as soon as there are some. Control boxes are found from the
 * seeds, then from the answers. A silent one is asked again and again; nothing
 * learned is forgotten because control is silent.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {TaskGroup} from 'shared';

import type {FleetConfiguration} from './Configuration';
import type {BoxRecord, WatchReply, WatchRequest} from './FleetMessages';
import {BOX_ROLE, FLEET_SERVICE} from './FleetMessages';
import type {RunnerRecord} from './Runners';

/** How long a control box may hold a question back, ms. */
const WAIT_MS = 1_000;

/** Longest time for an answer after that, ms. */
const ANSWER_MS = 700;

/** Pause after a failed call, ms. */
const RETRY_MS = 150;

/** Least time between two questions to one box, so that news are gathered. */
const GATHER_MS = 25;

/** A box that is no seed is given up after this much silence, ms. */
const GIVE_UP_MS = 20_000;

/** Takes what a watch has learned. */
export abstract class FleetNews {
  /** The version held, or -Infinity. */
  abstract get configurationVersion(): number;
  abstract configuration(
    configuration: FleetConfiguration,
    source: string,
  ): void;
  abstract runners(records: readonly RunnerRecord[], source: string): void;
  abstract boxes(records: readonly BoxRecord[]): void;
}

/** What a FleetWatch is made of. */
export interface FleetWatchParts {
  readonly self: BoxRecord;
  /** Addresses between boxes of the seeds; may change. */
  readonly seeds: () => readonly string[];
  readonly clock: Clock;
  readonly link: Link;
  readonly log: DecisionLog;
  readonly news: FleetNews;
}

interface Watched {
  readonly box: string;
  incarnation: string;
  runnersRevision: number;
  boxesRevision: number;
  answeredAt: number | undefined;
  reachable: boolean;
  /** Whether one answer rested on a barrier of the log. */
  current: boolean;
}

/** See the module comment. */
export class FleetWatch implements AsyncDisposable {
  private readonly watched = new Map<string, Watched>();
  private readonly tasks = new TaskGroup();
  private leaderBox: string | undefined;

  constructor(private readonly parts: FleetWatchParts) {
    this.tasks.start((signal) => this.followSeeds(signal));
  }

  /** Control boxes, the ones that answer first. */
  get controls(): string[] {
    const all = [...this.watched.values()];
    all.sort((a, b) => Number(b.reachable) - Number(a.reachable));
    return all.map(({box}) => box);
  }

  /** The leader as last heard of. */
  get leader(): string | undefined {
    return this.leaderBox;
  }

  /** True once an answer rested on a barrier of the log. */
  get current(): boolean {
    return [...this.watched.values()].some(({current}) => current);
  }

  /** How many control boxes have answered at all. */
  get answered(): number {
    return [...this.watched.values()].filter(
      ({answeredAt}) => answeredAt !== undefined,
    ).length;
  }

  /** True while some control box answers. */
  get inTouch(): boolean {
    return [...this.watched.values()].some(({reachable}) => reachable);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async followSeeds(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const box of this.parts.seeds()) {
        this.add(box);
      }
      await this.parts.clock.sleep(WAIT_MS, signal);
    }
  }

  private add(box: string): void {
    if (box === this.parts.self.box || this.watched.has(box)) {
      return;
    }
    const watched: Watched = {
      answeredAt: undefined,
      box,
      boxesRevision: -1,
      current: false,
      incarnation: '',
      reachable: false,
      runnersRevision: 0,
    };
    this.watched.set(box, watched);
    this.tasks.start((signal) => this.watch(watched, signal));
  }

  private async watch(watched: Watched, signal: AbortSignal): Promise<void> {
    const {clock, link} = this.parts;
    const startedAt = clock.now();
    while (!signal.aborted) {
      const answer = await link.call(
        watched.box,
        FLEET_SERVICE.watch,
        this.question(watched),
        WAIT_MS + ANSWER_MS,
      );
      if (signal.aborted) {
        return;
      }
      if (answer.isOk()) {
        this.take(watched, answer.value as WatchReply);
        await clock.sleep(GATHER_MS, signal);
        continue;
      }
      this.lose(watched);
      const silence = clock.now() - (watched.answeredAt ?? startedAt);
      const isSeed = this.parts.seeds().includes(watched.box);
      if (!isSeed && silence > GIVE_UP_MS) {
        this.watched.delete(watched.box);
        return;
      }
      await clock.sleep(RETRY_MS, signal);
    }
  }

  private question(watched: Watched): WatchRequest {
    const {news, self} = this.parts;
    return {
      boxesRevision: watched.boxesRevision,
      configurationVersion: news.configurationVersion,
      current: !this.current,
      from: self,
      incarnation: watched.incarnation,
      runnersRevision: watched.runnersRevision,
      waitMs: WAIT_MS,
    };
  }

  private take(watched: Watched, reply: WatchReply): void {
    const {clock, log, news} = this.parts;
    if (!watched.reachable) {
      log.note({
        event: 'dependency-changed',
        lastAnswerAgeMs: this.ageOf(watched),
        peer: watched.box,
        reachable: true,
      });
    }
    watched.reachable = true;
    watched.answeredAt = clock.now();
    watched.incarnation = reply.incarnation;
    watched.runnersRevision = reply.runnersRevision;
    watched.boxesRevision = reply.boxesRevision;
    this.leaderBox = reply.leader ?? this.leaderBox;
    if (reply.configuration !== undefined && reply.configuration !== null) {
      news.configuration(reply.configuration, watched.box);
    }
    if (reply.runners.length > 0) {
      news.runners(reply.runners, watched.box);
    }
    if (reply.boxes !== undefined && reply.boxes !== null) {
      this.takeBoxes(reply.boxes);
    }
    watched.current ||= reply.current;
  }

  private takeBoxes(boxes: readonly BoxRecord[]): void {
    for (const {box, role} of boxes) {
      if (role === BOX_ROLE.control) {
        this.add(box);
      }
    }
    this.parts.news.boxes(boxes);
  }

  private lose(watched: Watched): void {
    if (watched.reachable) {
      watched.reachable = false;
      this.parts.log.note({
        event: 'dependency-changed',
        lastAnswerAgeMs: this.ageOf(watched),
        peer: watched.box,
        reachable: false,
      });
    }
  }

  private ageOf({answeredAt}: Watched): number | undefined {
    return answeredAt === undefined
      ? undefined
      : Math.round(this.parts.clock.now() - answeredAt);
  }
}
