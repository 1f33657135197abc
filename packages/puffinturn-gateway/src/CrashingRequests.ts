/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Which requests this box must not run, as they crash the upstreams that run them.
 * Heartbeats carry what is seen here to the leader, and bring what all boxes know.
 */
import type {CrashTelling} from 'puffinturn-membership';
import type {Crash, ListenerState, Quarantine} from 'puffinturn-quarantine';
import {CrashEvidence, CrashWatch, fingerprintOf} from 'puffinturn-quarantine';
import type {Upstream} from 'puffinturn-routing';
import type {Timeline} from 'puffinturn-timeline';
import {EVENT_KIND} from 'puffinturn-timeline';
import type {Clock} from 'shared';

import type {CallerRequest} from './Plan';
import {upstreamId} from './Pools';
import type {UpstreamClient} from './UpstreamClient';

/** What CrashingRequests are made of. */
export interface CrashingRequestsParts {
  readonly box: string;
  readonly client: UpstreamClient;
  readonly clock: Clock;
  readonly timeline: Timeline;
}

/** An upstream as the watch over crashes sees it. */
class Watched {
  /** Nothing tells lives of these upstreams apart. */
  readonly isSuperseded = false;
  readonly incarnationId: string;

  constructor(readonly upstream: Upstream) {
    this.incarnationId = upstreamId(upstream.pool, upstream.name);
  }

  get isLeaving(): boolean {
    return this.upstream.leaving;
  }
}

/** See the module comment. */
export class CrashingRequests implements AsyncDisposable {
  private readonly evidence: CrashEvidence;
  private readonly watch: CrashWatch<Watched>;
  /** Taken once a request: a long body is costly to hash. */
  private readonly fingerprints = new WeakMap<CallerRequest, string>();
  /** Crashes seen, which names them. */
  private crashes = 0;

  constructor(private readonly parts: CrashingRequestsParts) {
    const {client, clock} = parts;
    this.evidence = new CrashEvidence(clock);
    this.watch = new CrashWatch({
      clock,
      crashed: (crash) => this.crashed(crash),
      probe: ({upstream}): Promise<ListenerState> =>
        client.probe(upstream.spec.url),
    });
  }

  /** What the next heartbeat tells. */
  telling(): CrashTelling {
    const {evidence} = this;
    const {fingerprints: quarantined, untold} = evidence;
    if (untold === undefined) {
      return {news: {quarantined, report: undefined}, taken: () => undefined};
    }
    const report = evidence.reportOf(untold);
    return {news: {quarantined, report}, taken: () => evidence.told(untold)};
  }

  /** Takes over what all boxes know. */
  adopt(quarantine: Quarantine): void {
    this.evidence.adopt(quarantine);
  }

  /** Whether a request must not be run. */
  isQuarantined(request: CallerRequest): boolean {
    const {evidence} = this;
    return (
      !evidence.isEmpty && evidence.isQuarantined(this.fingerprint(request))
    );
  }

  /** Whether a request may be tried again after it broke off. */
  mayRetry(request: CallerRequest): boolean {
    const {evidence} = this;
    if (evidence.isEmpty) {
      return true;
    }
    const known = this.fingerprint(request);
    return !evidence.isQuarantined(known) && !evidence.isLastTry(known);
  }

  /** Notes that a request broke off at an upstream. */
  broke(upstream: Upstream, request: CallerRequest): void {
    this.watch.broke(new Watched(upstream), this.fingerprint(request));
  }

  /** Notes that a request got a whole answer. */
  served(request: CallerRequest): void {
    this.evidence.served(this.fingerprint(request));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.watch[Symbol.asyncDispose]();
  }

  private crashed({fingerprints, life}: Crash): void {
    const {box, timeline} = this.parts;
    this.crashes += 1;
    const detail = `${fingerprints.length} requests were there`;
    timeline.note(EVENT_KIND.upstreamCrashed, {detail, upstream: life});
    // Lives of an upstream have no name of their own; each crash is given one.
    const name = `${life} ${box} ${this.crashes}`;
    this.evidence.crashed({fingerprints, life: name});
  }

  private fingerprint(request: CallerRequest): string {
    const known = this.fingerprints.get(request);
    if (known !== undefined) {
      return known;
    }
    const {body, method, path, team} = request;
    const caller = team.name;
    const made = fingerprintOf({body, caller, host: '', method, path});
    this.fingerprints.set(request, made);
    return made;
  }
}
