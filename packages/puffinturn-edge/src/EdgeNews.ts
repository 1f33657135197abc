/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Hands what control boxes tell on to an edge. */
import type {
  BoxRecord,
  ConfigurationChange,
  Evacuations,
  FleetConfiguration,
  Rollouts,
  UpstreamRecord,
} from 'puffinturn-fleet';
import {FleetNews} from 'puffinturn-fleet';
import type {Quarantine} from 'puffinturn-quarantine';

import type {Edge} from './Edge';

/** See the module comment. */
export class EdgeNews extends FleetNews {
  constructor(private readonly edge: Edge) {
    super();
  }

  override get configurationVersion(): number {
    return this.edge.configurationVersion;
  }

  override configuration(found: FleetConfiguration, source: string): void {
    this.edge.configure(found, source);
  }

  override configurationChange(
    change: ConfigurationChange,
    source: string,
  ): void {
    this.edge.change(change, source);
  }

  override get evacuationRevision(): number {
    return this.edge.pool.evacuations.revision;
  }

  override evacuations(found: Evacuations, source: string): void {
    this.edge.evacuate(found, source);
  }

  override get rolloutRevision(): number {
    return this.edge.rolloutRevision;
  }

  override rollouts(found: Rollouts, source: string): void {
    this.edge.rollOut(found, source);
  }

  override get quarantineRevision(): number {
    return this.edge.crashing.quarantine.revision;
  }

  override quarantine(found: Quarantine, source: string): void {
    this.edge.crashing.adopt(found, source);
  }

  override upstreams(records: readonly UpstreamRecord[], source: string): void {
    this.edge.pool.merge(records, source);
  }

  override boxes(records: readonly BoxRecord[]): void {
    this.edge.learnBoxes(records);
  }
}
