/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Looks up routes by host and path, and teams by key. */
import type {FleetConfiguration, Route, Service, Team} from 'puffinturn-fleet';
import {
  intersectRegions,
  RETRY_POLICY,
  routeKey,
  streamLifetimeMs,
} from 'puffinturn-fleet';
import {selectByWeight} from 'shared';

/** Names of the services that a route sends requests to. */
export function servicesOf({targets}: Route): ReadonlySet<string> {
  const used = targets.filter(({weight}) => weight > 0);
  return new Set(used.map(({service}) => service));
}

/** Indexes one configuration for look-ups by host, key and name. */
export class RouteTable {
  /** Version of the configuration. */
  readonly version: number;
  private readonly routesByHost = new Map<string, Route[]>();
  private readonly routesByKey = new Map<string, Route>();
  private readonly teamsByKey = new Map<string, Team>();
  private readonly services = new Map<string, Service>();
  private readonly regionsByRoute = new Map<string, readonly string[]>();
  private readonly regionsByTeam = new Map<string, readonly string[]>();
  /** How long a resumable stream may be served and resumed, ms. */
  readonly streamLifetimeMs: number;
  /** Range of priorities of the routes to engines; a lower number is more urgent. */
  private readonly engineRanks: {readonly min: number; readonly max: number};

  constructor(readonly configuration: FleetConfiguration) {
    this.version = configuration.version;
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const routes = this.routesByHost.get(host) ?? [];
      routes.push(route);
      this.routesByKey.set(routeKey(route), route);
      this.routesByHost.set(host, routes);
      if (route.allowedRegions !== undefined) {
        this.regionsByRoute.set(routeKey(route), route.allowedRegions);
      }
    }
    for (const routes of this.routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const team of configuration.teams ?? []) {
      if (team.allowedRegions !== undefined) {
        this.regionsByTeam.set(team.name, team.allowedRegions);
      }
      for (const key of team.keys) {
        this.teamsByKey.set(key, team);
      }
    }
    for (const service of configuration.services) {
      this.services.set(service.name, service);
    }
    this.streamLifetimeMs = streamLifetimeMs(configuration.routes);
    const ranks = configuration.routes
      .filter((route) => this.targetsEngine(route))
      .map(({priority}) => priority);
    this.engineRanks = {min: Math.min(...ranks), max: Math.max(...ranks)};
  }

  /**
   * Whether a route has the least urgent rank of at least two. Its requests are
   * shed first when capacity runs short.
   */
  isLeastUrgent({priority}: Route): boolean {
    const {min, max} = this.engineRanks;
    return priority === max && min < max;
  }

  /** Finds the route with the longest matching path prefix. */
  findRoute(host: string, path: string): Route | undefined {
    return this.routesByHost
      .get(host.toLowerCase())
      ?.find(({pathPrefix}) => path.startsWith(pathPrefix));
  }

  /** Whether requests of a route need an API key. */
  requiresKey(route: Route): boolean {
    return this.configuration.teams !== undefined && !route.anonymous;
  }

  /** Finds the team that owns an API key. */
  findTeam(key: string | undefined): Team | undefined {
    return key === undefined ? undefined : this.teamsByKey.get(key);
  }

  /**
   * Regions that this configuration allows for a route and a team, which may come from
   * another version of the configuration; undefined for all.
   */
  findAllowedRegions(
    route: Route,
    team: Team | undefined,
  ): readonly string[] | undefined {
    return intersectRegions(
      this.regionsByRoute.get(routeKey(route)),
      team === undefined ? undefined : this.regionsByTeam.get(team.name),
    );
  }

  /** Finds a service by name. */
  findService(name: string): Service | undefined {
    return this.services.get(name);
  }

  private targetsEngine({targets}: Route): boolean {
    return targets.some(({service, weight}) => {
      return weight > 0 && this.services.get(service)?.engine !== undefined;
    });
  }

  /** Services of resumable routes that lead to other services in a newer configuration. */
  findRetargetedServices(newer: RouteTable): ReadonlySet<string> {
    const services = new Set<string>();
    for (const route of this.configuration.routes) {
      const current = newer.routesByKey.get(routeKey(route));
      if (
        route.repetition === RETRY_POLICY.resumable &&
        current !== undefined &&
        !hasSameServices(route, current)
      ) {
        servicesOf(route).forEach((service) => services.add(service));
      }
    }
    return services;
  }

  /** Selects the service of a route by weight, with `fraction` in [0, 1). */
  pickService({targets}: Route, fraction: number): Service | undefined {
    const target = selectByWeight(targets, ({weight}) => weight, fraction);
    return target === undefined ? undefined : this.findService(target.service);
  }
}

function hasSameServices(a: Route, b: Route): boolean {
  const services = servicesOf(a);
  const others = servicesOf(b);
  return (
    services.size === others.size &&
    [...services].every((service) => others.has(service))
  );
}
