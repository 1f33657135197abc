/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The roll-outs of all services as one edge carries them out: which upstreams a
 * request may go to, which requests try a new version, and what the leader is told.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import type {
  ExposureGrant,
  ExposureReport,
  Rollouts,
  ServiceVersions,
} from 'puffinturn-fleet';
import {NO_ROLLOUTS, ROLLOUT_STATE, UNNAMED_VERSION} from 'puffinturn-fleet';
import type {Clock, Random} from 'shared';
import {Condition, hashOf, rendezvousWeight} from 'shared';

import {AnswerExpectations} from '../connections/AnswerExpectations';
import type {EdgeMetrics} from '../EdgeMetrics';
import type {Plan} from '../requests/RequestPlan';
import type {EdgeUpstream} from '../upstreams/EdgeUpstream';
import type {UpstreamPool} from '../upstreams/UpstreamPool';
import {ExposureAccount} from './ExposureAccount';
import type {Observation} from './Observation';
import {SilentObservation, VersionObservation} from './Observation';
import type {VersionUse} from './VersionGate';
import {ofVersion, servedBy, useOfVersions} from './VersionGate';

/** What Exposures are made of. */
export interface ExposuresParts {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: EdgeMetrics;
  readonly pool: UpstreamPool;
  readonly random: Random;
}

/**
 * Part of the new upstreams that exposed requests are gathered on. About this part
 * of all requests is exposed, so those few are as busy as the stable ones, and a
 * version that is bad only under load shows.
 */
const GATHERED_PART = 0.1;

/** Services that one line of the log names. */
const MAX_LOGGED = 16;

/** One service that has versions. */
interface ExposedService {
  readonly versions: ServiceVersions;
  readonly use: VersionUse;
  readonly expectations: AnswerExpectations;
  /** While a roll-out is exposing or shifting. */
  readonly account: ExposureAccount | undefined;
}

const SILENT = new SilentObservation();

/** See the module comment. */
export class Exposures {
  /** Notified when there may be something to tell. */
  readonly changed = new Condition();
  private held: Rollouts = NO_ROLLOUTS;
  private services = new Map<string, ExposedService>();

  constructor(private readonly parts: ExposuresParts) {}

  /** The roll-outs in force here. */
  get rollouts(): Rollouts {
    return this.held;
  }

  /** Whether any roll-out is exposing or shifting. */
  get active(): boolean {
    return [...this.services.values()].some(
      ({account}) => account !== undefined,
    );
  }

  /** Puts roll-outs in force, unless newer ones are. */
  adopt(found: Rollouts, source: string): void {
    const {revision: former} = this.held;
    if (found.revision <= former) {
      return;
    }
    this.held = found;
    this.services = new Map(
      found.services.map((versions) => [
        versions.service,
        this.serviceFor(versions),
      ]),
    );
    this.parts.log.note({
      event: 'rollouts-adopted',
      former,
      revision: found.revision,
      services: found.services.slice(-MAX_LOGGED).map(describe),
      source,
    });
    this.changed.notify();
  }

  /**
   * The upstreams that a request may go to, the ones to prefer first. Its first try
   * may go to a new version; what follows a failed try goes to the usual one.
   */
  groupsFor(
    {route, service}: Plan,
    serving: readonly EdgeUpstream[],
    isFirst: boolean,
  ): readonly (readonly EdgeUpstream[])[] {
    const exposed = this.services.get(service.name);
    if (exposed === undefined) {
      return [serving];
    }
    const {account, use} = exposed;
    const usual = servedBy(use, serving);
    if (use.fallback !== undefined && account?.hasShifted === false) {
      // The former upstreams still run: better there than refused, as by cold ones.
      return [usual, ofVersion(serving, use.fallback)];
    }
    if (use.trial === undefined || account === undefined || !isFirst) {
      return [usual];
    }
    return account.draws(route.name)
      ? [gathered(ofVersion(serving, use.trial), service.name), usual]
      : [usual];
  }

