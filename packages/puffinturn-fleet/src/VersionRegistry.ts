/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Replicated list of the versions that each service has, or had so lately that streams which
 * began there may still be resumed. It outlives the memory of all boxes.
 */

/** A version of a service. */
export interface RegisteredVersion {
  readonly service: string;
  /** Empty if its upstreams name none. */
  readonly version: string;
  /** Increases with each version that is added to any service. */
  readonly number: number;
  /**
   * For how long it has been on the list, at the least, ms; only in messages, and omitted by
   * older software versions.
   */
  readonly ageMs?: number | undefined;
}

/** All registered versions at one revision; those added first come first. */
export interface RegisteredVersions {
  /** Increases with each change; 0 before the first one. */
  readonly revision: number;
  readonly versions: readonly RegisteredVersion[];
}

/** Log record: a service has a version; idempotent. */
export interface VersionAddedRecord {
  readonly kind: 'version-added';
  readonly service: string;
  readonly version: string;
}

/** Log record: no stream of a version can be resumed any more; idempotent. */
export interface VersionRemovedRecord {
  readonly kind: 'version-removed';
  readonly number: number;
}

/** Any record of the registry. */
export type VersionRecord = VersionAddedRecord | VersionRemovedRecord;

/** Result of applying a VersionRecord. */
export interface VersionRecordOutcome {
  readonly kind: 'version';
}

/** State of the registry in a snapshot. */
export interface VersionSnapshot extends RegisteredVersions {
  readonly lastNumber: number;
}

/** The empty state; also used for snapshots that predate the registry. */
export const EMPTY_VERSION_SNAPSHOT: VersionSnapshot = {
  lastNumber: 0,
  revision: 0,
  versions: [],
};

/** Maximum number of versions of all services; the oldest is dropped first. */
const MAX_VERSIONS = 1_024;

/** The versions of all services. */
export class VersionRegistry {
  private state = EMPTY_VERSION_SNAPSHOT;

  /** `onChange` is called after every change. */
  constructor(private readonly onChange: () => void) {}

  /** The state that is sent to boxes. */
  get registered(): RegisteredVersions {
    return this.state;
  }

  /** The highest number of any version so far. */
  get lastNumber(): number {
    return this.state.lastNumber;
  }

  /** The versions of one service; the one added first comes first. */
  ofService(name: string): readonly RegisteredVersion[] {
    return this.state.versions.filter(({service}) => service === name);
  }

  /** Whether a version of a service is registered. */
  has(service: string, version: string): boolean {
    return this.ofService(service).some((known) => known.version === version);
  }

  /** Applies a record of the log. */
  apply(record: VersionRecord): VersionRecordOutcome {
    if (record.kind === 'version-added') {
      this.add(record);
    } else {
      this.remove(record);
    }
    return {kind: 'version'};
  }

  /** Returns the state for a snapshot. */
  snapshot(): VersionSnapshot {
    return this.state;
  }

  /** Replaces the state by that of a snapshot. */
  restore(snapshot: VersionSnapshot): void {
    this.state = snapshot;
  }

  private add({service, version}: VersionAddedRecord): void {
    if (this.has(service, version)) {
      return;
    }
    const number = this.state.lastNumber + 1;
    const versions = [...this.state.versions, {number, service, version}];
    this.change(versions.slice(-MAX_VERSIONS), number);
  }

  private remove({number}: VersionRemovedRecord): void {
    const {lastNumber, versions} = this.state;
    const kept = versions.filter((version) => version.number !== number);
    if (kept.length < versions.length) {
      this.change(kept, lastNumber);
    }
  }

  private change(
    versions: readonly RegisteredVersion[],
    lastNumber: number,
  ): void {
    this.state = {lastNumber, revision: this.state.revision + 1, versions};
    this.onChange();
  }
}
