/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * What differs between two versions of a configuration. Most versions change a
 * route or a team out of hundreds, so boxes that hold the former version get
 * the difference and not the whole.
 */
import type {
  CallerLimits,
  FleetConfiguration,
  Route,
  Service,
  Team,
} from './Configuration';
import {routePlace} from './Configuration';

/** Turns the configuration with the version `base` into the next one. */
export interface ConfigurationChange {
  readonly base: number;
  readonly version: number;
  /** Routes that were added or changed. */
  readonly routes: readonly Route[];
  /** Places of routes that are gone, as `routePlace` gives them. */
  readonly removedRoutes: readonly string[];
  /** Teams that were added or changed; undefined where no key is needed. */
  readonly teams: readonly Team[] | undefined;
  readonly removedTeams: readonly string[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
}

interface Difference<Item> {
  readonly changed: readonly Item[];
  readonly removed: readonly string[];
}

function teamName({name}: Team): string {
  return name;
}

/** The change that leads from one configuration to another. */
export function changeBetween(
  base: FleetConfiguration,
  next: FleetConfiguration,
): ConfigurationChange {
  const routes = differenceOf(base.routes, next.routes, routePlace);
  const teams = differenceOf(base.teams ?? [], next.teams ?? [], teamName);
  return {
    base: base.version,
    limits: next.limits,
    removedRoutes: routes.removed,
    removedTeams: teams.removed,
    routes: routes.changed,
    services: next.services,
    teams: next.teams === undefined ? undefined : teams.changed,
    version: next.version,
  };
}

/** The configuration that a change makes of its base. */
export function applyChange(
  base: FleetConfiguration,
  change: ConfigurationChange,
): FleetConfiguration {
  const {limits, services, teams, version} = change;
  return {
    limits,
    routes: merged(
      base.routes,
      change.routes,
      change.removedRoutes,
      routePlace,
    ),
    services,
    teams:
      teams === undefined || teams === null
        ? undefined
        : merged(base.teams ?? [], teams, change.removedTeams, teamName),
    version,
  };
}

function differenceOf<Item>(
  former: readonly Item[],
  next: readonly Item[],
  keyOf: (item: Item) => string,
): Difference<Item> {
  const before = new Map(
    former.map((item) => [keyOf(item), JSON.stringify(item)]),
  );
  const changed = next.filter(
    (item) => before.get(keyOf(item)) !== JSON.stringify(item),
  );
  const kept = new Set(next.map(keyOf));
  const removed = [...before.keys()].filter((key) => !kept.has(key));
  return {changed, removed};
}

function merged<Item>(
  former: readonly Item[],
  changed: readonly Item[],
  removed: readonly string[],
  keyOf: (item: Item) => string,
): Item[] {
  const items = new Map(former.map((item) => [keyOf(item), item]));
  for (const key of removed) {
    items.delete(key);
  }
  for (const item of changed) {
    items.set(keyOf(item), item);
  }
  return [...items.values()];
}
