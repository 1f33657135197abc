/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {DecisionLog} from 'puffinturn-decisions';
import type {Replica} from 'puffinturn-log';
import type {Clock} from 'shared';

import {ExposureAllocator} from './ExposureAllocator';
import type {FleetMachine} from './FleetMachine';
import type {LeaderCalls} from './LeaderCalls';
import type {RolloutClock} from './RolloutClock';
import {
  ELAPSED_RECORD_INTERVAL_MS,
  EXPOSURE_LOG_INTERVAL_MS,
  STABLE_VERSION_DELAY_MS,
} from './RolloutConstants';
import {RolloutEvaluator} from './RolloutEvaluator';
import {isInProgress} from './RolloutRegistry';
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
import {
  mostCommonVersion,
  readyUpstreams,
  upstreamVersion,
} from './ServiceUpstreams';
import type {UpstreamTable} from './UpstreamTable';

/** Dependencies of a RolloutLeader. */
export interface RolloutLeaderParts {
  readonly bound: ExposureBound;
  readonly clock: Clock;
  readonly rolloutClock: RolloutClock;
  readonly leader: LeaderCalls;
  readonly log: DecisionLog;
  readonly machine: FleetMachine;
  readonly replica: Replica;
  readonly upstreams: UpstreamTable;
}

/** A rollout in progress, as tracked by this leader. */
interface ActiveRollout {
  readonly evaluator: RolloutEvaluator;
  readonly allocator: ExposureAllocator;
  /** Whether exposure may be granted, as of the last step. */
  canExpose: boolean;
  lastLoggedAt: number;
}

type VersionsWithRollout = ServiceVersions & {readonly rollout: Rollout};

/**
 * Runs rollouts on the leader: determines stable versions, grants exposure and decides
 * outcomes. Its state in memory is valid for one term. The next leader rebuilds it from
 * the log and new reports.
 */
export class RolloutLeader {
  /** Term in which the state below was built. */
  private term = -1;
  private readonly activeRollouts = new Map<string, ActiveRollout>();
  /** When the first upstream of a service without a stable version was seen. */
  private readonly firstSeenAt = new Map<string, number>();

  constructor(private readonly parts: RolloutLeaderParts) {}

  /** Advances all rollouts once. */
  async step(): Promise<void> {
    if (!(await this.ensureCurrentTerm())) {
      return;
    }
    await this.recordStableVersions();
    for (const versions of this.parts.machine.rollouts.services) {
      await this.stepService(versions);
    }
  }

  /** Records reports and grants exposure. Returns undefined if this box can't decide. */
  async exchange({
    life: incarnationId,
    reports,
  }: ExposureRequest): Promise<ExposureGrant[] | undefined> {
    if (!(await this.ensureCurrentTerm())) {
      return undefined;
    }
    const grants: ExposureGrant[] = [];
    for (const report of reports) {
      const {number, service} = report;
      const granted = await this.grantExposure(incarnationId, report);
      if (granted === undefined) {
        return undefined;
      }
      grants.push({granted, number, service});
    }
    return grants;
  }

  /**
   * Determines the stable version of a service from the registered upstreams. Returns
   * undefined until they have had time to register. Upstreams of `target` may already
   * be running, so it is chosen only if no other version is registered.
   */
  detectStableVersion(service: string, target?: string): string | undefined {
    const {clock, upstreams} = this.parts;
    const version = mostCommonVersion(upstreams.records(), service, target);
    if (version === undefined) {
      return undefined;
    }
    const since = this.firstSeenAt.get(service) ?? clock.now();
    this.firstSeenAt.set(service, since);
    return clock.now() - since >= STABLE_VERSION_DELAY_MS ? version : undefined;
  }

  /**
   * Returns the total grant of an edge, unchanged if the rollout is not in the canary
   * phase. Returns undefined if the grant could not be written to the log.
   */
  private async grantExposure(
    incarnationId: string,
    report: ExposureReport,
  ): Promise<number | undefined> {
    const versions = this.parts.machine.getVersions(report.service);
    const active = versions && this.getActiveRollout(versions);
    if (active === undefined || active.evaluator.number !== report.number) {
      return report.granted;
    }
    const {ledger} = active.evaluator;
    ledger.recordReport(incarnationId, report, this.parts.clock.now());
    if (
      versions?.rollout?.state !== ROLLOUT_STATE.exposing ||
      !active.canExpose
    ) {
      return report.granted;
    }
    const granted = ledger.grant(incarnationId);
    const {term} = this;
    const isPersisted = await active.allocator.ensurePersisted(ledger.granted);
    return isPersisted && this.isLeaderOf(term) ? granted : undefined;
  }

  private isLeaderOf(term: number): boolean {
    const {replica} = this.parts;
    return replica.isLeader && replica.status().term === term;
  }

