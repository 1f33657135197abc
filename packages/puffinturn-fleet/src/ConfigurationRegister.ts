/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The configuration in force: the highest version that was ever put in force. */
import type {FleetConfiguration} from './Configuration';

/** A configuration together with the text that it was read from. */
export interface StoredConfiguration {
  readonly configuration: FleetConfiguration;
  /** The operator's document as it came. */
  readonly document: string;
}

/** Puts a configuration in force unless a version as high is held. */
export interface ConfigurationRecord {
  readonly kind: 'configuration';
  readonly stored: StoredConfiguration;
}

/** The same, compressed; what control boxes write today. */
export interface PackedConfigurationRecord {
  readonly kind: 'packed-configuration';
  readonly packed: Uint8Array;
}

/** What applying a configuration did. */
export interface ConfigurationOutcome {
  readonly kind: 'configuration';
  readonly adopted: boolean;
  readonly heldVersion: number;
}

/** See the module comment. */
export class ConfigurationRegister {
  private held: StoredConfiguration | undefined;

  /** Told after every configuration that came into force. */
  constructor(private readonly onChange: () => void) {}

  /** The configuration in force. */
  get stored(): StoredConfiguration | undefined {
    return this.held;
  }

  /** Puts a configuration in force unless a version as high is held. */
  apply(stored: StoredConfiguration): ConfigurationOutcome {
    const heldVersion = this.held?.configuration.version ?? -Infinity;
    const {version} = stored.configuration;
    const adopted = version > heldVersion;
    if (adopted) {
      this.held = stored;
      this.onChange();
    }
    return {
      adopted,
      heldVersion: Math.max(version, heldVersion),
      kind: 'configuration',
    };
  }

  /** Takes over what a snapshot holds. */
  restore(stored: StoredConfiguration | undefined): void {
    this.held = stored;
  }
}
