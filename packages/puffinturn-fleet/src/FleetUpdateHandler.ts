/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** What a FleetWatch hands its updates to. */
import type {Quarantine} from 'puffinturn-quarantine';

import type {FleetConfiguration} from './Configuration';
import type {ConfigurationChange} from './ConfigurationChange';
import type {Evacuations} from './Evacuations';
import type {BoxRecord} from './FleetMessages';
import type {Rollouts} from './Rollouts';
import type {UpstreamRecord} from './UpstreamTable';
import type {RegisteredVersions} from './VersionRegistry';

/** Where a configuration came from. */
export interface ConfigurationOrigin {
  readonly box: string;
  /** Longest time for which that box may have had it, ms; undefined if it doesn't tell. */
  readonly delayMs?: number | undefined;
}

/** Receives the updates of a FleetWatch. */
export abstract class FleetUpdateHandler {
  /** Version on which a difference may be based; -Infinity to get a configuration in full. */
  abstract get configurationVersion(): number;
  abstract onConfiguration(
    update: FleetConfiguration,
    origin: ConfigurationOrigin,
  ): void;
  /** Applies a difference; ignored if its base is not the current configuration. */
  abstract onConfigurationChange(
    change: ConfigurationChange,
    origin: ConfigurationOrigin,
  ): void;
  /** The current revision of the evacuations. */
  abstract get evacuationRevision(): number;
  abstract onEvacuations(update: Evacuations, source: string): void;
  /** The current revision of the rollouts. */
  abstract get rolloutRevision(): number;
  abstract onRollouts(update: Rollouts, source: string): void;
  /** The current revision of the quarantine. */
  abstract get quarantineRevision(): number;
  abstract onQuarantine(update: Quarantine, source: string): void;
  /** The current revision of the registered versions; -Infinity before the first. */
  abstract get versionsRevision(): number;
  /** Called before the upstreams that came with it. */
  abstract onVersions(update: RegisteredVersions): void;
  abstract onUpstreams(
    records: readonly UpstreamRecord[],
    source: string,
  ): void;
  abstract onBoxes(records: readonly BoxRecord[], source: string): void;
}
