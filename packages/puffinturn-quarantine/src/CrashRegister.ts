/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Which requests were there when upstreams crashed, and which are quarantined for it:
 * they are not run for a while. A request is quarantined once it was present at three
 * crashes, not all at one moment, with no whole answer in between. A whole
 * answer removes all that is held against a request, so that crashes with another
 * cause, however many, quarantine none that is served at all.
 *
 * Applying the same reports in the same order gives the same state everywhere: times
 * come with the reports.
 */
import {
  COUNTED_AT_A_MOMENT,
  CRASHES_TO_QUARANTINE,
  MAX_LIVES,
  MAX_QUARANTINED,
  MAX_SUSPECTS,
  QUARANTINE_MS,
  SAME_MOMENT_MS,
  SUSPICION_MS,
} from './QuarantineConstants';

/** One life of an upstream has ended unplanned. */
export interface Crash {
  /** Names that life among all lives of all upstreams. */
  readonly life: string;
  /** Fingerprints of the requests that were there, as far as the reporter knows. */
  readonly fingerprints: readonly string[];
}

/** A crash as it is reported. */
export interface ReportedCrash extends Crash {
  /** How long ago it was noticed, ms. */
  readonly agoMs: number;
}

/** What a box has seen since its last report. */
export interface CrashReport {
  readonly crashes: readonly ReportedCrash[];
  /** Fingerprints of suspects that got a whole answer. */
  readonly answered: readonly string[];
}

/** Nothing was seen. */
export const NO_REPORT: CrashReport = {answered: [], crashes: []};

/** The quarantined requests, as of one revision. */
export interface Quarantine {
  /** Grows by 1 with each change; 0 before the first one. */
  readonly revision: number;
  readonly fingerprints: readonly string[];
  /** Requests that one more crash has quarantined, unless they are answered. */
  readonly suspects: readonly string[];
}

/** No request was ever quarantined. */
export const NO_QUARANTINE: Quarantine = {
  fingerprints: [],
  revision: 0,
  suspects: [],
};

interface Suspect {
  readonly fingerprint: string;
  /** Lives that it crashed, or was there when they ended. */
  readonly lives: readonly string[];
  /** When the crashes were that count, Unix ms. */
  readonly moments: readonly number[];
}

interface QuarantinedRequest {
  readonly fingerprint: string;
  /** Unix ms. */
  readonly since: number;
}

/** The state as a snapshot holds it. */
export interface CrashImage {
  readonly revision: number;
  readonly suspects: readonly Suspect[];
  readonly quarantined: readonly QuarantinedRequest[];
}

/** The image before the first report; also that of snapshots without any. */
export const NO_CRASHES: CrashImage = {
  quarantined: [],
  revision: 0,
  suspects: [],
};

/** See the module comment. */
export class CrashRegister {
  /** Suspects by fingerprint, the one that was reported last at the end. */
  private readonly suspects = new Map<string, Suspect>();
  /** Since when requests are quarantined, by fingerprint; the oldest first. */
  private readonly quarantined = new Map<string, number>();
  private told = NO_QUARANTINE;

  /** The quarantined requests. */
  get quarantine(): Quarantine {
    return this.told;
  }

  /** Whether a request is quarantined. */
  isQuarantined(fingerprint: string): boolean {
    return this.quarantined.has(fingerprint);
  }

  /** Whether anything is held against a request. */
  holds(fingerprint: string): boolean {
    return this.suspects.has(fingerprint) || this.isQuarantined(fingerprint);
  }

  /** Crashes counted for a request that is not quarantined. */
  crashesOf(fingerprint: string): number {
    return this.suspects.get(fingerprint)?.moments.length ?? 0;
  }

  /** Ends what is over at a time, Unix ms; true where the quarantine changed. */
  expire(at: number): boolean {
    return this.hasExpired(at) && this.report(NO_REPORT, at);
  }

  /** Takes a report in at a time, Unix ms; true where others have to hear of it. */
  report({answered, crashes}: CrashReport, at: number): boolean {
    this.forget(at);
    for (const fingerprint of answered) {
      this.suspects.delete(fingerprint);
    }
    for (const {agoMs, fingerprints, life} of crashes) {
      for (const fingerprint of fingerprints) {
        this.addCrash(fingerprint, life, at - agoMs);
      }
    }
    return this.update();
  }

