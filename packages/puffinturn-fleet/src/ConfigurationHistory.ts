/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The configurations that were in force lately, so that a box which holds one
 * of them is sent the change since then.
 */
import type {FleetConfiguration} from './Configuration';
import type {ConfigurationChange} from './ConfigurationChange';
import {changeBetween} from './ConfigurationChange';

/** Former versions that are remembered. */
const MAX_FORMER = 12;

/** See the module comment. */
export class ConfigurationHistory {
  private newest: FleetConfiguration | undefined;
  private former: FleetConfiguration[] = [];
  /** Changes to the newest version, by the version they start from. */
  private readonly changes = new Map<number, ConfigurationChange>();

  /** Notes the configuration in force. */
  add(configuration: FleetConfiguration): void {
    if (this.newest === configuration) {
      return;
    }
    if (this.newest !== undefined) {
      this.former = [this.newest, ...this.former].slice(0, MAX_FORMER);
    }
    this.newest = configuration;
    this.changes.clear();
  }

  /** The change from a version to the newest; undefined if it is forgotten. */
  changeSince(version: number): ConfigurationChange | undefined {
    const known = this.changes.get(version);
    if (known !== undefined) {
      return known;
    }
    const base = this.former.find((held) => held.version === version);
    if (base === undefined || this.newest === undefined) {
      return undefined;
    }
    const change = changeBetween(base, this.newest);
    this.changes.set(version, change);
    return change;
  }
}
