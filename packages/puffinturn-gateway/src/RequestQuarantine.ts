/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Quarantines requests that crash upstreams. Heartbeats report the crashes seen by this
 * box to the leader and return the quarantine of all boxes.
 */
import type {PendingCrashUpdate} from 'puffinturn-membership';
import type {Crash, ListenerState, Quarantine} from 'puffinturn-quarantine';
import {
  CrashDetector,
  fingerprintOf,
  LocalQuarantine,
} from 'puffinturn-quarantine';
import type {Upstream} from 'puffinturn-routing';
import type {Timeline} from 'puffinturn-timeline';
import {EVENT_KIND} from 'puffinturn-timeline';
import type {Clock} from 'shared';

import {upstreamId} from './PoolRegistry';
import type {CallerRequest} from './RequestPlan';
import type {UpstreamClient} from './UpstreamClient';

/** Dependencies of RequestQuarantine. */
export interface RequestQuarantineParts {
  readonly box: string;
  readonly client: UpstreamClient;
  readonly clock: Clock;
  readonly timeline: Timeline;
}

/** Adapts an upstream to the crash detector. */
class MonitoredUpstream {
  /** These upstreams do not report incarnations. */
  readonly isSuperseded = false;
  readonly incarnationId: string;

  constructor(readonly upstream: Upstream) {
    this.incarnationId = upstreamId(upstream.pool, upstream.name);
  }

  get isLeaving(): boolean {
    return this.upstream.isDraining;
  }
}

/** Records crashes and decides which requests may run. */
export class RequestQuarantine implements AsyncDisposable {
  private readonly localQuarantine: LocalQuarantine;
  private readonly crashDetector: CrashDetector<MonitoredUpstream>;
  /** Cached because hashing a long body is expensive. */
  private readonly fingerprints = new WeakMap<CallerRequest, string>();
  /** Number of crashes seen, used in their identifiers. */
  private crashCount = 0;

  constructor(private readonly parts: RequestQuarantineParts) {
    const {client, clock} = parts;
    this.localQuarantine = new LocalQuarantine(clock);
    this.crashDetector = new CrashDetector({
      clock,
      onCrash: (crash) => this.recordCrash(crash),
      probe: ({upstream}): Promise<ListenerState> =>
        client.probe(upstream.spec.url),
    });
  }

  /** The quarantine and pending crash report for the next heartbeat. */
  nextHeartbeatReport(): PendingCrashUpdate {
    const {localQuarantine} = this;
    const {quarantinedElsewhere: quarantined, pendingReport} = localQuarantine;
    if (pendingReport === undefined) {
      return {
        update: {quarantined, report: undefined},
        acknowledge: () => undefined,
      };
    }
    const report = localQuarantine.buildReport(pendingReport);
    return {
      update: {quarantined, report},
      acknowledge: () => localQuarantine.confirmReported(pendingReport),
    };
  }

  /** Applies the quarantine of all boxes. */
  applyQuarantine(quarantine: Quarantine): void {
    this.localQuarantine.setRemoteQuarantine(quarantine);
  }

  /** Whether a request is quarantined and must not run. */
  isQuarantined(request: CallerRequest): boolean {
    const {localQuarantine} = this;
    return (
      !localQuarantine.isEmpty &&
      localQuarantine.isQuarantined(this.getFingerprint(request))
    );
  }

  /** Whether a request may be retried after its connection was lost. */
  canRetry(request: CallerRequest): boolean {
    const {localQuarantine} = this;
    if (localQuarantine.isEmpty) {
      return true;
    }
    const fingerprint = this.getFingerprint(request);
    return (
      !localQuarantine.isQuarantined(fingerprint) &&
      !localQuarantine.isSuspect(fingerprint)
    );
  }

  /** Records that the connection of a request to an upstream was lost. */
  recordLostConnection(upstream: Upstream, request: CallerRequest): void {
    this.crashDetector.recordFailure(new MonitoredUpstream(upstream), {
      fingerprint: this.getFingerprint(request),
    });
  }

  /** Records that a request got a complete response. */
  recordSuccess(request: CallerRequest): void {
    this.localQuarantine.recordSuccess(this.getFingerprint(request));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.crashDetector[Symbol.asyncDispose]();
  }

  private recordCrash({fingerprints, life}: Crash): void {
    const {box, timeline} = this.parts;
    this.crashCount += 1;
    const detail = `${fingerprints.length} requests were there`;
    timeline.note(EVENT_KIND.upstreamCrashed, {detail, upstream: life});
    // Upstreams do not report incarnations, so each crash gets its own identifier.
    const crashId = `${life} ${box} ${this.crashCount}`;
    this.localQuarantine.recordCrash({fingerprints, life: crashId});
  }

  private getFingerprint(request: CallerRequest): string {
    const cached = this.fingerprints.get(request);
    if (cached !== undefined) {
      return cached;
    }
    const {body, method, path, team} = request;
    const caller = team.name;
    const fingerprint = fingerprintOf({body, caller, host: '', method, path});
    this.fingerprints.set(request, fingerprint);
    return fingerprint;
  }
}
