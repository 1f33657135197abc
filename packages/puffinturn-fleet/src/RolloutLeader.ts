/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Roll-outs at the box that leads: names stable versions, grants exposure out of blocks
 * of the log, judges and ends what is under way. What it has in memory belongs to one
 * term; the next leader starts from the log and from what edges report again.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import type {Replica} from 'puffinturn-log';
import type {Clock} from 'shared';

import {ExposureBlocks} from './ExposureBlocks';
import type {FleetMachine} from './FleetMachine';
import type {LeaderCalls} from './LeaderCalls';
import type {RolloutClock} from './RolloutClock';
import {
  ELAPSED_NOTE_MS,
  EXPOSURE_LINE_MS,
  STABLE_GATHER_MS,
} from './RolloutConstants';
import {RolloutCourse} from './RolloutCourse';
import {isUnderWay} from './RolloutRegister';
import type {
  ExposureBound,
  ExposureGrant,
  ExposureReport,
  ExposureRequest,
  Rollout,
  ServiceVersions,
} from './Rollouts';
import {ROLLOUT_STATE} from './Rollouts';
import type {RolloutVerdict} from './RolloutVerdict';
import {prevalentVersion, readyOf, versionOf} from './ServiceUpstreams';
import type {UpstreamTable} from './Upstreams';

/** What a RolloutLeader is made of. */
export interface RolloutLeaderParts {
  readonly bound: ExposureBound;
  readonly clock: Clock;
  readonly elapsed: RolloutClock;
  readonly leader: LeaderCalls;
  readonly log: DecisionLog;
  readonly machine: FleetMachine;
  readonly replica: Replica;
  readonly upstreams: UpstreamTable;
}

/** A course with what this leader has taken out of the log for it. */
interface LedCourse {
  readonly course: RolloutCourse;
  readonly blocks: ExposureBlocks;
  /** Whether exposure may be granted, as of the last look. */
  mayExpose: boolean;
  lineAt: number;
}

type OrderedVersions = ServiceVersions & {readonly rollout: Rollout};

/** See the module comment. */
export class RolloutLeader {
  /** The term that all below belongs to. */
  private term = -1;
  private readonly courses = new Map<string, LedCourse>();
  /** When the first upstream of a service without a stable version was seen. */
  private readonly gatheredSince = new Map<string, number>();

  constructor(private readonly parts: RolloutLeaderParts) {}

  /** Takes one look at everything that a leader decides. */
  async step(): Promise<void> {
    if (!(await this.beginTerm())) {
      return;
    }
    await this.nameStableVersions();
    for (const versions of this.parts.machine.rollouts.services) {
      await this.stepService(versions);
    }
  }

  /** Takes reports in and grants exposure; undefined where it can't be decided here. */
  async exchange({
    life,
    reports,
  }: ExposureRequest): Promise<ExposureGrant[] | undefined> {
    if (!(await this.beginTerm())) {
      return undefined;
    }
    const grants: ExposureGrant[] = [];
    for (const report of reports) {
      const {number, service} = report;
      const granted = await this.grant(life, report);
      if (granted === undefined) {
        return undefined;
      }
      grants.push({granted, number, service});
    }
    return grants;
  }

  /**
   * The version that serves without an order, from the registrations of upstreams;
   * undefined until this leader has gathered them for long enough. The target of an
   * order, whose upstreams may be there already, counts only where it is the only one.
   */
  stableVersionOf(service: string, target?: string): string | undefined {
    const {clock, upstreams} = this.parts;
    const found = prevalentVersion(upstreams.records(), service, target);
    if (found === undefined) {
      return undefined;
    }
    const since = this.gatheredSince.get(service) ?? clock.now();
    this.gatheredSince.set(service, since);
    return clock.now() - since >= STABLE_GATHER_MS ? found : undefined;
  }

  /** What a report of an order that is not under way is granted: what it had. */
  private async grant(
    life: string,
    report: ExposureReport,
  ): Promise<number | undefined> {
    const versions = this.parts.machine.versionsOf(report.service);
    const led = versions && this.courseFor(versions);
    if (led === undefined || led.course.number !== report.number) {
      return report.granted;
    }
    const {ledger} = led.course;
    ledger.take(life, report, this.parts.clock.now());
    if (versions?.rollout?.state !== ROLLOUT_STATE.exposing || !led.mayExpose) {
      return report.granted;
    }
    const granted = ledger.grant(life);
    const {term} = this;
    const holds = await led.blocks.hold(ledger.granted);
    return holds && this.isLeaderOf(term) ? granted : undefined;
  }

  private isLeaderOf(term: number): boolean {
    const {replica} = this.parts;
    return replica.isLeader && replica.status().term === term;
  }

