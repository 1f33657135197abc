/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Keeps one box up to date: one task for each control box asks it for news and
 * is answered as soon as there are some. Control boxes are found from the
 * seeds, then from the answers. A box of a large fleet asks only a few of them
 * at a time; the others stand by until one of these falls silent or knows no
 * leader. A silent one is asked again and again; nothing learned is forgotten
 * because control is silent.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import type {Quarantine} from 'puffinturn-quarantine';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {Condition, hashOf, sleepUnlessNotified, TaskGroup} from 'shared';

import type {BoxChanges} from './Boxes';
import type {FleetConfiguration} from './Configuration';
import type {ConfigurationChange} from './ConfigurationChange';
import {ConfigurationLag} from './ConfigurationLag';
import type {Evacuations} from './Evacuations';
import type {BoxRecord, WatchReply, WatchRequest} from './FleetMessages';
import {BOX_ROLE, FLEET_SERVICE} from './FleetMessages';
import {Regions} from './Regions';
import type {Rollouts} from './Rollouts';
import type {UpstreamRecord} from './Upstreams';

/**
 * How long a control box may hold a question back, ms. A question costs both sides
 * some wake-ups: held back for 1,000 ms, all boxes take 5 in 100 more processor time
 * than with 1,500 ms, and with 2,000 ms as much (17 edges, a day of failures). With
 * ANSWER_MS it must stay below the time within which changes are to be in force, as
 * that two control boxes are silent shows only after both.
 */
const WAIT_MS = 1_500;

/** How often the seeds are looked at, and a box that stands by its turn, ms. */
const LOOK_MS = 1_000;

/** Longest time for an answer after that, ms. */
const ANSWER_MS = 500;

/** Pause after a failed call, ms; twice as long after each further one. */
const RETRY_MS = 150;

/** Longest pause after failed calls, ms. */
const LONGEST_RETRY_MS = 600;

/** Least time between two questions to one box, so that news are gathered. */
const GATHER_MS = 25;

/** A box that is no seed is given up after this much silence, ms. */
const GIVE_UP_MS = 20_000;

/** How far control boxes are; the nearest ones are asked first. */
const DISTANCE = {ownHall: 0, ownRegion: 1, otherRegion: 2} as const;

/** Takes what a watch has learned. */
export abstract class FleetNews {
  /** The version held, or -Infinity. */
  abstract get configurationVersion(): number;
  abstract configuration(
    configuration: FleetConfiguration,
    source: string,
  ): void;
  /** A change of the configuration held; ignored where another one is. */
  abstract configurationChange(
    change: ConfigurationChange,
    source: string,
  ): void;
  /** The revision of the evacuations held. */
  abstract get evacuationRevision(): number;
  abstract evacuations(found: Evacuations, source: string): void;
  /** The revision of the roll-outs held. */
  abstract get rolloutRevision(): number;
  abstract rollouts(found: Rollouts, source: string): void;
  /** The revision of the quarantine held. */
  abstract get quarantineRevision(): number;
  abstract quarantine(found: Quarantine, source: string): void;
  abstract upstreams(records: readonly UpstreamRecord[], source: string): void;
  abstract boxes(records: readonly BoxRecord[], source: string): void;
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
  /** Control boxes asked at a time once up to date; Infinity for all. */
  readonly askedAtOnce: number;
  /** The region of each hall; without them all halls are together. */
  readonly regions?: Regions | undefined;
}

interface Watched {
  readonly box: string;
  /** Where it stands; undefined until some list has named it. */
  hall: string | undefined;
  /** Boxes that it has told of, by address. */
  readonly boxes: Map<string, BoxRecord>;
  incarnation: string;
  upstreamsRevision: number;
  boxesRevision: number;
  answeredAt: number | undefined;
  reachable: boolean;
  /** Whether one answer rested on a barrier of the log. */
  current: boolean;
  /**
   * Whether the last call to it failed, or its answer named no leader: then it
   * may be cut off from the quorum, and its news may be old.
   */
  unfit: boolean;
  /** Orders control boxes of one hall, and those of all others; see `before`. */
  readonly rank: number;
}

