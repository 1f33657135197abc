/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Compression of the configurations and changes that control boxes send. Routes are much
 * alike and compress well. Routes and teams are encoded in parts, and the event loop of the
 * receiver runs between two parts.
 */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Failure} from 'shared';
import {describeError, settleTasks} from 'shared';

import {compress, decode, decompress, encode} from './Compression';
import type {FleetConfiguration, Route, Team} from './Configuration';
import type {ConfigurationChange} from './ConfigurationChange';
import {hashItem} from './ConfigurationDigest';

/** Routes or teams that are decoded and hashed without a pause. */
const ITEMS_PER_PART = 100;

/** A newer configuration for a box: whole, or as the difference from the one that it has. */
export interface ConfigurationUpdate {
  readonly configuration: FleetConfiguration | undefined;
  readonly configurationChange: ConfigurationChange | undefined;
}

/** A packed update can't be decompressed or decoded. */
export type UnpackFailure = Failure<'bad-update'>;

type Items = 'routes' | 'teams';

/** An update whose routes and teams are encoded in parts. */
interface UpdateParts {
  readonly configuration: Omit<FleetConfiguration, Items> | undefined;
  readonly configurationChange: Omit<ConfigurationChange, Items> | undefined;
  readonly routes: readonly Uint8Array[];
  readonly teams: readonly Uint8Array[] | undefined;
}

/** Packed configurations and changes; each is packed once for all boxes that need it. */
const packedContents = new WeakMap<object, Uint8Array>();

/** Encodes and compresses an update, once for each configuration or change. */
export function packUpdate(update: ConfigurationUpdate): Uint8Array {
  const content = update.configuration ?? update.configurationChange ?? update;
  const known = packedContents.get(content);
  if (known !== undefined) {
    return known;
  }
  const packed = pack(update);
  packedContents.set(content, packed);
  return packed;
}

function pack({
  configuration,
  configurationChange,
}: ConfigurationUpdate): Uint8Array {
  const {routes = [], teams} = configuration ?? configurationChange ?? {};
  const parts: UpdateParts = {
    configuration: configuration && withoutItems(configuration),
    configurationChange:
      configurationChange && withoutItems(configurationChange),
    routes: encodeParts(routes),
    teams: teams && encodeParts(teams),
  };
  return compress(parts);
}

/** Decompresses and decodes the output of `packUpdate`. */
export async function unpackUpdate(
  packed: Uint8Array,
): Promise<Result<ConfigurationUpdate, UnpackFailure>> {
  try {
    return ok(await joinParts(decompress(packed) as UpdateParts));
  } catch (error) {
    return err({kind: 'bad-update', message: describeError(error)});
  }
}

async function joinParts({
  configuration,
  configurationChange,
  ...parts
}: UpdateParts): Promise<ConfigurationUpdate> {
  const routes = await decodeParts<Route>(parts.routes);
  const teams = parts.teams && (await decodeParts<Team>(parts.teams));
  return {
    configuration: configuration && {...configuration, routes, teams},
    configurationChange: configurationChange && {
      ...configurationChange,
      routes,
      teams,
    },
  };
}

function withoutItems<Update extends Record<Items, unknown>>({
  routes: _routes,
  teams: _teams,
  ...rest
}: Update): Omit<Update, Items> {
  return rest;
}

function encodeParts(items: readonly object[]): Uint8Array[] {
  const parts: Uint8Array[] = [];
  for (let start = 0; start < items.length; start += ITEMS_PER_PART) {
    parts.push(encode(items.slice(start, start + ITEMS_PER_PART)));
  }
  return parts;
}

/** Hashes each item as well, so that a digest of the configuration takes little time. */
async function decodeParts<Item extends object>(
  parts: readonly Uint8Array[],
): Promise<Item[]> {
  const items: Item[] = [];
  for (const [index, part] of parts.entries()) {
    if (index > 0) {
      await settleTasks();
    }
    const decoded = decode(part) as Item[];
    decoded.forEach(hashItem);
    items.push(...decoded);
  }
  return items;
}
