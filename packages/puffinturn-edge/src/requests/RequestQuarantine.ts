/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Quarantines requests and parts of prompts that crash upstreams. Crashes observed by this edge are reported
 * to the control boxes and retried until one of them accepts the report.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import type {CrashReportReply, CrashReportRequest} from 'puffinturn-fleet';
import {FLEET_SERVICE} from 'puffinturn-fleet';
import type {
  Crash,
  CrashReport,
  InterruptedRequest,
  ListenerState,
  Quarantine,
} from 'puffinturn-quarantine';
import {
  CrashDetector,
  EMPTY_QUARANTINE,
  LISTENER_STATE,
  LocalQuarantine,
  probeListener,
} from 'puffinturn-quarantine';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {Condition, sleepUnlessNotified, TaskGroup} from 'shared';

import {callControlBoxes} from '../ControlRequests';
import type {EdgeMetrics} from '../EdgeMetrics';
import type {EdgeUpstream} from '../upstreams/EdgeUpstream';
import type {RequestFeatures} from './RequestIdentity';

/** Timeout for the reply of one control box, ms. */
const RESPONSE_TIMEOUT_MS = 500;

/** Delay before a report that no control box accepted is sent again, ms. */
const RETRY_INTERVAL_MS = 250;

/** Longest interval between checks for unsent reports, ms. */
const MAX_IDLE_MS = 60_000;

/** Maximum number of fingerprints in one log line, which also has their count. */
const MAX_LOGGED_FINGERPRINTS = 16;

/** Dependencies of RequestQuarantine. */
export interface RequestQuarantineParts {
  readonly box: string;
  readonly clock: Clock;
  readonly link: Link;
  readonly log: DecisionLog;
  readonly metrics: EdgeMetrics;
  /** Control boxes in the order in which they are called. */
  readonly controlBoxes: () => readonly string[];
  /** Whether this edge has lost its links to all upstreams of all services. */
  readonly areLinksLost: () => boolean;
}

/** Quarantine state of this edge, and the reporter of crashes that it observed. */
export class RequestQuarantine implements AsyncDisposable {
  private readonly localQuarantine: LocalQuarantine;
  private readonly crashDetector: CrashDetector<EdgeUpstream>;
  private adopted = EMPTY_QUARANTINE;
  private readonly reportPending = new Condition();
  private readonly tasks = new TaskGroup();

  constructor(private readonly parts: RequestQuarantineParts) {
    const {clock} = parts;
    this.localQuarantine = new LocalQuarantine(clock);
    this.crashDetector = new CrashDetector({
      clock,
      onCrash: (crash, upstream) => this.recordCrash(crash, upstream),
      probe: (upstream) => this.probe(upstream),
    });
    this.tasks.start((signal) => this.sendReports(signal));
  }

  /** The newest quarantine received from another box. */
  get current(): Quarantine {
    return this.adopted;
  }

  /** Whether no request is quarantined or suspected, so that lookups can be skipped. */
  get isEmpty(): boolean {
    return this.localQuarantine.isEmpty;
  }

  /**
   * Finds what keeps a request from being sent to any upstream: its fingerprint or the
   * feature of a part of its prompt. Returns undefined if it may be sent.
   */
  findQuarantined({fingerprint, parts}: RequestFeatures): string | undefined {
    return [fingerprint, ...parts].find((feature) =>
      this.localQuarantine.isQuarantined(feature),
    );
  }

  /** Whether one more crash would quarantine a request or a part of its prompt. */
  isOneCrashFromQuarantine({fingerprint, parts}: RequestFeatures): boolean {
    return [fingerprint, ...parts].some((feature) =>
      this.localQuarantine.isSuspect(feature),
    );
  }

  /** Adopts the quarantine of another box if its revision is newer. */
  adopt(update: Quarantine, source: string): void {
    const {log, metrics} = this.parts;
    const {revision: previousRevision} = this.adopted;
    if (update.revision <= previousRevision) {
      return;
    }
    const {fingerprints, revision, suspects} = update;
    this.adopted = update;
    if (this.localQuarantine.setRemoteQuarantine(update)) {
      this.reportPending.notify();
    }
    metrics.quarantined.set(fingerprints.length);
    log.note({
      count: fingerprints.length,
      event: 'quarantine-adopted',
      former: previousRevision,
      newest: fingerprints.at(-1),
      revision,
      source,
      suspects: suspects.length,
    });
  }

  /** Records a request whose connection broke, and checks if the upstream crashed. */
  recordBrokenRequest(
    upstream: EdgeUpstream,
    request: InterruptedRequest,
  ): void {
    this.crashDetector.recordFailure(upstream, request);
  }

  /** Records a crash and the requests of this edge that were in flight. */
  recordCrash(
    crash: Crash,
    upstream: Pick<EdgeUpstream, 'markCrashed' | 'record'>,
  ): void {
    const {log, metrics} = this.parts;
    const {record} = upstream;
    upstream.markCrashed();
    log.note({
      bornAt: record.bornAt,
      count: crash.fingerprints.length,
      event: 'upstream-crashed',
      fingerprints: crash.fingerprints.slice(0, MAX_LOGGED_FINGERPRINTS),
      parts: crash.parts?.slice(0, MAX_LOGGED_FINGERPRINTS),
      upstream: record.id,
    });
    metrics.crashes.inc({service: record.service});
    this.localQuarantine.recordCrash(crash);
    this.reportPending.notify();
  }

  /** Records a complete response, which clears the request of suspicion. */
  recordSuccess(fingerprint: string): void {
    if (this.localQuarantine.recordSuccess(fingerprint)) {
      this.reportPending.notify();
    }
  }

  /** Records that an answer began, which clears the parts of the prompt of suspicion. */
  recordAnswerBegun(parts: readonly string[]): void {
    if (this.localQuarantine.recordAnswerBegun(parts)) {
      this.reportPending.notify();
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.crashDetector[Symbol.asyncDispose]();
    await this.tasks[Symbol.asyncDispose]();
  }

  /** Without links of its own, this edge can't tell whether an upstream has crashed. */
  private async probe({host, port}: EdgeUpstream): Promise<ListenerState> {
    const state = await probeListener(host, port);
    return this.parts.areLinksLost() ? LISTENER_STATE.unknown : state;
  }

  private async sendReports(signal: AbortSignal): Promise<void> {
    const {localQuarantine} = this;
    const {clock} = this.parts;
    while (!signal.aborted) {
      const {pendingReport} = localQuarantine;
      if (pendingReport === undefined) {
        await sleepUnlessNotified(
          clock,
          this.reportPending,
          MAX_IDLE_MS,
          signal,
        );
      } else if (
        await this.sendReport(localQuarantine.buildReport(pendingReport))
      ) {
        localQuarantine.confirmReported(pendingReport);
      } else {
        await clock.sleep(RETRY_INTERVAL_MS, signal);
      }
    }
  }

  private async sendReport(report: CrashReport): Promise<boolean> {
    const {box, controlBoxes, link} = this.parts;
    const request: CrashReportRequest = {box, report};
    const reply = await callControlBoxes<CrashReportReply>(
      link,
      controlBoxes(),
      {
        timeoutMs: RESPONSE_TIMEOUT_MS,
        request,
        service: FLEET_SERVICE.reportCrashes,
      },
      ({taken}) => taken,
    );
    return reply !== undefined;
  }
}
