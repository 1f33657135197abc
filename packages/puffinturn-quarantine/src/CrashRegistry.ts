/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Tracks the requests that were in flight when upstreams crashed, and quarantines them
 * after three crashes that were not all simultaneous. A quarantined request is not run
 * for some time. A complete response clears a suspect, so that crashes with another cause
 * don't quarantine requests that succeed.
 *
 * The state is deterministic: it depends only on the reports, their order and the times
 * passed with them. Replicas that apply the same reports have the same state.
 */
import {
  CRASHES_TO_QUARANTINE,
  MAX_INCARNATIONS_PER_SUSPECT,
  MAX_QUARANTINED,
  MAX_SIMULTANEOUS_CRASHES,
  MAX_SUSPECTS,
  QUARANTINE_DURATION_MS,
  SIMULTANEOUS_CRASH_MS,
  SUSPECT_TTL_MS,
} from './QuarantineConstants';

/** The unplanned end of one incarnation of an upstream. */
export interface Crash {
  /** Incarnation id, unique among all upstreams. */
  readonly life: string;
  /** Fingerprints of the requests in flight, as known to the reporter. */
  readonly fingerprints: readonly string[];
}

/** A crash with its age, as sent in a report. */
export interface ReportedCrash extends Crash {
  /** Time since the crash was detected, ms. */
  readonly agoMs: number;
}

/** The crashes and successes that a box observed since its last report. */
export interface CrashReport {
  readonly crashes: readonly ReportedCrash[];
  /** Fingerprints of suspects that got a complete response. */
  readonly answered: readonly string[];
}

/** An empty report. */
export const EMPTY_CRASH_REPORT: CrashReport = {answered: [], crashes: []};

/** One revision of the quarantined requests and the suspects. */
export interface Quarantine {
  /** Increases by 1 with each change; 0 before the first one. */
  readonly revision: number;
  /** Fingerprints of quarantined requests. */
  readonly fingerprints: readonly string[];
  /** Fingerprints of requests that one more crash would quarantine. */
  readonly suspects: readonly string[];
}

/** The quarantine before the first change. */
export const EMPTY_QUARANTINE: Quarantine = {
  fingerprints: [],
  revision: 0,
  suspects: [],
};

interface Suspect {
  readonly fingerprint: string;
  /** Incarnations that crashed while the request was in flight. */
  readonly lives: readonly string[];
  /** Times of the counted crashes, Unix ms. */
  readonly moments: readonly number[];
}

interface QuarantinedRequest {
  readonly fingerprint: string;
  /** Start of the quarantine, Unix ms. */
  readonly since: number;
}

/** The state as stored in a snapshot. */
export interface CrashSnapshot {
  readonly revision: number;
  readonly suspects: readonly Suspect[];
  readonly quarantined: readonly QuarantinedRequest[];
}

/** The state before the first report, and that of snapshots without one. */
export const EMPTY_CRASH_SNAPSHOT: CrashSnapshot = {
  quarantined: [],
  revision: 0,
  suspects: [],
};

/** Suspects and quarantined requests, updated by crash reports. */
export class CrashRegistry {
  /** Suspects by fingerprint, the most recently reported last. */
  private readonly suspects = new Map<string, Suspect>();
  /** Start of the quarantine by fingerprint, Unix ms; the oldest first. */
  private readonly quarantined = new Map<string, number>();
  /** The current revision for other boxes. */
  private published = EMPTY_QUARANTINE;

  /** The quarantined requests and the suspects. */
  get quarantine(): Quarantine {
    return this.published;
  }

  /** Whether a request is quarantined. */
  isQuarantined(fingerprint: string): boolean {
    return this.quarantined.has(fingerprint);
  }

  /** Whether a request is a suspect or quarantined. */
  isTracked(fingerprint: string): boolean {
    return this.suspects.has(fingerprint) || this.isQuarantined(fingerprint);
  }

  /** Returns the number of crashes counted for a suspect; 0 for other requests. */
  crashCount(fingerprint: string): number {
    return this.suspects.get(fingerprint)?.moments.length ?? 0;
  }

  /**
   * Ends the quarantines that have expired at the given time, Unix ms. Returns whether
   * the quarantine changed.
   */
  expire(at: number): boolean {
    return this.hasExpired(at) && this.applyReport(EMPTY_CRASH_REPORT, at);
  }

  /**
   * Applies a report that arrived at the given time, Unix ms. Returns whether the
   * quarantine changed.
   */
  applyReport({answered, crashes}: CrashReport, at: number): boolean {
    this.removeExpired(at);
    for (const fingerprint of answered) {
      this.suspects.delete(fingerprint);
    }
    for (const {agoMs, fingerprints, life: incarnation} of crashes) {
      for (const fingerprint of fingerprints) {
        this.recordCrash(fingerprint, incarnation, at - agoMs);
      }
    }
    return this.publishChanges();
  }

