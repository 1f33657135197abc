/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Tracks, on one box, the requests that crash upstreams: those that other boxes have
 * quarantined, and those that the crashes observed by this box suffice to quarantine,
 * even during a network partition. Observations are kept until they have been reported.
 * Reporting a crash twice is harmless because it is counted once.
 */
import {LRUCache} from 'lru-cache';
import type {Clock} from 'shared';

import type {Crash, CrashReport, Quarantine} from './CrashRegistry';
import {CrashRegistry} from './CrashRegistry';
import {
  CRASHES_TO_QUARANTINE,
  LOOKUP_AFTER_CRASH_MS,
  MAX_SUCCESSFUL_REQUESTS,
  MAX_UNREPORTED,
  SUSPECT_TTL_MS,
} from './QuarantineConstants';

interface ObservedCrash {
  readonly crash: Crash;
  /** When the crash was detected, monotonic ms. */
  readonly at: number;
}

/** Observations that have not been reported yet. */
export interface PendingReport {
  readonly crashes: readonly ObservedCrash[];
  readonly answered: readonly string[];
}

/** The requests that this box must not run, and the observations to report. */
export class LocalQuarantine {
  /** Crashes observed by this box; a complete response clears a request. */
  private readonly localCrashes = new CrashRegistry();
  /**
   * When requests last got a complete response, monotonic ms, by fingerprint. They are not
   * suspected for some time, even if they are in flight at a crash.
   */
  private readonly succeededAt = new LRUCache<string, number>({
    max: MAX_SUCCESSFUL_REQUESTS,
  });
  /** Until when all requests are looked up after a crash, monotonic ms. */
  private lookupUntil = -Infinity;
  private remoteQuarantine: ReadonlySet<string> = new Set();
  /**
   * Requests suspected by other boxes. A success on any box clears them, because the boxes
   * that reported the crashes may have restarted since.
   */
  private remoteSuspects = new Set<string>();
  /** Unreported crashes. */
  private crashes: ObservedCrash[] = [];
  /** Fingerprints of unreported successes. */
  private answered: string[] = [];

  constructor(private readonly clock: Clock) {}

  /** Whether no request is quarantined or suspected, so that lookups can be skipped. */
  get isEmpty(): boolean {
    return (
      this.remoteQuarantine.size === 0 &&
      this.remoteSuspects.size === 0 &&
      this.localCrashes.quarantine.fingerprints.length === 0 &&
      this.clock.now() >= this.lookupUntil
    );
  }

  /** The requests quarantined by other boxes. */
  get quarantinedElsewhere(): readonly string[] {
    return [...this.remoteQuarantine];
  }

  /** The unreported observations; undefined if there are none. */
  get pendingReport(): PendingReport | undefined {
    const {answered, crashes} = this;
    const isEmpty = answered.length === 0 && crashes.length === 0;
    return isEmpty ? undefined : {answered, crashes};
  }

  /** Whether a request must not be run. */
  isQuarantined(fingerprint: string): boolean {
    this.localCrashes.expire(this.clock.wallTime());
    return (
      this.remoteQuarantine.has(fingerprint) ||
      this.localCrashes.isQuarantined(fingerprint)
    );
  }

  /** Whether one more crash would quarantine a request. */
  isSuspect(fingerprint: string): boolean {
    return (
      this.remoteSuspects.has(fingerprint) ||
      this.localCrashes.crashCount(fingerprint) >= CRASHES_TO_QUARANTINE - 1
    );
  }

  /** Replaces the requests that other boxes have quarantined or suspect. */
  setRemoteQuarantine({
    fingerprints,
    suspects,
  }: Omit<Quarantine, 'revision'>): void {
    const previous = this.remoteQuarantine;
    this.remoteQuarantine = new Set(fingerprints);
    this.remoteSuspects = new Set(suspects);
    for (const fingerprint of previous) {
      if (!this.remoteQuarantine.has(fingerprint)) {
        this.localCrashes.release(fingerprint);
      }
    }
  }

  /** Records a crash and the requests of this box that were in flight. */
  recordCrash({fingerprints, life}: Crash): void {
    const {clock} = this;
    const crash: Crash = {
      fingerprints: fingerprints.filter(
        (fingerprint) => !this.hasSucceededRecently(fingerprint),
      ),
      life,
    };
    if (crash.fingerprints.length === 0) {
      return;
    }
    this.lookupUntil = clock.now() + LOOKUP_AFTER_CRASH_MS;
    const report = {answered: [], crashes: [{...crash, agoMs: 0}]};
    this.localCrashes.applyReport(report, clock.wallTime());
    const observed = {at: clock.now(), crash};
    this.crashes = [...this.crashes, observed].slice(-MAX_UNREPORTED);
  }

  /**
   * Records that a request got a complete response and clears it. Returns whether this
   * must be reported to other boxes.
   */
  recordSuccess(fingerprint: string): boolean {
    this.succeededAt.set(fingerprint, this.clock.now());
    const isTrackedLocally = this.localCrashes.isTracked(fingerprint);
    const isRemoteSuspect = this.remoteSuspects.delete(fingerprint);
    if (!isTrackedLocally && !isRemoteSuspect) {
      return false;
    }
    this.localCrashes.release(fingerprint);
    this.crashes = this.crashes.map(({at, crash}) => ({
      at,
      crash: {
        fingerprints: crash.fingerprints.filter(
          (other) => other !== fingerprint,
        ),
        life: crash.life,
      },
    }));
    this.answered = [...this.answered, fingerprint].slice(-MAX_UNREPORTED);
    return true;
  }

  /** Whether a request got a complete response within the lifetime of a suspect. */
  private hasSucceededRecently(fingerprint: string): boolean {
    const at = this.succeededAt.get(fingerprint) ?? -Infinity;
    return this.clock.now() - at < SUSPECT_TTL_MS;
  }

  /** Builds the report of unreported observations. */
  buildReport({answered, crashes}: PendingReport): CrashReport {
    const now = this.clock.now();
    return {
      answered,
      crashes: crashes.map(({at, crash}) => ({...crash, agoMs: now - at})),
    };
  }

  /** Removes observations that have been reported. */
  confirmReported({answered, crashes}: PendingReport): void {
    this.crashes = this.crashes.filter(
      (observed) => !crashes.includes(observed),
    );
    this.answered = this.answered.filter(
      (fingerprint) => !answered.includes(fingerprint),
    );
  }
}
