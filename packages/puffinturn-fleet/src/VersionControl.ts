/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Keeps the replicated list of versions in step with the upstreams that a control box knows. A
 * version is stored before its upstreams are used, and removed once no stream of it is left.
 */
import {TaskGroup} from 'shared';

import type {AddVersionReply, AddVersionRequest} from './FleetMessages';
import {FLEET_SERVICE} from './FleetMessages';
import {upstreamVersion} from './ServiceUpstreams';
import type {StateControlParts} from './StateControlParts';
import type {UpstreamRecord, UpstreamTable} from './UpstreamTable';
import {UPSTREAM_STATE} from './UpstreamTable';
import type {RegisteredVersion} from './VersionRegistry';

/** Interval at which the leader compares the list with its upstreams, ms. */
const CHECK_INTERVAL_MS = 1_000;

/** Time limit for storing a version, ms; the upstream is used after it without that. */
const STORE_TIMEOUT_MS = 800;

/** Dependencies of a VersionControl. */
export interface VersionControlParts extends StateControlParts {
  readonly upstreams: UpstreamTable;
}

/** Stores and removes versions. */
export class VersionControl implements AsyncDisposable {
  private readonly handler: Disposable;
  private readonly tasks = new TaskGroup();
  /** Versions that are being stored, by service and version. */
  private readonly pending = new Map<string, Promise<void>>();
  /** Since when the leader has known no upstream of a version, by its number, ms. */
  private readonly absentSince = new Map<number, number>();

  constructor(private readonly parts: VersionControlParts) {
    this.handler = parts.link.register(FLEET_SERVICE.addVersion, (body) =>
      this.addAsLeader(body as AddVersionRequest),
    );
    this.tasks.start((signal) => this.run(signal));
  }

  /**
   * Stores the version of an upstream unless it is stored. Resolves also if that fails, as
   * without a quorum; the leader then stores it later.
   */
  async ensureStored(record: UpstreamRecord): Promise<void> {
    const request = {service: record.service, version: upstreamVersion(record)};
    if (this.isStored(request)) {
      return;
    }
    const key = keyOf(record);
    const pending =
      this.pending.get(key) ??
      this.store(request).finally(() => this.pending.delete(key));
    this.pending.set(key, pending);
    await pending;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.handler[Symbol.dispose]();
    await this.tasks[Symbol.asyncDispose]();
  }

  /** Whether the version of an upstream is stored here, or the upstream has no service. */
  private isStored({service, version}: AddVersionRequest): boolean {
    return service === '' || this.parts.machine.versions.has(service, version);
  }

  private async store(request: AddVersionRequest): Promise<void> {
    await this.parts.leader.runOnLeader<AddVersionReply>(
      FLEET_SERVICE.addVersion,
      request,
      {stored: false},
      () => this.addAsLeader(request),
      STORE_TIMEOUT_MS,
    );
  }

  private async addAsLeader(
    request: AddVersionRequest,
  ): Promise<AddVersionReply> {
    if (this.isStored(request)) {
      return {stored: true};
    }
    const {service, version} = request;
    const outcome = await this.parts.leader.propose(
      {kind: 'version-added', service, version},
      STORE_TIMEOUT_MS,
    );
    const detail = outcome.isOk() ? 'added' : outcome.error.kind;
    this.logVersion(service, version, detail);
    return {stored: outcome.isOk()};
  }

  private async run(signal: AbortSignal): Promise<void> {
    const {clock, replica} = this.parts;
    while (!signal.aborted) {
      await clock.sleep(CHECK_INTERVAL_MS, signal);
      if (!signal.aborted && replica.isLeader) {
        await this.addMissing();
        await this.removeAbsent();
      } else {
        this.absentSince.clear();
      }
    }
  }

  private async addMissing(): Promise<void> {
    for (const record of this.presentUpstreams) {
      await this.ensureStored(record);
    }
  }

  /** Removes versions that had no upstream for as long as their streams may last. */
  private async removeAbsent(): Promise<void> {
    const {clock, leader, machine} = this.parts;
    const present = new Set(this.presentUpstreams.map(keyOf));
    for (const known of machine.versions.registered.versions) {
      const {number, service, version} = known;
      if (present.has(keyOf(known))) {
        this.absentSince.delete(number);
        continue;
      }
      const since = this.absentSince.get(number) ?? clock.now();
      this.absentSince.set(number, since);
      if (clock.now() - since >= machine.streamLifetimeMs) {
        const outcome = await leader.propose({kind: 'version-removed', number});
        const detail = outcome.isOk() ? 'removed' : outcome.error.kind;
        this.logVersion(service, version, detail);
        if (outcome.isOk()) {
          this.absentSince.delete(number);
        }
      }
    }
  }

  private get presentUpstreams(): UpstreamRecord[] {
    return this.parts.upstreams
      .records()
      .filter(({state}) => state !== UPSTREAM_STATE.gone);
  }

  private logVersion(service: string, version: string, outcome: string): void {
    this.parts.log.note({event: 'version-decided', outcome, service, version});
  }
}

function keyOf(
  record: Pick<RegisteredVersion, 'service'> & Pick<UpstreamRecord, 'version'>,
): string {
  return JSON.stringify([record.service, upstreamVersion(record)]);
}
