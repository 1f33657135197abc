/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Detects upstream crashes and the requests of this box that were in flight. A broken
 * connection alone is not a crash. An upstream has crashed if its address refuses
 * connections soon afterwards or belongs to another incarnation, and no shutdown was
 * announced.
 */
import type {Clock} from 'shared';
import {TaskGroup} from 'shared';

import type {Crash} from './CrashRegistry';
import {undefinedIfEmpty} from './CrashRegistry';
import type {ListenerState} from './ListenerProbe';
import {LISTENER_STATE} from './ListenerProbe';

/**
 * Delay from the first failed request to the probe, ms. The connections of a crashed
 * process are reset one after another, and the report must include all requests.
 */
const PROBE_DELAY_MS = 50;

/** A request whose connection broke. */
export interface InterruptedRequest {
  readonly fingerprint: string;
  /** Features of the parts of its prompt, if no answer had begun. */
  readonly parts?: readonly string[];
}

/** What was interrupted at one incarnation since the last probe. */
interface Interruptions {
  readonly fingerprints: Set<string>;
  readonly parts: Set<string>;
}

/** One incarnation of an upstream. */
export interface WatchedUpstream {
  /** Incarnation id, unique among all upstreams. */
  readonly incarnationId: string;
  /** Whether its shutdown was announced. */
  readonly isLeaving: boolean;
  /** Whether another incarnation replaced it without an announced shutdown. */
  readonly isSuperseded: boolean;
}

/** Dependencies of a CrashDetector. */
export interface CrashDetectorParts<Upstream extends WatchedUpstream> {
  readonly clock: Clock;
  /** Called for each detected crash. */
  readonly onCrash: (crash: Crash, upstream: Upstream) => void;
  /** Probes whether a process is listening on the address of an upstream. */
  readonly probe: (upstream: Upstream) => Promise<ListenerState>;
}

/** Detects crashes by probing upstreams after failed requests. */
export class CrashDetector<
  Upstream extends WatchedUpstream,
> implements AsyncDisposable {
  /** Requests that failed since the last probe, by incarnation. */
  private readonly interrupted = new Map<string, Interruptions>();
  private readonly tasks = new TaskGroup();

  constructor(private readonly parts: CrashDetectorParts<Upstream>) {}

  /** Records a request whose connection broke and schedules a probe. */
  recordFailure(
    upstream: Upstream,
    {fingerprint, parts = []}: InterruptedRequest,
  ): void {
    const existing = this.interrupted.get(upstream.incarnationId);
    const interruptions = existing ?? {
      fingerprints: new Set(),
      parts: new Set(),
    };
    interruptions.fingerprints.add(fingerprint);
    for (const part of parts) {
      interruptions.parts.add(part);
    }
    if (existing === undefined) {
      this.interrupted.set(upstream.incarnationId, interruptions);
      this.tasks.start((signal) => this.checkForCrash(upstream, signal));
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  /** Probes an upstream after a delay and reports a crash. */
  private async checkForCrash(
    upstream: Upstream,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, onCrash, probe} = this.parts;
    const {incarnationId: incarnation} = upstream;
    await clock.sleep(PROBE_DELAY_MS, signal);
    const state = await probe(upstream);
    const interruptions = this.interrupted.get(incarnation);
    this.interrupted.delete(incarnation);
    const fingerprints = [...(interruptions?.fingerprints ?? [])];
    const parts = undefinedIfEmpty([...(interruptions?.parts ?? [])]);
    const hasStopped = state === LISTENER_STATE.refused && !upstream.isLeaving;
    if (hasStopped || upstream.isSuperseded) {
      onCrash({fingerprints, life: incarnation, parts}, upstream);
    }
  }
}