  /** Whether this box leads and has applied all that former leaders wrote. */
  async beginTerm(): Promise<boolean> {
    const {leader, replica} = this.parts;
    const {term} = replica.status();
    if (!replica.isLeader || this.term === term) {
      return replica.isLeader;
    }
    if (!(await leader.isCurrent()) || !this.isLeaderOf(term)) {
      return false;
    }
    if (this.term !== term) {
      this.term = term;
      this.gatheredSince.clear();
      this.courses.clear();
    }
    return true;
  }

  private async nameStableVersions(): Promise<void> {
    const {leader, machine} = this.parts;
    for (const {name} of machine.stored?.configuration.services ?? []) {
      const isKnown = machine.versionsOf(name) !== undefined;
      const version = isKnown ? undefined : this.stableVersionOf(name);
      if (version !== undefined) {
        await leader.propose({kind: 'stable-version', service: name, version});
      }
    }
  }

  private async stepService(versions: ServiceVersions): Promise<void> {
    const led = this.courseFor(versions);
    if (led === undefined || !hasOrder(versions)) {
      return;
    }
    const elapsedMs = this.parts.elapsed.elapsedOf(versions.service) ?? 0;
    const verdict = led.course.judge({
      elapsedMs,
      now: this.parts.clock.now(),
      rollout: versions.rollout,
      upstreams: this.parts.upstreams.records(),
    });
    led.mayExpose = led.course.mayExpose(elapsedMs, this.isWarm(versions));
    this.noteExposure(versions, led);
    if (verdict !== undefined) {
      await this.decide(versions, led, verdict, elapsedMs);
    } else {
      await this.noteElapsed(versions, led, elapsedMs);
    }
  }

  /** Whether any upstream of the new version has warmed up. */
  private isWarm({rollout, service}: OrderedVersions): boolean {
    const {clock, upstreams} = this.parts;
    return readyOf(upstreams.records(), service).some(
      (record) =>
        versionOf(record) === rollout.targetVersion &&
        upstreams.coldUntil(record.id) <= clock.now(),
    );
  }

  private async decide(
    {rollout, service}: OrderedVersions,
    {course}: LedCourse,
    {cause, state}: RolloutVerdict,
    elapsedMs: number,
  ): Promise<void> {
    const {leader, log} = this.parts;
    const {number, targetVersion} = rollout;
    const figures = course.figures();
    const held = await leader.propose({
      cause,
      elapsedMs,
      figures,
      kind: 'rollout-verdict',
      number,
      service,
      state,
    });
    log.note({
      cause,
      elapsedMs: Math.round(elapsedMs),
      event: 'rollout-judged',
      figures,
      number,
      outcome: held.isOk() ? 'accepted' : held.error.kind,
      service,
      state,
      targetVersion,
    });
  }

  /** Keeps the time since the order in the log, for a start of all boxes. */
  private async noteElapsed(
    {service}: ServiceVersions,
    led: LedCourse,
    elapsedMs: number,
  ): Promise<void> {
    const progress = this.parts.machine.rolloutProgressOf(service);
    if (elapsedMs - (progress?.elapsedMs ?? 0) >= ELAPSED_NOTE_MS) {
      await led.blocks.note();
    }
  }

  private noteExposure(
    {rollout, service}: OrderedVersions,
    led: LedCourse,
  ): void {
    const {clock, log} = this.parts;
    if (clock.now() - led.lineAt < EXPOSURE_LINE_MS) {
      return;
    }
    led.lineAt = clock.now();
    const {budget, exposed, granted, requests} = led.course.ledger;
    log.note({
      budget,
      event: 'exposure-counted',
      exposed,
      granted,
      number: rollout.number,
      requests,
      service,
    });
  }

  private courseFor(versions: ServiceVersions): LedCourse | undefined {
    const {service} = versions;
    if (!hasOrder(versions) || !isUnderWay(versions.rollout)) {
      this.courses.delete(service);
      return undefined;
    }
    const known = this.courses.get(service);
    if (known?.course.number === versions.rollout.number) {
      return known;
    }
    const {counted = 0, granted = 0} =
      this.parts.machine.rolloutProgressOf(service) ?? {};
    const {bound, elapsed, leader} = this.parts;
    const course = new RolloutCourse(versions, bound, {counted, granted});
    const blocks = new ExposureBlocks({
      elapsed,
      granted,
      leader,
      ledger: course.ledger,
      number: course.number,
      service,
    });
    const led = {blocks, course, lineAt: -Infinity, mayExpose: false};
    this.courses.set(service, led);
    return led;
  }
}

function hasOrder(versions: ServiceVersions): versions is OrderedVersions {
  return versions.rollout !== undefined;
}
