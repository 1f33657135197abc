/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {
  CallerLimits,
  FleetConfiguration,
  Route,
  Service,
  Team,
} from './Configuration';
import {routeKey} from './Configuration';
import {digestOf} from './ConfigurationDigest';

/**
 * Difference between two versions of a configuration. It is sent instead of the whole
 * configuration to boxes that have version `base`, because most versions change few
 * routes or teams.
 */
export interface ConfigurationChange {
  readonly base: number;
  readonly version: number;
  /** Routes that were added or changed. */
  readonly routes: readonly Route[];
  /** Keys of removed routes, as returned by `routeKey`. */
  readonly removedRoutes: readonly string[];
  /** Teams that were added or changed; undefined if requests need no API key. */
  readonly teams: readonly Team[] | undefined;
  readonly removedTeams: readonly string[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** Digest of the next configuration; older software versions omit it. */
  readonly digest?: number | undefined;
}

interface Difference<Item> {
  readonly changed: readonly Item[];
  readonly removed: readonly string[];
}

function teamName({name}: Team): string {
  return name;
}

/** Computes the change from one configuration to another. */
export function diffConfigurations(
  base: FleetConfiguration,
  next: FleetConfiguration,
): ConfigurationChange {
  const routes = diffItems(base.routes, next.routes, routeKey);
  const teams = diffItems(base.teams ?? [], next.teams ?? [], teamName);
  return {
    base: base.version,
    digest: digestOf(next),
    limits: next.limits,
    removedRoutes: routes.removed,
    removedTeams: teams.removed,
    routes: routes.changed,
    services: next.services,
    teams: next.teams === undefined ? undefined : teams.changed,
    version: next.version,
  };
}

/** Applies a change to its base configuration. */
export function applyChange(
  base: FleetConfiguration,
  change: ConfigurationChange,
): FleetConfiguration {
  const {limits, services, teams, version} = change;
  return {
    limits,
    routes: mergeItems(
      base.routes,
      change.routes,
      change.removedRoutes,
      routeKey,
    ),
    services,
    teams:
      teams === undefined || teams === null
        ? undefined
        : mergeItems(base.teams ?? [], teams, change.removedTeams, teamName),
    version,
  };
}

function diffItems<Item>(
  previous: readonly Item[],
  next: readonly Item[],
  keyOf: (item: Item) => string,
): Difference<Item> {
  const previousByKey = new Map(
    previous.map((item) => [keyOf(item), JSON.stringify(item)]),
  );
  const changed = next.filter(
    (item) => previousByKey.get(keyOf(item)) !== JSON.stringify(item),
  );
  const nextKeys = new Set(next.map(keyOf));
  const removed = [...previousByKey.keys()].filter((key) => !nextKeys.has(key));
  return {changed, removed};
}

function mergeItems<Item>(
  previous: readonly Item[],
  changed: readonly Item[],
  removed: readonly string[],
  keyOf: (item: Item) => string,
): Item[] {
  const items = new Map(previous.map((item) => [keyOf(item), item]));
  for (const key of removed) {
    items.delete(key);
  }
  for (const item of changed) {
    items.set(keyOf(item), item);
  }
  return [...items.values()];
}