  /** Counts a request as it is sent, and follows what comes of it. */
  sent(
    {route, service}: Plan,
    {cold, record}: EdgeUpstream,
    tokens: number,
  ): Observation {
    const exposed = this.services.get(service.name);
    const version = record.version ?? UNNAMED_VERSION;
    if (exposed === undefined) {
      return SILENT;
    }
    const {account, expectations, use, versions} = exposed;
    if (version === use.fallback) {
      account?.sentToFallback();
    }
    if (account?.targetVersion === version) {
      account.sentToTarget();
      this.parts.metrics.exposed.inc({service: service.name});
    }
    return new VersionObservation({
      account,
      clock: this.parts.clock,
      cold,
      expectations,
      isStable: version === versions.stableVersion,
      route: route.name,
      stopped: (stopped) => this.noteStop(service.name, stopped),
      tokens,
      version,
    });
  }

  /** What the leader is told of each roll-out under way. */
  reports(): ExposureReport[] {
    const reports: ExposureReport[] = [];
    for (const [service, {account, use}] of this.services) {
      if (account !== undefined) {
        const {pool} = this.parts;
        const target = ofVersion(pool.serving(service), account.targetVersion);
        const shifts =
          use.main === account.targetVersion &&
          target.length > 0 &&
          account.settleShift();
        reports.push(
          account.report({
            openAtFormer: pool.openBesides(service, account.targetVersion),
            shifted: shifts,
          }),
        );
      }
    }
    return reports;
  }

  /** Takes grants in; one for another order is too late. */
  grant(grants: readonly ExposureGrant[]): void {
    for (const {granted, number, service} of grants) {
      const account = this.services.get(service)?.account;
      if (account?.number === number) {
        account.grant(granted);
        this.parts.metrics.exposureGranted.set({service}, granted);
      }
    }
  }

  private serviceFor(versions: ServiceVersions): ExposedService {
    const known = this.services.get(versions.service);
    return {
      account: this.accountFor(versions, known?.account),
      expectations: this.expectationsFor(versions, known),
      use: useOfVersions(versions),
      versions,
    };
  }

  private accountFor(
    {rollout, service}: ServiceVersions,
    known: ExposureAccount | undefined,
  ): ExposureAccount | undefined {
    const isActive =
      rollout?.state === ROLLOUT_STATE.exposing ||
      rollout?.state === ROLLOUT_STATE.shifting;
    if (!isActive) {
      return undefined;
    }
    return known?.number === rollout.number
      ? known
      : new ExposureAccount(
          service,
          rollout,
          this.parts.clock,
          this.parts.random,
        );
  }

  /** What was expected of another version does not hold for this one. */
  private expectationsFor(
    {stableVersion}: ServiceVersions,
    known: ExposedService | undefined,
  ): AnswerExpectations {
    return known?.versions.stableVersion === stableVersion
      ? known.expectations
      : new AnswerExpectations();
  }

  private noteStop(service: string, account: ExposureAccount): void {
    this.parts.log.note({
      cause: account.lastStop,
      event: 'exposure-stopped',
      exposed: account.used,
      number: account.number,
      service,
      version: account.targetVersion,
    });
    this.changed.notify();
  }
}

/** The few that all edges agree on, as long as these answer here. */
function gathered(
  upstreams: readonly EdgeUpstream[],
  service: string,
): readonly EdgeUpstream[] {
  const key = hashOf(service);
  const count = Math.max(1, Math.round(upstreams.length * GATHERED_PART));
  return upstreams
    .filter(({paused}) => !paused)
    .sort(
      (a, b) => rendezvousWeight(b.hash, key) - rendezvousWeight(a.hash, key),
    )
    .slice(0, count);
}

function describe({rollout, service, stableVersion}: ServiceVersions): string {
  return rollout === undefined || rollout === null
    ? `${service} ${stableVersion}`
    : `${service} ${stableVersion} to ${rollout.targetVersion}: ${rollout.state}`;
}
