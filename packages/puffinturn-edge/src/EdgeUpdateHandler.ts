/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Applies updates from control boxes to an edge. */
import type {
  BoxRecord,
  ConfigurationChange,
  ConfigurationOrigin,
  Evacuations,
  FleetConfiguration,
  RegisteredVersions,
  Rollouts,
  UpstreamRecord,
} from 'puffinturn-fleet';
import {FleetUpdateHandler} from 'puffinturn-fleet';
import type {Quarantine} from 'puffinturn-quarantine';

import type {Edge} from './Edge';

/** Adapts an edge to the interface for fleet updates. */
export class EdgeUpdateHandler extends FleetUpdateHandler {
  constructor(private readonly edge: Edge) {
    super();
  }

  override get configurationVersion(): number {
    return this.edge.baseVersion;
  }

  override onConfiguration(
    configuration: FleetConfiguration,
    origin: ConfigurationOrigin,
  ): void {
    this.edge.applyConfiguration(configuration, origin);
  }

  override onConfigurationChange(
    change: ConfigurationChange,
    origin: ConfigurationOrigin,
  ): void {
    this.edge.applyConfigurationChange(change, origin);
  }

  override get evacuationRevision(): number {
    return this.edge.pool.evacuations.revision;
  }

  override onEvacuations(evacuations: Evacuations, source: string): void {
    this.edge.applyEvacuations(evacuations, source);
  }

  override get rolloutRevision(): number {
    return this.edge.rolloutRevision;
  }

  override onRollouts(rollouts: Rollouts, source: string): void {
    this.edge.applyRollouts(rollouts, source);
  }

  override get quarantineRevision(): number {
    return this.edge.quarantine.current.revision;
  }

  override onQuarantine(quarantine: Quarantine, source: string): void {
    this.edge.quarantine.adopt(quarantine, source);
  }

  override get versionsRevision(): number {
    return this.edge.pool.versions.revision;
  }

  override onVersions(update: RegisteredVersions): void {
    this.edge.applyVersions(update);
  }

  override onUpstreams(
    records: readonly UpstreamRecord[],
    source: string,
  ): void {
    this.edge.pool.merge(records, source);
  }

  override onBoxes(records: readonly BoxRecord[]): void {
    this.edge.updateBoxes(records);
  }
}
