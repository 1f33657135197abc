/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * What one box knows of requests that crash upstreams: those that the others have
 * quarantined, and those that the box's own crashes suffice for, also while nobody
 * else can be reached. What was seen here waits until it has been told; told twice, it
 * counts once.
 */
import {LRUCache} from 'lru-cache';
import type {Clock} from 'shared';

import type {Crash, CrashReport, Quarantine} from './CrashRegister';
import {CrashRegister} from './CrashRegister';
import {
  CRASHES_TO_QUARANTINE,
  MAX_ANSWERED,
  MAX_UNTOLD,
  SUSPECTED_MS,
  SUSPICION_MS,
} from './QuarantineConstants';

interface SeenCrash {
  readonly crash: Crash;
  /** When it was noticed, monotonic ms. */
  readonly at: number;
}

/** What has not been told yet. */
export interface Untold {
  readonly crashes: readonly SeenCrash[];
  readonly answered: readonly string[];
}

/** See the module comment. */
export class CrashEvidence {
  /** Crashes seen here, until the requests that were there get a whole answer. */
  private readonly own = new CrashRegister();
  /**
   * When requests got a whole answer here, monotonic ms. One that was answered does not
   * crash what runs it, however many crashes it is at.
   */
  private readonly answeredAt = new LRUCache<string, number>({
    max: MAX_ANSWERED,
  });
  /** Until when they are looked out for, monotonic ms. */
  private suspectedUntil = -Infinity;
  private quarantined: ReadonlySet<string> = new Set();
  /**
   * Requests that the others suspect: any box that serves one clears it, as those that
   * were at its crashes may have started anew since.
   */
  private suspectedByOthers = new Set<string>();
  private crashes: SeenCrash[] = [];
  private answered: string[] = [];

  constructor(private readonly clock: Clock) {}

  /** Whether no request is quarantined or suspected, so that none need be looked up. */
  get isEmpty(): boolean {
    return (
      this.quarantined.size === 0 &&
      this.suspectedByOthers.size === 0 &&
      this.own.quarantine.fingerprints.length === 0 &&
      this.clock.now() >= this.suspectedUntil
    );
  }

  /** The requests that the others have quarantined. */
  get fingerprints(): readonly string[] {
    return [...this.quarantined];
  }

  /** What has not been told yet; undefined where there is nothing. */
  get untold(): Untold | undefined {
    const {answered, crashes} = this;
    const isEmpty = answered.length === 0 && crashes.length === 0;
    return isEmpty ? undefined : {answered, crashes};
  }

  /** Whether a request must not be run. */
  isQuarantined(fingerprint: string): boolean {
    this.own.expire(this.clock.wallTime());
    return (
      this.quarantined.has(fingerprint) || this.own.isQuarantined(fingerprint)
    );
  }

  /** Whether one more crash would have a request quarantined. */
  isLastTry(fingerprint: string): boolean {
    return (
      this.suspectedByOthers.has(fingerprint) ||
      this.own.crashesOf(fingerprint) >= CRASHES_TO_QUARANTINE - 1
    );
  }

  /** Takes over what the others have quarantined, and whom they suspect. */
  adopt({fingerprints, suspects}: Omit<Quarantine, 'revision'>): void {
    const former = this.quarantined;
    this.quarantined = new Set(fingerprints);
    this.suspectedByOthers = new Set(suspects);
    for (const fingerprint of former) {
      if (!this.quarantined.has(fingerprint)) {
        this.own.release(fingerprint);
      }
    }
  }

  /** Notes a crash and which requests of this box were there. */
  crashed({fingerprints, life}: Crash): void {
    const {clock} = this;
    const crash: Crash = {
      fingerprints: fingerprints.filter((one) => !this.wasAnswered(one)),
      life,
    };
    if (crash.fingerprints.length === 0) {
      return;
    }
    this.suspectedUntil = clock.now() + SUSPECTED_MS;
    const report = {answered: [], crashes: [{...crash, agoMs: 0}]};
    this.own.report(report, clock.wallTime());
    const seen = {at: clock.now(), crash};
    this.crashes = [...this.crashes, seen].slice(-MAX_UNTOLD);
  }

  /**
   * Notes that a request got a whole answer: it does not crash what runs it. True
   * where others have to hear of it.
   */
  served(fingerprint: string): boolean {
    this.answeredAt.set(fingerprint, this.clock.now());
    const isKnownHere = this.own.holds(fingerprint);
    const isKnownElsewhere = this.suspectedByOthers.delete(fingerprint);
    if (!isKnownHere && !isKnownElsewhere) {
      return false;
    }
    this.own.release(fingerprint);
    this.crashes = this.crashes.map(({at, crash}) => ({
      at,
      crash: {
        fingerprints: crash.fingerprints.filter((one) => one !== fingerprint),
        life: crash.life,
      },
    }));
    this.answered = [...this.answered, fingerprint].slice(-MAX_UNTOLD);
    return true;
  }

  private wasAnswered(fingerprint: string): boolean {
    const at = this.answeredAt.get(fingerprint) ?? -Infinity;
    return this.clock.now() - at < SUSPICION_MS;
  }

  /** What is told of all that has not been told. */
  reportOf({answered, crashes}: Untold): CrashReport {
    const now = this.clock.now();
    return {
      answered,
      crashes: crashes.map(({at, crash}) => ({...crash, agoMs: now - at})),
    };
  }

  /** Notes that something has been told. */
  told({answered, crashes}: Untold): void {
    this.crashes = this.crashes.filter((seen) => !crashes.includes(seen));
    this.answered = this.answered.filter((one) => !answered.includes(one));
  }
}
