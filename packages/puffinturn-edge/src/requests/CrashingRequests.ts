/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Which requests this edge must not run, as they crash the upstreams that run them.
 * What is seen here is told to the core until it is taken.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import type {CrashReply, CrashRequest} from 'puffinturn-fleet';
import {FLEET_SERVICE} from 'puffinturn-fleet';
import type {Crash, CrashReport, Quarantine} from 'puffinturn-quarantine';
import {
  CrashEvidence,
  CrashWatch,
  NO_QUARANTINE,
  probeListener,
} from 'puffinturn-quarantine';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {Condition, sleepUnlessNotified, TaskGroup} from 'shared';

import {askControls} from '../ControlQuestions';
import type {EdgeMetrics} from '../EdgeMetrics';
import type {EdgeUpstream} from '../upstreams/EdgeUpstream';

/** Longest time for the answer of one control box, ms. */
const ANSWER_MS = 500;

/** Pause after a round in which no control box took the report, ms. */
const RETRY_MS = 250;

/** Longest time between two looks whether there is something to tell, ms. */
const IDLE_MS = 60_000;

/** Fingerprints named in one line of the log; the count tells of the others. */
const LOGGED_AT_MOST = 16;

/** What CrashingRequests are made of. */
export interface CrashingRequestsParts {
  readonly box: string;
  readonly clock: Clock;
  readonly link: Link;
  readonly log: DecisionLog;
  readonly metrics: EdgeMetrics;
  /** Control boxes, the one to ask first at the front. */
  readonly controls: () => readonly string[];
}

/** See the module comment. */
export class CrashingRequests implements AsyncDisposable {
  private readonly evidence: CrashEvidence;
  private readonly watch: CrashWatch<EdgeUpstream>;
  private told = NO_QUARANTINE;
  private readonly news = new Condition();
  private readonly tasks = new TaskGroup();

  constructor(private readonly parts: CrashingRequestsParts) {
    const {clock} = parts;
    this.evidence = new CrashEvidence(clock);
    this.watch = new CrashWatch({
      clock,
      crashed: (crash, upstream) => this.crashed(crash, upstream),
      probe: ({host, port}) => probeListener(host, port),
    });
    this.tasks.start((signal) => this.run(signal));
  }

  /** What the core told last. */
  get quarantine(): Quarantine {
    return this.told;
  }

  /** Whether no request is quarantined or suspected, so that none need be looked up. */
  get isEmpty(): boolean {
    return this.evidence.isEmpty;
  }

  /** Whether a request must not be run. */
  isQuarantined(fingerprint: string): boolean {
    return this.evidence.isQuarantined(fingerprint);
  }

  /** Whether one more crash would have a request quarantined. */
  isLastTry(fingerprint: string): boolean {
    return this.evidence.isLastTry(fingerprint);
  }

  /** Takes over what the core or another edge has, unless that is older. */
  adopt(found: Quarantine, source: string): void {
    const {log, metrics} = this.parts;
    const {revision: former} = this.told;
    if (found.revision <= former) {
      return;
    }
    const {fingerprints, revision, suspects} = found;
    this.told = found;
    this.evidence.adopt(found);
    metrics.quarantined.set(fingerprints.length);
    log.note({
      count: fingerprints.length,
      event: 'quarantine-adopted',
      former,
      newest: fingerprints.at(-1),
      revision,
      source,
      suspects: suspects.length,
    });
  }

  /** Notes that a request broke off at an upstream. */
  broke(upstream: EdgeUpstream, fingerprint: string): void {
    this.watch.broke(upstream, fingerprint);
  }

  /** Notes a crash and which requests of this edge were there. */
  crashed(crash: Crash, {record}: Pick<EdgeUpstream, 'record'>): void {
    const {log, metrics} = this.parts;
    log.note({
      bornAt: record.bornAt,
      count: crash.fingerprints.length,
      event: 'upstream-crashed',
      fingerprints: crash.fingerprints.slice(0, LOGGED_AT_MOST),
      upstream: record.id,
    });
    metrics.crashes.inc({service: record.service});
    this.evidence.crashed(crash);
    this.news.notify();
  }

  /** Notes that a request got a whole answer. */
  served(fingerprint: string): void {
    if (this.evidence.served(fingerprint)) {
      this.news.notify();
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.watch[Symbol.asyncDispose]();
    await this.tasks[Symbol.asyncDispose]();
  }

  private async run(signal: AbortSignal): Promise<void> {
    const {evidence} = this;
    const {clock} = this.parts;
    while (!signal.aborted) {
      const {untold} = evidence;
      if (untold === undefined) {
        await sleepUnlessNotified(clock, this.news, IDLE_MS, signal);
      } else if (await this.tell(evidence.reportOf(untold))) {
        evidence.told(untold);
      } else {
        await clock.sleep(RETRY_MS, signal);
      }
    }
  }

  private async tell(report: CrashReport): Promise<boolean> {
    const {box, controls, link} = this.parts;
    const request: CrashRequest = {box, report};
    const reply = await askControls<CrashReply>(
      link,
      controls(),
      {answerMs: ANSWER_MS, request, service: FLEET_SERVICE.reportCrashes},
      ({taken}) => taken,
    );
    return reply !== undefined;
  }
}