  /** Whether this box is the leader and has applied all records of earlier terms. */
  async ensureCurrentTerm(): Promise<boolean> {
    const {leader, replica} = this.parts;
    const {term} = replica.status();
    if (!replica.isLeader || this.term === term) {
      return replica.isLeader;
    }
    if (!(await leader.passBarrier()) || !this.isLeaderOf(term)) {
      return false;
    }
    if (this.term !== term) {
      this.term = term;
      this.firstSeenAt.clear();
      this.activeRollouts.clear();
    }
    return true;
  }

  private async recordStableVersions(): Promise<void> {
    const {leader, machine} = this.parts;
    for (const {name} of machine.storedConfiguration?.configuration.services ??
      []) {
      const isKnown = machine.getVersions(name) !== undefined;
      const version = isKnown ? undefined : this.detectStableVersion(name);
      if (version !== undefined) {
        await leader.propose({kind: 'stable-version', service: name, version});
      }
    }
  }

  private async stepService(versions: ServiceVersions): Promise<void> {
    const active = this.getActiveRollout(versions);
    if (active === undefined || !hasRollout(versions)) {
      return;
    }
    const elapsedMs =
      this.parts.rolloutClock.getElapsedMs(versions.service) ?? 0;
    const verdict = active.evaluator.evaluate({
      elapsedMs,
      now: this.parts.clock.now(),
      rollout: versions.rollout,
      upstreams: this.parts.upstreams.records(),
    });
    active.canExpose = active.evaluator.canExpose(
      elapsedMs,
      this.hasWarmUpstream(versions),
    );
    this.logExposure(versions, active);
    if (verdict !== undefined) {
      await this.proposeVerdict(versions, active, verdict, elapsedMs);
    } else {
      await this.recordElapsed(versions, active, elapsedMs);
    }
  }

  /** Whether any upstream of the new version has warmed up. */
  private hasWarmUpstream({rollout, service}: VersionsWithRollout): boolean {
    const {clock, upstreams} = this.parts;
    return readyUpstreams(upstreams.records(), service).some(
      (record) =>
        upstreamVersion(record) === rollout.targetVersion &&
        upstreams.coldUntil(record.id) <= clock.now(),
    );
  }

  private async proposeVerdict(
    {rollout, service}: VersionsWithRollout,
    {evaluator}: ActiveRollout,
    {cause, state}: RolloutVerdict,
    elapsedMs: number,
  ): Promise<void> {
    const {leader, log} = this.parts;
    const {number, targetVersion} = rollout;
    const figures = evaluator.summarize();
    const result = await leader.propose({
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
      outcome: result.isOk() ? 'accepted' : result.error.kind,
      service,
      state,
      targetVersion,
    });
  }

  /** Writes the elapsed time to the log, so that it survives a restart of all boxes. */
  private async recordElapsed(
    {service}: ServiceVersions,
    active: ActiveRollout,
    elapsedMs: number,
  ): Promise<void> {
    const progress = this.parts.machine.getRolloutProgress(service);
    if (elapsedMs - (progress?.elapsedMs ?? 0) >= ELAPSED_RECORD_INTERVAL_MS) {
      await active.allocator.recordProgress();
    }
  }

  private logExposure(
    {rollout, service}: VersionsWithRollout,
    active: ActiveRollout,
  ): void {
    const {clock, log} = this.parts;
    if (clock.now() - active.lastLoggedAt < EXPOSURE_LOG_INTERVAL_MS) {
      return;
    }
    active.lastLoggedAt = clock.now();
    const {budget, exposed, granted, requests} = active.evaluator.ledger;
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

  private getActiveRollout(
    versions: ServiceVersions,
  ): ActiveRollout | undefined {
    const {service} = versions;
    if (!hasRollout(versions) || !isInProgress(versions.rollout)) {
      this.activeRollouts.delete(service);
      return undefined;
    }
    const existing = this.activeRollouts.get(service);
    if (existing?.evaluator.number === versions.rollout.number) {
      return existing;
    }
    const {counted = 0, granted: initialGranted = 0} =
      this.parts.machine.getRolloutProgress(service) ?? {};
    const {bound, leader, rolloutClock} = this.parts;
    const evaluator = new RolloutEvaluator(versions, bound, {
      counted,
      granted: initialGranted,
    });
    const allocator = new ExposureAllocator({
      initialGranted,
      leader,
      ledger: evaluator.ledger,
      number: evaluator.number,
      rolloutClock,
      service,
    });
    const active = {
      allocator,
      canExpose: false,
      evaluator,
      lastLoggedAt: -Infinity,
    };
    this.activeRollouts.set(service, active);
    return active;
  }
}

function hasRollout(
  versions: ServiceVersions,
): versions is VersionsWithRollout {
  return versions.rollout !== undefined;
}
