/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The versions at which streams can have begun that may still be resumed, as far as this edge
 * knows: those on the replicated list, and those that only its list of upstreams names.
 */
import type {RegisteredVersions, UpstreamRecord} from 'puffinturn-fleet';
import {
  UPSTREAM_STATE,
  upstreamVersion,
  VERSION_HOLD_MS,
  VersionAges,
} from 'puffinturn-fleet';
import type {Clock} from 'shared';

/** When a version of a service was among the upstreams, monotonic ms. */
interface VersionSpan {
  readonly firstSeenAt: number;
  lastSeenAt: number;
  /** Whether upstreams of this version are known now. */
  isPresent: boolean;
  /** Whether the version has been on the replicated list, which then decides. */
  wasRegistered: boolean;
}

/** Maximum number of versions kept for a service; more than are used at a time. */
const MAX_VERSIONS = 64;

type RegisteredUpstream = Pick<UpstreamRecord, 'service' | 'state' | 'version'>;

/** Knows the versions of services from the replicated list and from their upstreams. */
export class VersionHistory {
  private readonly services = new Map<string, Map<string, VersionSpan>>();
  private list: RegisteredVersions | undefined;
  private isConfirmed = false;
  /** When this edge learned of a version on the list, by its number, monotonic ms. */
  private readonly learnedAt = new Map<number, number>();
  private readonly ages: VersionAges;
  /** Numbers of versions that were the first of their service, which begin streams at once. */
  private readonly notHeld = new Set<number>();

  constructor(
    private readonly clock: Clock,
    /** How long a stream may be served and resumed, ms. */
    private readonly lifetimeMs: () => number,
    /** Called when a service that had one version gets another one. */
    private readonly onSeveral: (service: string) => void = () => undefined,
  ) {
    this.ages = new VersionAges(clock);
  }

  /** The replicated list; undefined before the first one. */
  get registered(): RegisteredVersions | undefined {
    return this.list;
  }

  /** Revision of the list from a control box; -Infinity if none has sent one yet. */
  get revision(): number {
    return this.isConfirmed ? (this.list?.revision ?? -Infinity) : -Infinity;
  }

  /** Applies a list from a control box, or from another edge, whose list may be old. */
  applyRegistered(update: RegisteredVersions, isFromControl: boolean): void {
    const isNewer = update.revision > (this.list?.revision ?? -Infinity);
    this.notifyOfSeveral(() => {
      this.isConfirmed ||= isFromControl;
      if (isNewer) {
        this.replaceList(update);
      }
    });
  }

  /**
   * Replaces the known records. Upstreams that are gone count as seen when they first
   * appear, as streams that they began may go on elsewhere.
   */
  update(records: readonly RegisteredUpstream[]): void {
    this.notifyOfSeveral(() => {
      this.endSpans();
      for (const record of records) {
        this.addRecord(record);
      }
    });
  }

  /** Whether streams of several versions may be resumed now; so if it is not known. */
  hasSeveral(service: string): boolean {
    return !this.isConfirmed || this.recentVersions(service).length > 1;
  }

  /** Versions at which streams that may still be resumed can have begun. */
  recentVersions(service: string): string[] {
    return [
      ...this.registeredVersions(service).map(({version}) => version),
      ...this.unregisteredVersions(service),
    ];
  }

  /** Versions that upstreams have or had lately, though the list never named them. */
  unregisteredVersions(service: string): string[] {
    const since = this.clock.now() - this.lifetimeMs();
    const versions: string[] = [];
    for (const [version, span] of this.services.get(service) ?? []) {
      const isRecent = span.isPresent || span.lastSeenAt > since;
      if (isRecent && !span.wasRegistered) {
        versions.push(version);
      }
    }
    return versions;
  }

  /** Time since this edge first heard of an upstream of a version, ms; 0 if it hasn't. */
  ageMs(service: string, version: string): number {
    const span = this.services.get(service)?.get(version);
    return span === undefined ? 0 : this.clock.now() - span.firstSeenAt;
  }

  /** Whether other versions of a service are on the list, and this one is not. */
  isUnregistered(service: string, version: string): boolean {
    const registered = this.registeredVersions(service);
    return (
      registered.length > 0 &&
      registered.every((known) => known.version !== version)
    );
  }

  /**
   * Time until a version may begin streams, ms: until then, other boxes may take a list
   * without it for complete. Infinity if only other versions are on the list.
   */
  holdLeftMs(service: string, version: string): number {
    if (this.isUnregistered(service, version)) {
      return Infinity;
    }
    const known = this.registeredVersions(service).find(
      (registered) => registered.version === version,
    );
    return known === undefined || this.notHeld.has(known.number)
      ? 0
      : Math.max(0, VERSION_HOLD_MS - this.ages.ageMs(known.number));
  }

