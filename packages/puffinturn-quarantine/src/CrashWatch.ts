/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Notices when an upstream crashes, and which requests of this box were there. A
 * connection that breaks proves little: it may be reset, or an answer lost. The
 * upstream has crashed where just after that nothing listens at its address, or
 * another life is there, though it never said that it would leave.
 */
import type {Clock} from 'shared';
import {TaskGroup} from 'shared';

import type {Crash} from './CrashRegister';
import type {ListenerState} from './ListenerProbe';
import {LISTENER} from './ListenerProbe';

/**
 * Time from the first break to the probe, ms: connections of a process that ends are
 * reset one after the other, and all requests that were there are to be known.
 */
const PROBE_AFTER_MS = 50;

/** One life of an upstream. */
export interface WatchedUpstream {
  /** Names that life among all lives of all upstreams. */
  readonly incarnationId: string;
  /** Whether it, or somebody for it, said that it leaves. */
  readonly isLeaving: boolean;
  /** Whether another life took its place though it never said so. */
  readonly isSuperseded: boolean;
}

/** What a CrashWatch is made of. */
export interface CrashWatchParts<Upstream extends WatchedUpstream> {
  readonly clock: Clock;
  readonly crashed: (crash: Crash, upstream: Upstream) => void;
  /** Whether anything listens at an upstream's address. */
  readonly probe: (upstream: Upstream) => Promise<ListenerState>;
}

/** See the module comment. */
export class CrashWatch<
  Upstream extends WatchedUpstream,
> implements AsyncDisposable {
  /** Requests broken since the last probe, by life. */
  private readonly broken = new Map<string, Set<string>>();
  private readonly tasks = new TaskGroup();

  constructor(private readonly parts: CrashWatchParts<Upstream>) {}

  /** Notes that a request broke off at an upstream. */
  broke(upstream: Upstream, fingerprint: string): void {
    const known = this.broken.get(upstream.incarnationId);
    if (known !== undefined) {
      known.add(fingerprint);
      return;
    }
    this.broken.set(upstream.incarnationId, new Set([fingerprint]));
    this.tasks.start((signal) => this.examine(upstream, signal));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async examine(
    upstream: Upstream,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock, crashed, probe} = this.parts;
    const {incarnationId} = upstream;
    await clock.sleep(PROBE_AFTER_MS, signal);
    const state = await probe(upstream);
    const fingerprints = [...(this.broken.get(incarnationId) ?? [])];
    this.broken.delete(incarnationId);
    const isAbsent = state === LISTENER.refused && !upstream.isLeaving;
    if (isAbsent || upstream.isSuperseded) {
      crashed({fingerprints, life: incarnationId}, upstream);
    }
  }
}
