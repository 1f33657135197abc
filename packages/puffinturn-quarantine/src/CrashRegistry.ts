/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Tracks what was in flight when upstreams crashed: requests, by their fingerprints, and
 * parts of prompts that no answer had begun with. Quarantines it after three crashes that
 * were not all simultaneous, and a part with which an answer had begun before after four.
 * What is quarantined is not run for some time. A complete
 * response clears a request, so that crashes with another cause don't quarantine requests
 * that succeed. The first event of an answer clears the parts of its prompt, but only of
 * the crashes before it, as a part may turn harmful later.
 *
 * The state is deterministic: it depends only on the reports, their order and the times
 * passed with them. Replicas that apply the same reports have the same state.
 */
import {isPartFeature, teamFeaturePrefix} from './PartFeatures';
import {
  CRASHES_TO_QUARANTINE,
  CRASHES_TO_QUARANTINE_ANSWERED_PART,
  MAX_EVIDENCE,
  MAX_INCARNATIONS_PER_SUSPECT,
  MAX_QUARANTINED,
  MAX_SIMULTANEOUS_CRASHES,
  MAX_SUSPECTS,
  MIN_TEAMS_FOR_ALL,
  PART_CONFIRMATION_MS,
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
  /**
   * Features of the prompt parts of requests without an answer so far; omitted by older
   * software versions.
   */
  readonly parts?: readonly string[] | undefined;
}

/** A crash with its age, as sent in a report. */
export interface ReportedCrash extends Crash {
  /** Time since the crash was detected, ms. */
  readonly agoMs: number;
}

/** An answer to a request, or one that began with a prompt part, as sent in a report. */
export interface Answer {
  /** Fingerprint of the request, or feature of the part. */
  readonly feature: string;
  /** Time since the end of the response, or since the first event of the answer, ms. */
  readonly agoMs: number;
}

/** The crashes and successes that a box observed since its last report. */
export interface CrashReport {
  readonly crashes: readonly ReportedCrash[];
  /** Fingerprints of requests that got a complete response while they were suspects. */
  readonly answered: readonly string[];
  /** Suspect or quarantined parts and requests that got an answer, and how long ago. */
  readonly answeredParts?: readonly Answer[] | undefined;
  /** Entries that an operator has released. */
  readonly released?: readonly string[] | undefined;
}

/** An empty report. */
export const EMPTY_CRASH_REPORT: CrashReport = {answered: [], crashes: []};

/** One revision of the quarantined requests and the suspects. */
export interface Quarantine {
  /** Increases by 1 with each change; 0 before the first one. */
  readonly revision: number;
  /** Fingerprints of quarantined requests, and features of quarantined parts. */
  readonly fingerprints: readonly string[];
  /** Fingerprints and features that one more crash would quarantine. */
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
  /** Times of the counted crashes, Unix ms; for parts, one for each incarnation. */
  readonly moments: readonly number[];
  /** When its second crash was reported, Unix ms; only for parts. */
  readonly listedAt?: number | undefined;
  /** Whether an answer had begun with it before these crashes; only for parts. */
  readonly wasAnswered?: boolean | undefined;
}

/** A quarantined request or prompt part, and the evidence. */
export interface QuarantineEntry {
  readonly fingerprint: string;
  /** Start of the quarantine, Unix ms. */
  readonly since: number;
  /** Incarnations that crashed; unknown after an import or an older snapshot. */
  readonly lives?: readonly string[] | undefined;
  /** Time of the first of the counted crashes, Unix ms; only for requests. */
  readonly firstCrashAt?: number | undefined;
  /** Times of the crashes of `lives`, Unix ms; only for parts. */
  readonly moments?: readonly number[] | undefined;
}

/** Crashes that count for a part: incarnations, and the time of each, Unix ms. */
interface PartCrashes {
  readonly lives: readonly string[];
  readonly moments: readonly number[];
}

/** The state as stored in a snapshot. */
export interface CrashSnapshot {
  readonly revision: number;
  readonly suspects: readonly Suspect[];
  readonly quarantined: readonly QuarantineEntry[];
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
  /** Quarantined entries by fingerprint; the oldest first. */
  private readonly quarantined = new Map<string, QuarantineEntry>();
  /** The current revision for other boxes. */
  private published = EMPTY_QUARANTINE;

  /** The quarantined requests and the suspects. */
  get quarantine(): Quarantine {
    return this.published;
  }