/** See the module comment. */
export class FleetWatch implements AsyncDisposable {
  private readonly watched = new Map<string, Watched>();
  private readonly tasks = new TaskGroup();
  /** Notified when another control box may have to be asked. */
  private readonly roles = new Condition();
  private leaderBox: string | undefined;
  /** The control box whose list of boxes was taken over last. */
  private boxesFrom: string | undefined;
  private readonly lag: ConfigurationLag;
  private readonly regions: Regions;

  constructor(private readonly parts: FleetWatchParts) {
    this.regions = parts.regions ?? new Regions();
    const {clock, log, news} = parts;
    this.lag = new ConfigurationLag(
      clock,
      log,
      () => news.configurationVersion,
    );
    this.tasks.start((signal) => this.followSeeds(signal));
  }

  /** Takes nothing that is known for current until it has been asked for anew. */
  distrust(): void {
    for (const watched of this.watched.values()) {
      watched.current = false;
    }
    this.roles.notify();
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
      await this.parts.clock.sleep(LOOK_MS, signal);
    }
  }

  private add(box: string): void {
    if (box === this.parts.self.box || this.watched.has(box)) {
      return;
    }
    const watched: Watched = {
      answeredAt: undefined,
      box,
      boxes: new Map(),
      boxesRevision: -1,
      current: false,
      hall: undefined,
      incarnation: '',
      // Spreads boxes evenly over the control boxes that they ask.
      rank: hashOf(`${this.parts.self.box} ${box}`),
      reachable: false,
      upstreamsRevision: 0,
      unfit: false,
    };
    this.watched.set(box, watched);
    this.tasks.start((signal) => this.watch(watched, signal));
  }

  private async watch(watched: Watched, signal: AbortSignal): Promise<void> {
    const {clock, link} = this.parts;
    const startedAt = clock.now();
    let pauseMs = RETRY_MS;
    while (!signal.aborted) {
      if (!this.isAsked(watched)) {
        await sleepUnlessNotified(clock, this.roles, LOOK_MS, signal);
        continue;
      }
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
        pauseMs = RETRY_MS;
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
      await clock.sleep(pauseMs, signal);
      pauseMs = Math.min(LONGEST_RETRY_MS, pauseMs * 2);
    }
  }

  /**
   * Whether a control box is asked or stands by. Unfit ones are asked too, so
   * that their return shows; until one answer was current, all are asked.
   */
  private isAsked(watched: Watched): boolean {
    if (watched.unfit || !this.current) {
      return true;
    }
    return this.aheadOf(watched) < this.parts.askedAtOnce;
  }

  /** How many fit control boxes are asked before this one. */
  private aheadOf(watched: Watched): number {
    const ahead = [...this.watched.values()].filter(
      (other) => !other.unfit && this.before(other, watched),
    );
    return ahead.length;
  }

  /**
   * Control boxes of the own hall come first, then those of the own region; a hash
   * spreads the load. So news cross between regions only where no control box of
   * the own region is fit.
   */
  private before(a: Watched, b: Watched): boolean {
    const away = this.distanceTo(a.hall) - this.distanceTo(b.hall);
    return away === 0 ? a.rank < b.rank : away < 0;
  }

  private distanceTo(hall: string | undefined): number {
    const {hall: own} = this.parts.self;
    if (hall === own) {
      return DISTANCE.ownHall;
    }
    const isNear =
      !this.regions.several ||
      (hall !== undefined && this.regions.areTogether(own, hall));
    return isNear ? DISTANCE.ownRegion : DISTANCE.otherRegion;
  }

  /**
   * One control box brings configurations and boxes; the others that are asked
   * only show that it is not behind. An overdue version is asked for everywhere.
   */
  private isBrief(watched: Watched): boolean {
    const {askedAtOnce} = this.parts;
    const overdue = this.lag.dueInMs <= 0;
    return askedAtOnce < Infinity && !overdue && this.aheadOf(watched) > 0;
  }

  private question(watched: Watched): WatchRequest {
    const {news, self} = this.parts;
    const brief = this.isBrief(watched);
    return {
      boxesRevision: watched.boxesRevision,
      brief,
      configurationVersion: brief
        ? this.lag.namedVersion
        : news.configurationVersion,
      current: !this.current,
      evacuationRevision: news.evacuationRevision,
      from: self,
      hearsLeader: !watched.unfit,
      incarnation: watched.incarnation,
      quarantineRevision: news.quarantineRevision,
      rolloutRevision: news.rolloutRevision,
      upstreamsRevision: watched.upstreamsRevision,
      // Held back for longer, it would keep an overdue version from being asked
      // for: changes came up to 3.2 s late while the first control box was cut off.
      waitMs: brief ? Math.min(WAIT_MS, this.lag.dueInMs) : WAIT_MS,
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
    this.hearLeader(watched, reply.leader ?? undefined);
    watched.answeredAt = clock.now();
    if (watched.incarnation !== reply.incarnation) {
      watched.boxes.clear();
    }
    watched.incarnation = reply.incarnation;
    watched.upstreamsRevision = reply.upstreamsRevision;
    watched.boxesRevision = reply.boxesRevision;
    this.leaderBox = reply.leader ?? this.leaderBox;
    if (reply.configuration !== undefined && reply.configuration !== null) {
      news.configuration(reply.configuration, watched.box);
    }
    const change = reply.configurationChange;
    if (change !== undefined && change !== null) {
      news.configurationChange(change, watched.box);
    }
    const {evacuations, quarantine, rollouts} = reply;
    if (evacuations !== undefined && evacuations !== null) {
      news.evacuations(evacuations, watched.box);
    }
    if (rollouts !== undefined && rollouts !== null) {
      news.rollouts(rollouts, watched.box);
    }
    if (quarantine !== undefined && quarantine !== null) {
      news.quarantine(quarantine, watched.box);
    }
    if (reply.upstreams.length > 0) {
      news.upstreams(reply.upstreams, watched.box);
    }
    this.takeBoxes(watched, reply.boxes ?? undefined);
    watched.current ||= reply.current;
    this.lag.learn(reply.heldVersion, watched.box);
  }

  /** A control box that hears no leader may be cut off from the quorum. */
  private hearLeader(watched: Watched, leader: string | undefined): void {
    const unfit = leader === undefined;
    if (unfit !== watched.unfit) {
      const {box} = watched;
      this.parts.log.note({event: 'leader-heard', leader, peer: box});
    }
    this.setUnfit(watched, unfit);
  }

  /** Takes over control boxes that another edge knows. */
  learn(records: readonly BoxRecord[]): void {
    for (const {box, hall, role} of records) {
      if (role === BOX_ROLE.control) {
        this.add(box);
        const known = this.watched.get(box);
        if (known !== undefined) {
          known.hall = hall;
        }
      }
    }
  }

  /** Only the list of the first control box counts where one is told of all. */
  private takeBoxes(watched: Watched, changes: BoxChanges | undefined): void {
    for (const record of changes?.changed ?? []) {
      watched.boxes.set(record.box, record);
    }
    for (const box of changes?.gone ?? []) {
      watched.boxes.delete(box);
    }
    this.learn(changes?.changed ?? []);
    const counts =
      this.parts.askedAtOnce === Infinity || this.aheadOf(watched) === 0;
    const isNew = changes !== undefined || this.boxesFrom !== watched.box;
    if (counts && isNew && watched.boxes.size > 0) {
      this.boxesFrom = watched.box;
      this.parts.news.boxes([...watched.boxes.values()], watched.box);
    }
  }

  private setUnfit(watched: Watched, unfit: boolean): void {
    if (watched.unfit !== unfit) {
      watched.unfit = unfit;
      this.roles.notify();
    }
  }

  private lose(watched: Watched): void {
    this.setUnfit(watched, true);
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