  /** Quarantines requests that are quarantined in another registry. */
  addQuarantined(fingerprints: readonly string[], at: number): void {
    for (const fingerprint of fingerprints) {
      if (!this.quarantined.has(fingerprint)) {
        this.addToQuarantine(fingerprint, at);
      }
    }
    this.publishChanges();
  }

  /** Removes a request from the suspects and the quarantine. */
  release(fingerprint: string): void {
    this.suspects.delete(fingerprint);
    this.quarantined.delete(fingerprint);
    this.publishChanges();
  }

  /** Whether any quarantine has expired at the given time, Unix ms. */
  hasExpired(at: number): boolean {
    const [oldestStart = Infinity] = this.quarantined.values();
    return at - oldestStart > QUARANTINE_DURATION_MS;
  }

  /** Returns the state for a snapshot. */
  snapshot(): CrashSnapshot {
    return {
      quarantined: [...this.quarantined].map(([fingerprint, since]) => ({
        fingerprint,
        since,
      })),
      revision: this.published.revision,
      suspects: [...this.suspects.values()],
    };
  }

  /** Replaces the state by that of a snapshot. */
  restore({quarantined, revision, suspects}: CrashSnapshot): void {
    this.suspects.clear();
    this.quarantined.clear();
    for (const suspect of suspects) {
      this.suspects.set(suspect.fingerprint, suspect);
    }
    for (const {fingerprint, since} of quarantined) {
      this.quarantined.set(fingerprint, since);
    }
    this.published = {...this.buildLists(), revision};
  }

  /**
   * Records a crash of an incarnation that has not been reported for this request yet. The
   * crash is not counted if too many were simultaneous.
   */
  private recordCrash(
    fingerprint: string,
    incarnation: string,
    at: number,
  ): void {
    if (this.quarantined.has(fingerprint)) {
      return;
    }
    const existing = this.suspects.get(fingerprint);
    if (existing?.lives.includes(incarnation) === true) {
      return;
    }
    const {lives = [], moments = []} = existing ?? {};
    const simultaneous = moments.filter(
      (moment) => Math.abs(at - moment) < SIMULTANEOUS_CRASH_MS,
    );
    const isCounted = simultaneous.length < MAX_SIMULTANEOUS_CRASHES;
    const suspect: Suspect = {
      fingerprint,
      lives: [...lives, incarnation].slice(-MAX_INCARNATIONS_PER_SUSPECT),
      moments: isCounted ? [...moments, at] : moments,
    };
    this.suspects.delete(fingerprint);
    if (suspect.moments.length >= CRASHES_TO_QUARANTINE) {
      this.addToQuarantine(fingerprint, at);
    } else {
      this.suspects.set(fingerprint, suspect);
      evictOldest(this.suspects, MAX_SUSPECTS);
    }
  }

  private addToQuarantine(fingerprint: string, at: number): void {
    this.quarantined.set(fingerprint, at);
    evictOldest(this.quarantined, MAX_QUARANTINED);
  }

  /** Creates a new revision if the lists have changed, and returns whether they have. */
  private publishChanges(): boolean {
    const {fingerprints, revision, suspects} = this.published;
    const newLists = this.buildLists();
    const isUnchanged =
      areEqual(newLists.fingerprints, fingerprints) &&
      areEqual(newLists.suspects, suspects);
    if (!isUnchanged) {
      this.published = {...newLists, revision: revision + 1};
    }
    return !isUnchanged;
  }

  private buildLists(): Omit<Quarantine, 'revision'> {
    const suspects = [...this.suspects.values()].filter(
      ({moments}) => moments.length >= CRASHES_TO_QUARANTINE - 1,
    );
    return {
      fingerprints: [...this.quarantined.keys()],
      suspects: suspects
        .map(({fingerprint}) => fingerprint)
        .slice(-MAX_QUARANTINED),
    };
  }

  /** Drops expired suspects and ends expired quarantines. */
  private removeExpired(at: number): void {
    for (const [fingerprint, {moments}] of this.suspects) {
      if (at - Math.max(...moments) > SUSPECT_TTL_MS) {
        this.suspects.delete(fingerprint);
      }
    }
    for (const [fingerprint, since] of this.quarantined) {
      if (at - since > QUARANTINE_DURATION_MS) {
        this.quarantined.delete(fingerprint);
        this.addToProbation(fingerprint, at);
      }
    }
  }

  /** Makes a released request a suspect that one more crash quarantines again. */
  private addToProbation(fingerprint: string, at: number): void {
    const moments = Array<number>(CRASHES_TO_QUARANTINE - 1).fill(at);
    this.suspects.set(fingerprint, {fingerprint, lives: [], moments});
  }
}

function areEqual(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((value, index) => value === b[index]);
}

function evictOldest(map: Map<string, unknown>, maxSize: number): void {
  const [oldest] = map.keys();
  if (map.size > maxSize && oldest !== undefined) {
    map.delete(oldest);
  }
}