  /** All quarantined requests and parts, with their evidence. */
  get entries(): readonly QuarantineEntry[] {
    return [...this.quarantined.values()];
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
   * Ends the quarantines that have expired, and begins those of parts that nothing has
   * cleared, at the given time, Unix ms. Returns whether the quarantine changed.
   */
  update(at: number): boolean {
    return this.isUpdateDue(at) && this.applyReport(EMPTY_CRASH_REPORT, at);
  }

  /**
   * Applies a report that arrived at the given time, Unix ms. Returns whether the
   * quarantine changed.
   */
  applyReport(
    {answered, answeredParts = [], crashes, released = []}: CrashReport,
    at: number,
  ): boolean {
    this.removeExpired(at);
    for (const fingerprint of answered) {
      // Boxes report answers to what they suspect, so this one came after a counted crash.
      this.remove(fingerprint);
    }
    for (const {agoMs, fingerprints, life, parts = []} of crashes) {
      for (const fingerprint of [...fingerprints, ...parts]) {
        this.recordCrash(fingerprint, life, at - agoMs, at);
      }
    }
    for (const answer of answeredParts) {
      this.clear(answer, at);
    }
    for (const fingerprint of released) {
      this.remove(fingerprint);
    }
    this.quarantineProvenParts(at);
    return this.publishChanges();
  }

  /** Whether a report of an answer would change anything. */
  wouldClear({agoMs, feature}: Answer, at: number): boolean {
    if (!isPartFeature(feature)) {
      return this.disprovesCrashes(feature, at - agoMs);
    }
    const entry = this.quarantined.get(feature);
    const suspect = this.suspects.get(feature);
    const isFirstAnswer = suspect !== undefined && suspect.wasAnswered !== true;
    const moments = suspect?.moments ?? [];
    const answeredAt = at - agoMs;
    return (
      (entry !== undefined && isDisproved(entry, answeredAt)) ||
      isFirstAnswer ||
      moments.some((moment) => moment <= answeredAt)
    );
  }

  /** Quarantines requests that are quarantined in another registry. */
  addQuarantined(fingerprints: readonly string[], at: number): void {
    for (const fingerprint of fingerprints) {
      if (!this.quarantined.has(fingerprint)) {
        this.addToQuarantine({fingerprint, lives: []}, at);
      }
    }
    this.publishChanges();
  }

  /** Removes a request from the suspects and the quarantine. */
  release(fingerprint: string): void {
    this.remove(fingerprint);
    this.publishChanges();
  }

  /** Whether `update` would change the quarantine at the given time, Unix ms. */
  isUpdateDue(at: number): boolean {
    const [oldest] = this.quarantined.values();
    const hasExpired =
      at - (oldest?.since ?? Infinity) > QUARANTINE_DURATION_MS;
    return hasExpired || this.provenParts(at).length > 0;
  }

  /** Whether parts are suspects that may have to be quarantined soon. */
  get hasSuspectParts(): boolean {
    return this.published.suspects.some(isPartFeature);
  }

  /** Returns the state for a snapshot. */
  snapshot(): CrashSnapshot {
    return {
      quarantined: this.entries,
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
    for (const entry of quarantined) {
      this.quarantined.set(entry.fingerprint, entry);
    }
    this.published = {...this.buildLists(), revision};
  }

  /**
   * Records a crash of an incarnation that has not been reported for this request or part
   * yet. The crash is not counted if too many were simultaneous.
   */
  private recordCrash(
    fingerprint: string,
    incarnation: string,
    at: number,
    reportedAt: number,
  ): void {
    const entry = this.quarantined.get(fingerprint);
    if (entry !== undefined) {
      this.addEvidence(entry, incarnation, at);
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
    if (isPartFeature(fingerprint)) {
      if (isCounted) {
        this.recordPartCrash(fingerprint, incarnation, at, reportedAt);
      }
      return;
    }
    const suspect: Suspect = {
      fingerprint,
      lives: [...lives, incarnation].slice(-MAX_INCARNATIONS_PER_SUSPECT),
      moments: isCounted ? [...moments, at] : moments,
    };
    this.suspects.delete(fingerprint);
    if (suspect.moments.length >= CRASHES_TO_QUARANTINE) {
      const firstCrashAt = Math.min(...suspect.moments);
      this.addToQuarantine({...suspect, firstCrashAt}, at);
    } else {
      this.suspects.set(fingerprint, suspect);
      evictOldest(this.suspects, MAX_SUSPECTS);
    }
  }

  private recordPartCrash(
    feature: string,
    incarnation: string,
    at: number,
    reportedAt: number,
  ): void {
    const existing = this.suspects.get(feature);
    const {lives = [], moments = []} = existing ?? {};
    const isListed = moments.length + 1 >= CRASHES_TO_QUARANTINE - 1;
    const listedAt = existing?.listedAt ?? (isListed ? reportedAt : undefined);
    this.suspects.delete(feature);
    this.suspects.set(feature, {
      fingerprint: feature,
      lives: [...lives, incarnation].slice(-MAX_INCARNATIONS_PER_SUSPECT),
      listedAt,
      moments: [...moments, at].slice(-MAX_INCARNATIONS_PER_SUSPECT),
      wasAnswered: existing?.wasAnswered,
    });
    evictOldest(this.suspects, MAX_SUSPECTS);
  }

  /** Adds a crash to what a quarantined entry explains. */
  private addEvidence(
    entry: QuarantineEntry,
    incarnation: string,
    at: number,
  ): void {
    const {fingerprint, lives = [], moments} = entry;
    if (!lives.includes(incarnation)) {
      this.quarantined.set(fingerprint, {
        ...entry,
        lives: [...lives, incarnation].slice(-MAX_EVIDENCE),
        moments: moments && [...moments, at].slice(-MAX_EVIDENCE),
      });
    }
  }

  private remove(fingerprint: string): void {
    this.suspects.delete(fingerprint);
    this.quarantined.delete(fingerprint);
  }

  /** Clears a request or a part after an answer. */
  private clear({agoMs, feature}: Answer, at: number): void {
    const answeredAt = at - agoMs;
    if (isPartFeature(feature)) {
      this.clearPart(feature, answeredAt);
    } else if (this.disprovesCrashes(feature, answeredAt)) {
      this.remove(feature);
    }
  }

  /**
   * Whether a request got a complete response after a crash that counts for it, so that it
   * was there by chance. One before it says nothing of an upstream that was replaced since.
   */
  private disprovesCrashes(fingerprint: string, answeredAt: number): boolean {
    const entry = this.quarantined.get(fingerprint);
    const quarantinedAt = entry?.firstCrashAt ?? entry?.since ?? Infinity;
    const moments = this.suspects.get(fingerprint)?.moments ?? [];
    return answeredAt > Math.min(quarantinedAt, ...moments);
  }

  /** Clears a part of the crashes before an answer began with it. */
  private clearPart(feature: string, answeredAt: number): void {
    const entry = this.quarantined.get(feature);
    if (entry !== undefined && isDisproved(entry, answeredAt)) {
      this.quarantined.delete(feature);
      this.keepAsSuspect(entry, entry.since, answeredAt);
    }
    const suspect = this.suspects.get(feature);
    if (suspect !== undefined) {
      this.keepAsSuspect(suspect, suspect.listedAt, answeredAt);
    }
  }

  /** Keeps a part as a suspect for its crashes after an answer; drops it without any. */
  private keepAsSuspect(
    part: Pick<QuarantineEntry, 'fingerprint' | 'lives' | 'moments'>,
    listedAt: number | undefined,
    answeredAt: number,
  ): void {
    const {fingerprint} = part;
    const {lives, moments} = crashesAfter(part, answeredAt);
    if (moments.length === 0) {
      this.suspects.delete(fingerprint);
      return;
    }
    const isListed = moments.length >= CRASHES_TO_QUARANTINE - 1;
    this.suspects.set(fingerprint, {
      fingerprint,
      lives,
      listedAt: isListed ? listedAt : undefined,
      moments,
      wasAnswered: true,
    });
  }

  /**
   * Quarantines the parts that the crashes prove to be harmful, the likeliest first. Each
   * explains its crashes, so that parts which were only there beside it stay suspects.
   */
  private quarantineProvenParts(at: number): void {
    for (;;) {
      const likeliest = this.provenParts(at)[0];
      if (likeliest === undefined) {
        return;
      }
      this.suspects.delete(likeliest.fingerprint);
      this.addToQuarantine(likeliest, Math.max(...likeliest.moments));
    }
  }

  /**
   * Parts with enough crashes that nothing has cleared within the confirmation time and no
   * quarantined entry explains; the likeliest first. An answer had never begun with a
   * harmful part. Of equal ones, the last of a prompt is shared by the fewest requests.
   */
  private provenParts(at: number): Suspect[] {
    const proven: Suspect[] = [];
    for (const suspect of this.suspects.values()) {
      const {fingerprint, listedAt = Infinity} = suspect;
      if (
        at - listedAt >= PART_CONFIRMATION_MS &&
        this.countUnexplained(suspect) >= crashesToQuarantine(suspect) &&
        this.concernsEnoughTeams(fingerprint)
      ) {
        proven.unshift(suspect);
      }
    }
    return proven.sort((a, b) => {
      const byAnswers = Number(!!a.wasAnswered) - Number(!!b.wasAnswered);
      const byCrashes = this.countUnexplained(b) - this.countUnexplained(a);
      return (
        byAnswers || byCrashes || Number(isForAll(b)) - Number(isForAll(a))
      );
    });
  }

  /** Crashes of a part at which nothing was there that is quarantined. */
  private countUnexplained({fingerprint, lives}: Suspect): number {
    if (this.quarantined.size === 0) {
      return lives.length;
    }
    const ownPrefix = teamFeaturePrefix(fingerprint);
    const others = [...this.quarantined.values()].filter(
      (entry) =>
        ownPrefix === undefined || !entry.fingerprint.startsWith(ownPrefix),
    );
    const explained = new Set(others.flatMap((entry) => entry.lives ?? []));
    return lives.filter((life) => !explained.has(life)).length;
  }

  /** Whether a part is that of a single team, or has crashes of several teams. */
  private concernsEnoughTeams(feature: string): boolean {
    const prefix = teamFeaturePrefix(feature);
    if (prefix === undefined) {
      return true;
    }
    const features = [...this.suspects.keys(), ...this.quarantined.keys()];
    const teams = features.filter((other) => other.startsWith(prefix));
    return teams.length >= MIN_TEAMS_FOR_ALL;
  }

  private addToQuarantine(
    {firstCrashAt, fingerprint, lives, moments}: Omit<QuarantineEntry, 'since'>,
    since: number,
  ): void {
    this.quarantined.set(fingerprint, {
      fingerprint,
      firstCrashAt,
      lives,
      moments: isPartFeature(fingerprint) ? moments : undefined,
      since,
    });
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
    for (const [fingerprint, {since}] of this.quarantined) {
      if (at - since > QUARANTINE_DURATION_MS) {
        this.quarantined.delete(fingerprint);
        this.addToProbation(fingerprint, at);
      }
    }
  }

  /** Makes a released request a suspect that one more crash quarantines again. */
  private addToProbation(fingerprint: string, at: number): void {
    const moments = Array<number>(CRASHES_TO_QUARANTINE - 1).fill(at);
    if (isPartFeature(fingerprint)) {
      const lives = moments.map((_, index) => `${fingerprint} ${index}`);
      this.suspects.set(fingerprint, {
        fingerprint,
        lives,
        listedAt: at,
        moments,
      });
    } else {
      this.suspects.set(fingerprint, {fingerprint, lives: [], moments});
    }
  }
}

/** The crashes of a part after an answer had begun with it. */
function crashesAfter(
  {lives = [], moments = []}: Partial<PartCrashes>,
  answeredAt: number,
): PartCrashes {
  const kept = moments
    .map((at, index) => ({at, life: lives[index] ?? ''}))
    .filter(({at}) => at > answeredAt);
  return {
    lives: kept.map(({life}) => life),
    moments: kept.map(({at}) => at),
  };
}

/**
 * Whether a part would not be quarantined had its answer been reported in time: it began
 * after the quarantine, or after so many of the crashes that too few are left.
 */
function isDisproved(
  {lives = [], moments = [], since}: QuarantineEntry,
  answeredAt: number,
): boolean {
  const kept = crashesAfter({lives, moments}, answeredAt).moments.length;
  const hasCleared = kept < moments.length;
  return answeredAt > since || (hasCleared && kept < CRASHES_TO_QUARANTINE);
}

function crashesToQuarantine({wasAnswered}: Suspect): number {
  return wasAnswered === true
    ? CRASHES_TO_QUARANTINE_ANSWERED_PART
    : CRASHES_TO_QUARANTINE;
}

function isForAll({fingerprint}: Suspect): boolean {
  return teamFeaturePrefix(fingerprint) !== undefined;
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

/** Omits an empty optional field of a report. */
export function undefinedIfEmpty<Item>(
  items: readonly Item[],
): readonly Item[] | undefined {
  return items.length === 0 ? undefined : items;
}
