/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Notices when an upstream crashes, and which requests of this edge were there. A
 * connection that breaks proves little: it may be reset, or an answer lost. The
 * upstream has crashed where just after that nothing listens at its address, or
 * another life is there, though it never said that it would leave.
 */
import type {DecisionLog} from 'puffinturn-decisions';
import type {UpstreamRecord} from 'puffinturn-fleet';
import {UPSTREAM_STATE} from 'puffinturn-fleet';
import type {Crash} from 'puffinturn-quarantine';
import type {Clock} from 'shared';
import {TaskGroup} from 'shared';

import type {EdgeUpstream} from './EdgeUpstream';
import type {ListenerState} from './ListenerProbe';
import {LISTENER, probeListener} from './ListenerProbe';

/**
 * Time from the first break to the probe, ms: connections of a process that ends are
 * reset one after the other, and all requests that were there are to be known.
 */
const PROBE_AFTER_MS = 50;

/** Fingerprints named in one line of the log; the count tells of the others. */
const LOGGED_AT_MOST = 16;

/** What a CrashWatch is made of. */
export interface CrashWatchParts {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly crashed: (crash: Crash) => void;
  /** Whether anything listens at an address. */
  readonly probe?: (host: string, port: number) => Promise<ListenerState>;
}

/** See the module comment. */
export class CrashWatch implements AsyncDisposable {
  /** Requests broken since the last probe, by upstream. */
  private readonly broken = new Map<EdgeUpstream, Set<string>>();
  private readonly tasks = new TaskGroup();

  constructor(private readonly parts: CrashWatchParts) {}

  /** Notes that a request broke off at an upstream. */
  broke(upstream: EdgeUpstream, fingerprint: string): void {
    const known = this.broken.get(upstream);
    if (known !== undefined) {
      known.add(fingerprint);
      return;
    }
    this.broken.set(upstream, new Set([fingerprint]));
    this.tasks.start((signal) => this.examine(upstream, signal));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async examine(
    upstream: EdgeUpstream,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, probe = probeListener} = this.parts;
    await clock.sleep(PROBE_AFTER_MS, signal);
    const state = await probe(upstream.host, upstream.port);
    const fingerprints = [...(this.broken.get(upstream) ?? [])];
    this.broken.delete(upstream);
    const isReady = upstream.record.state === UPSTREAM_STATE.ready;
    const isAbsent = state === LISTENER.refused && isReady;
    if (isAbsent || upstream.supplanted) {
      this.tell(upstream.record, fingerprints);
    }
  }

  private tell(record: UpstreamRecord, fingerprints: readonly string[]): void {
    const {crashed, log} = this.parts;
    log.note({
      bornAt: record.bornAt,
      count: fingerprints.length,
      event: 'upstream-crashed',
      fingerprints: fingerprints.slice(0, LOGGED_AT_MOST),
      upstream: record.id,
    });
    crashed({fingerprints, life: lifeNameOf(record)});
  }
}

/** The name of one life of an upstream, the same at every edge. */
function lifeNameOf({bornAt, id}: UpstreamRecord): string {
  return `${id} ${bornAt ?? ''}`;
}
