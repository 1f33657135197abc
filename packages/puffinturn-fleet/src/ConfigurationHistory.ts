/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {FleetConfiguration} from './Configuration';
import type {ConfigurationChange} from './ConfigurationChange';
import {diffConfigurations} from './ConfigurationChange';
import type {ConfigurationUpdate} from './PackedUpdate';

/** Maximum number of previous versions kept. */
const MAX_PREVIOUS_VERSIONS = 12;

/**
 * Keeps recent configurations, so that a box with one of them can be sent the change
 * since then instead of the whole configuration.
 */
export class ConfigurationHistory {
  private latest: FleetConfiguration | undefined;
  private previous: FleetConfiguration[] = [];
  /** Changes to the latest version, by base version. */
  private readonly cachedChanges = new Map<number, ConfigurationChange>();

  /** Adds the active configuration. */
  add(configuration: FleetConfiguration): void {
    if (this.latest === configuration) {
      return;
    }
    if (this.latest !== undefined) {
      this.previous = [this.latest, ...this.previous].slice(
        0,
        MAX_PREVIOUS_VERSIONS,
      );
    }
    this.latest = configuration;
    this.cachedChanges.clear();
  }

  /** Returns the change from a version to the latest, or the latest as a whole. */
  updateSince(version: number): ConfigurationUpdate {
    const configurationChange = this.changeSince(version);
    return configurationChange === undefined
      ? {configuration: this.latest, configurationChange}
      : {configuration: undefined, configurationChange};
  }

  /** The change from a version to the latest; undefined if the version is unknown. */
  changeSince(version: number): ConfigurationChange | undefined {
    const cached = this.cachedChanges.get(version);
    if (cached !== undefined) {
      return cached;
    }
    const base = this.previous.find(
      (candidate) => candidate.version === version,
    );
    if (base === undefined || this.latest === undefined) {
      return undefined;
    }
    const change = diffConfigurations(base, this.latest);
    this.cachedChanges.set(version, change);
    return change;
  }
}
