/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The versions that each service has had lately, as far as this edge knows. Streams that
 * began before the edge learned of a version may still be resumed.
 */
import type {UpstreamRecord} from 'puffinturn-fleet';
import {UPSTREAM_STATE, upstreamVersion} from 'puffinturn-fleet';
import type {Clock} from 'shared';

/** When a version of a service was registered, monotonic ms. */
interface VersionSpan {
  readonly firstSeenAt: number;
  lastSeenAt: number;
  /** Whether upstreams of this version are registered now. */
  isPresent: boolean;
}

/** Maximum number of versions kept for a service; more than are used at a time. */
const MAX_VERSIONS = 64;

type RegisteredUpstream = Pick<UpstreamRecord, 'service' | 'state' | 'version'>;

/** Records the versions of services from the records of their upstreams. */
export class VersionHistory {
  private readonly services = new Map<string, Map<string, VersionSpan>>();

  constructor(
    private readonly clock: Clock,
    /** How long a stream may be served and resumed, ms. */
    private readonly lifetimeMs: () => number,
    /** Called when a service that had one version gets another one. */
    private readonly onSeveral: (service: string) => void = () => undefined,
  ) {}

  /**
   * Replaces the known records. Upstreams that are gone count as seen when they first
   * appear, as streams that they began may go on elsewhere.
   */
  update(records: readonly RegisteredUpstream[]): void {
    const singleBefore = [...this.services.keys()].filter(
      (service) => !this.hasSeveral(service),
    );
    this.endSpans();
    for (const record of records) {
      this.addRecord(record);
    }
    for (const service of singleBefore) {
      if (this.hasSeveral(service)) {
        this.onSeveral(service);
      }
    }
  }

  /** Whether streams of several versions may be resumed now. */
  hasSeveral(service: string): boolean {
    return this.recentVersions(service).length > 1;
  }

  /** Versions at which streams that may still be resumed can have begun. */
  recentVersions(service: string): string[] {
    const since = this.clock.now() - this.lifetimeMs();
    const versions: string[] = [];
    for (const [version, span] of this.services.get(service) ?? []) {
      if (span.isPresent || span.lastSeenAt > since) {
        versions.push(version);
      }
    }
    return versions;
  }

  /** Time since this edge first heard of a version of a service, ms; 0 if it hasn't. */
  ageMs(service: string, version: string): number {
    const span = this.services.get(service)?.get(version);
    return span === undefined ? 0 : this.clock.now() - span.firstSeenAt;
  }

  /** The only recent version of a service; undefined if there are several or none. */
  soleVersion(service: string): string | undefined {
    const [version, ...others] = this.recentVersions(service);
    return others.length === 0 ? version : undefined;
  }

  /**
   * The only version that a service had until another one appeared, if that was within
   * the lifetime of a stream; undefined otherwise.
   */
  formerSoleVersion(service: string): string | undefined {
    const now = this.clock.now();
    const earliest = now - 2 * this.lifetimeMs();
    const spans = [...(this.services.get(service) ?? [])].filter(
      ([, {isPresent, lastSeenAt}]) => isPresent || lastSeenAt > earliest,
    );
    const [[version, span] = [], [, nextSpan] = []] = spans.sort(
      ([, a], [, b]) => a.firstSeenAt - b.firstSeenAt,
    );
    const hasPrecededOthers =
      span !== undefined &&
      nextSpan !== undefined &&
      span.firstSeenAt < nextSpan.firstSeenAt;
    return hasPrecededOthers && now - nextSpan.firstSeenAt < this.lifetimeMs()
      ? version
      : undefined;
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
      spans.set(key, {firstSeenAt: now, isPresent, lastSeenAt: now});
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