  /** The only version of a service; undefined if there are others, none, or if unknown. */
  soleVersion(service: string): string | undefined {
    const [version, ...others] = this.recentVersions(service);
    return this.isConfirmed && others.length === 0 ? version : undefined;
  }

  /** The same if it is on the list; otherwise others may hold a list with another one. */
  soleRegisteredVersion(service: string): string | undefined {
    const sole = this.soleVersion(service);
    return this.registeredVersions(service).some(
      ({version}) => version === sole,
    )
      ? sole
      : undefined;
  }

  /** The list for another edge, with the ages of its versions. */
  get handedOver(): RegisteredVersions | undefined {
    return this.list && this.ages.withAges(this.list);
  }

  /**
   * The only version that a service had until another one was listed, if this edge learned
   * of that within the lifetime of a stream; undefined otherwise.
   */
  formerSoleVersion(service: string): string | undefined {
    const [oldest, second] = this.registeredVersions(service);
    const learnedAt = second && this.learnedAt.get(second.number);
    const isLately =
      learnedAt !== undefined &&
      this.clock.now() - learnedAt < this.lifetimeMs();
    const isCertain =
      this.isConfirmed && this.unregisteredVersions(service).length === 0;
    return isLately && isCertain ? oldest?.version : undefined;
  }

  private registeredVersions(name: string): RegisteredVersions['versions'] {
    return (this.list?.versions ?? []).filter(({service}) => service === name);
  }

  private replaceList(update: RegisteredVersions): void {
    // What the first list names may have been listed for any time.
    const now = this.list === undefined ? -Infinity : this.clock.now();
    const former = new Map(this.learnedAt);
    this.holdNew(update);
    this.list = update;
    this.learnedAt.clear();
    for (const {number, service, version} of update.versions) {
      this.learnedAt.set(number, former.get(number) ?? now);
      const span = this.services.get(service)?.get(version);
      if (span !== undefined) {
        span.wasRegistered = true;
      }
    }
  }

  /**
   * Holds versions that are new on the list. The first one of a service needs none: a list
   * without it names no version of the service, so nobody could take another one for the only.
   */
  private holdNew(update: RegisteredVersions): void {
    const {versions} = update;
    const formerNotHeld = new Set(this.notHeld);
    this.ages.note(update);
    this.notHeld.clear();
    for (const {number, service} of versions) {
      const isFirst =
        this.registeredVersions(service).length === 0 &&
        versions.find((known) => known.service === service)?.number === number;
      if (isFirst || formerNotHeld.has(number)) {
        this.notHeld.add(number);
      }
    }
  }

  /** Applies a change, and tells which services have several versions since. */
  private notifyOfSeveral(change: () => void): void {
    const hadOne = this.knownServices.filter(
      (service) => !this.hasSeveral(service),
    );
    change();
    for (const service of hadOne) {
      if (this.hasSeveral(service)) {
        this.onSeveral(service);
      }
    }
  }

  private get knownServices(): string[] {
    const listed = (this.list?.versions ?? []).map(({service}) => service);
    return [...new Set([...listed, ...this.services.keys()])];
  }

  /** Marks all present versions as last seen now. */
  private endSpans(): void {
    const now = this.clock.now();
    for (const spans of this.services.values()) {
      for (const span of spans.values()) {
        span.lastSeenAt = span.isPresent ? now : span.lastSeenAt;
        span.isPresent = false;
      }
    }
  }

  private addRecord(record: RegisteredUpstream): void {
    const {service, state} = record;
    if (service === '') {
      return;
    }
    const spans = this.services.get(service) ?? new Map<string, VersionSpan>();
    this.services.set(service, spans);
    const key = upstreamVersion(record);
    const isPresent = state !== UPSTREAM_STATE.gone;
    const span = spans.get(key);
    if (span === undefined) {
      const now = this.clock.now();
      spans.set(key, {
        firstSeenAt: now,
        isPresent,
        lastSeenAt: now,
        wasRegistered: this.registeredVersions(service).some(
          ({version}) => version === key,
        ),
      });
      dropOldest(spans);
    } else {
      span.isPresent ||= isPresent;
    }
  }
}

/** Forgets the version that was added first, if there are too many. */
function dropOldest(spans: Map<string, VersionSpan>): void {
  const [oldest] = spans.keys();
  if (spans.size > MAX_VERSIONS && oldest !== undefined) {
    spans.delete(oldest);
  }
}
