/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {FleetConfiguration} from './Configuration';
import {DEFAULT_STREAM_LIFETIME_MS, streamLifetimeMs} from './StreamLifetime';

/** A configuration with the document that it was parsed from. */
export interface StoredConfiguration {
  readonly configuration: FleetConfiguration;
  /** The operator's document, unchanged. */
  readonly document: string;
}

/** Log record that activates a configuration if its version is higher. */
export interface ConfigurationRecord {
  readonly kind: 'configuration';
  readonly stored: StoredConfiguration;
}

/** Log record like ConfigurationRecord with a compressed configuration. */
export interface PackedConfigurationRecord {
  readonly kind: 'packed-configuration';
  readonly packed: Uint8Array;
}

/** Result of applying a configuration. */
export interface ConfigurationOutcome {
  readonly kind: 'configuration';
  readonly adopted: boolean;
  readonly heldVersion: number;
}

/** Holds the active configuration: the one with the highest version committed. */
export class ConfigurationRegistry {
  private currentConfiguration: StoredConfiguration | undefined;
  private currentStreamLifetimeMs = DEFAULT_STREAM_LIFETIME_MS;

  /** `onChange` is called whenever another configuration becomes active. */
  constructor(private readonly onChange: () => void) {}

  /** The active configuration. */
  get current(): StoredConfiguration | undefined {
    return this.currentConfiguration;
  }

  /** How long streams may be served and resumed under the active configuration, ms. */
  get streamLifetimeMs(): number {
    return this.currentStreamLifetimeMs;
  }

  /** Activates a configuration if its version is higher than the current one. */
  apply(stored: StoredConfiguration): ConfigurationOutcome {
    const currentVersion =
      this.currentConfiguration?.configuration.version ?? -Infinity;
    const {version} = stored.configuration;
    const adopted = version > currentVersion;
    if (adopted) {
      this.replace(stored);
      this.onChange();
    }
    return {
      adopted,
      heldVersion: Math.max(version, currentVersion),
      kind: 'configuration',
    };
  }

  /** Restores the configuration from a snapshot. */
  restore(stored: StoredConfiguration | undefined): void {
    this.replace(stored);
  }

  private replace(stored: StoredConfiguration | undefined): void {
    this.currentConfiguration = stored;
    this.currentStreamLifetimeMs = streamLifetimeMs(
      stored?.configuration.routes ?? [],
    );
  }
}