  /** Quarantines requests that another register has quarantined. */
  hold(fingerprints: readonly string[], at: number): void {
    for (const fingerprint of fingerprints) {
      if (!this.quarantined.has(fingerprint)) {
        this.add(fingerprint, at);
      }
    }
    this.update();
  }

  /** Lets a request run again. */
  release(fingerprint: string): void {
    this.suspects.delete(fingerprint);
    this.quarantined.delete(fingerprint);
    this.update();
  }

  /** Whether the time of a quarantined request is over at a time, Unix ms. */
  hasExpired(at: number): boolean {
    const [oldest = Infinity] = this.quarantined.values();
    return at - oldest > QUARANTINE_MS;
  }

  /** Its part of a snapshot. */
  image(): CrashImage {
    return {
      quarantined: [...this.quarantined].map(([fingerprint, since]) => ({
        fingerprint,
        since,
      })),
      revision: this.told.revision,
      suspects: [...this.suspects.values()],
    };
  }

  /** Takes over what a snapshot holds. */
  restore({quarantined, revision, suspects}: CrashImage): void {
    this.suspects.clear();
    this.quarantined.clear();
    for (const suspect of suspects) {
      this.suspects.set(suspect.fingerprint, suspect);
    }
    for (const {fingerprint, since} of quarantined) {
      this.quarantined.set(fingerprint, since);
    }
    this.told = {...this.lists(), revision};
  }

  private addCrash(fingerprint: string, life: string, at: number): void {
    if (this.quarantined.has(fingerprint)) {
      return;
    }
    const known = this.suspects.get(fingerprint);
    if (known?.lives.includes(life) === true) {
      return;
    }
    const {lives = [], moments = []} = known ?? {};
    const near = moments.filter(
      (moment) => Math.abs(at - moment) < SAME_MOMENT_MS,
    );
    const counts = near.length < COUNTED_AT_A_MOMENT;
    const suspect: Suspect = {
      fingerprint,
      lives: [...lives, life].slice(-MAX_LIVES),
      moments: counts ? [...moments, at] : moments,
    };
    this.suspects.delete(fingerprint);
    if (suspect.moments.length >= CRASHES_TO_QUARANTINE) {
      this.add(fingerprint, at);
    } else {
      this.suspects.set(fingerprint, suspect);
      dropOldest(this.suspects, MAX_SUSPECTS);
    }
  }

  private add(fingerprint: string, at: number): void {
    this.quarantined.set(fingerprint, at);
    dropOldest(this.quarantined, MAX_QUARANTINED);
  }

  /** Makes a new revision where what others are told has changed. */
  private update(): boolean {
    const {fingerprints, revision, suspects} = this.told;
    const lists = this.lists();
    const isSame =
      isEqual(lists.fingerprints, fingerprints) &&
      isEqual(lists.suspects, suspects);
    if (!isSame) {
      this.told = {...lists, revision: revision + 1};
    }
    return !isSame;
  }

  private lists(): Omit<Quarantine, 'revision'> {
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

  private forget(at: number): void {
    for (const [fingerprint, {moments}] of this.suspects) {
      if (at - Math.max(...moments) > SUSPICION_MS) {
        this.suspects.delete(fingerprint);
      }
    }
    for (const [fingerprint, since] of this.quarantined) {
      if (at - since > QUARANTINE_MS) {
        this.quarantined.delete(fingerprint);
        this.putOnTrial(fingerprint, at);
      }
    }
  }

  /** One more crash has a request quarantined again. */
  private putOnTrial(fingerprint: string, at: number): void {
    const moments = Array<number>(CRASHES_TO_QUARANTINE - 1).fill(at);
    this.suspects.set(fingerprint, {fingerprint, lives: [], moments});
  }
}

function isEqual(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((one, at) => one === b[at]);
}

function dropOldest(map: Map<string, unknown>, most: number): void {
  const [oldest] = map.keys();
  if (map.size > most && oldest !== undefined) {
    map.delete(oldest);
  }
}
