/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Tracks, on one box, the requests and prompt parts that crash upstreams: those that other
 * boxes have quarantined, and those that the crashes observed by this box suffice to
 * quarantine, even during a network partition. Observations are kept until they have been
 * reported. Reporting a crash twice is harmless because it is counted once.
 */
import {LRUCache} from 'lru-cache';
import type {Clock} from 'shared';

import type {Answer, Crash, CrashReport, Quarantine} from './CrashRegistry';
import {CrashRegistry, undefinedIfEmpty} from './CrashRegistry';
import {isPartFeature} from './PartFeatures';
import {
  CRASHES_TO_QUARANTINE,
  LOOKUP_AFTER_CRASH_MS,
  MAX_ANSWERED_PARTS,
  MAX_SUCCESSFUL_REQUESTS,
  MAX_UNREPORTED,
  SUSPECT_TTL_MS,
} from './QuarantineConstants';

interface ObservedCrash {
  readonly crash: Crash;
  /** When the crash was detected, monotonic ms. */
  readonly at: number;
}

interface ObservedAnswer {
  readonly feature: string;
  /** When the answer began, monotonic ms. */
  readonly at: number;
}

/** Observations that have not been reported yet. */
export interface PendingReport {
  readonly crashes: readonly ObservedCrash[];
  readonly answered: readonly string[];
  readonly answeredParts: readonly ObservedAnswer[];
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
  /**
   * When answers last began with prompt parts, monotonic ms, by feature. It clears a part
   * that any box suspects for crashes before.
   */
  private readonly partAnsweredAt = new LRUCache<string, number>({
    max: MAX_ANSWERED_PARTS,
  });
  /** Until when all requests are looked up after a crash, monotonic ms. */
  private lookupUntil = -Infinity;
  private remoteQuarantine = new Set<string>();
  /**
   * Requests suspected by other boxes. A success on any box clears them, because the boxes
   * that reported the crashes may have restarted since.
   */
  private remoteSuspects = new Set<string>();
  /** Unreported crashes. */
  private crashes: ObservedCrash[] = [];
  /** Fingerprints of unreported successes. */
  private answered: string[] = [];
  /** Unreported answers to suspect or quarantined requests and parts. */
  private answeredParts: ObservedAnswer[] = [];

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
    const {answered, answeredParts, crashes} = this;
    const observed = answered.length + answeredParts.length + crashes.length;
    return observed === 0 ? undefined : {answered, answeredParts, crashes};
  }

  /** Whether a request, or one with a prompt part, must not be run. */
  isQuarantined(fingerprint: string): boolean {
    this.localCrashes.update(this.clock.wallTime());
    return (
      this.remoteQuarantine.has(fingerprint) ||
      (this.decidesItself(fingerprint) &&
        this.localCrashes.isQuarantined(fingerprint))
    );
  }

  /**
   * Whether the crashes that this box saw suffice. For parts they do only while reports
   * are pending: other boxes know of answers with a part that this one has not seen.
   */
  private decidesItself(fingerprint: string): boolean {
    return !isPartFeature(fingerprint) || this.crashes.length > 0;
  }

  /** Whether one more crash would quarantine a request or a prompt part. */
  isSuspect(fingerprint: string): boolean {
    return (
      this.remoteSuspects.has(fingerprint) ||
      this.localCrashes.crashCount(fingerprint) >= CRASHES_TO_QUARANTINE - 1
    );
  }

  /**
   * Replaces what other boxes have quarantined or suspect. Returns whether this box has
   * to report answers that began with some of it.
   */
  setRemoteQuarantine({
    fingerprints,
    suspects,
  }: Omit<Quarantine, 'revision'>): boolean {
    const previous = this.remoteQuarantine;
    this.remoteQuarantine = new Set(fingerprints);
    this.remoteSuspects = new Set(suspects);
    for (const fingerprint of previous) {
      if (!this.remoteQuarantine.has(fingerprint)) {
        this.localCrashes.release(fingerprint);
      }
    }
    return this.addKnownAnswers([...fingerprints, ...suspects]);
  }

  /** Records a crash and the requests of this box that were in flight. */
  recordCrash({fingerprints, life, parts}: Crash): void {
    const {clock} = this;
    const crash: Crash = {
      fingerprints: fingerprints.filter(
        (fingerprint) => !this.hasSucceededRecently(fingerprint),
      ),
      life,
      parts,
    };
    if (crash.fingerprints.length === 0 && parts === undefined) {
      return;
    }
    this.lookupUntil = clock.now() + LOOKUP_AFTER_CRASH_MS;
    const report = {
      answered: [],
      answeredParts: this.knownAnswers(parts ?? []),
      crashes: [{...crash, agoMs: 0}],
    };
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
    const wasSuspected = this.remoteSuspects.delete(fingerprint);
    const wasQuarantined = this.remoteQuarantine.delete(fingerprint);
    if (!isTrackedLocally && !wasSuspected && !wasQuarantined) {
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
        parts: crash.parts,
      },
    }));
    this.answered = [...this.answered, fingerprint].slice(-MAX_UNREPORTED);
    return true;
  }

  /**
   * Records that an answer began with prompt parts, which clears them of earlier crashes.
   * Returns whether this must be reported to other boxes.
   */
  recordAnswerBegun(features: readonly string[]): boolean {
    const at = this.clock.now();
    let mustReport = false;
    for (const feature of features) {
      this.partAnsweredAt.set(feature, at);
      if (this.isTracked(feature)) {
        this.clearPart(feature, at);
        mustReport = true;
      }
    }
    return mustReport;
  }

  private isTracked(feature: string): boolean {
    return (
      this.localCrashes.isTracked(feature) ||
      this.remoteSuspects.has(feature) ||
      this.remoteQuarantine.has(feature)
    );
  }

  /** Clears a part here, and has it cleared at other boxes. */
  private clearPart(feature: string, at: number): void {
    const {clock} = this;
    this.remoteSuspects.delete(feature);
    this.remoteQuarantine.delete(feature);
    const answeredPart = {agoMs: clock.now() - at, feature};
    this.localCrashes.applyReport(
      {answered: [], answeredParts: [answeredPart], crashes: []},
      clock.wallTime(),
    );
    this.addAnsweredPart({at, feature});
  }

  private addAnsweredPart(answer: ObservedAnswer): void {
    const others = this.answeredParts.filter(
      ({feature}) => feature !== answer.feature,
    );
    this.answeredParts = [...others, answer].slice(-MAX_UNREPORTED);
  }

  /** The last answers at this box to some of the requests, or that began with the parts. */
  private knownAnswers(features: readonly string[]): Answer[] {
    const now = this.clock.now();
    return features.flatMap((feature) => {
      const answers = isPartFeature(feature)
        ? this.partAnsweredAt
        : this.succeededAt;
      const at = answers.peek(feature) ?? -Infinity;
      const agoMs = now - at;
      return agoMs < SUSPECT_TTL_MS ? [{agoMs, feature}] : [];
    });
  }

  /** Has requests and parts reported that got answers at this box not long ago. */
  private addKnownAnswers(listed: readonly string[]): boolean {
    const now = this.clock.now();
    const answers = this.knownAnswers(listed);
    for (const {agoMs, feature} of answers) {
      this.addAnsweredPart({at: now - agoMs, feature});
    }
    return answers.length > 0;
  }

  /** Whether a request got a complete response within the lifetime of a suspect. */
  private hasSucceededRecently(fingerprint: string): boolean {
    const at = this.succeededAt.get(fingerprint) ?? -Infinity;
    return this.clock.now() - at < SUSPECT_TTL_MS;
  }

  /** Builds the report of unreported observations. */
  buildReport({answered, answeredParts, crashes}: PendingReport): CrashReport {
    const now = this.clock.now();
    return {
      answered,
      answeredParts: undefinedIfEmpty(
        answeredParts.map(({at, feature}) => ({agoMs: now - at, feature})),
      ),
      crashes: crashes.map(({at, crash}) => ({...crash, agoMs: now - at})),
    };
  }

  /** Removes observations that have been reported. */
  confirmReported({answered, answeredParts, crashes}: PendingReport): void {
    this.crashes = this.crashes.filter(
      (observed) => !crashes.includes(observed),
    );
    this.answered = this.answered.filter(
      (fingerprint) => !answered.includes(fingerprint),
    );
    this.answeredParts = this.answeredParts.filter(
      (observed) => !answeredParts.includes(observed),
    );
  }
}
