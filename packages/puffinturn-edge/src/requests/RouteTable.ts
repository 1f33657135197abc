/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Looks up routes by host and path, and teams by key. */
import type {FleetConfiguration, Route, Service, Team} from 'puffinturn-fleet';
import {regionsInBoth, routePlace} from 'puffinturn-fleet';
import {drawByWeight} from 'shared';

/** One configuration, prepared for look-ups. */
export class RouteTable {
  /** The version in force. */
  readonly version: number;
  private readonly byHost = new Map<string, Route[]>();
  private readonly byKey = new Map<string, Team>();
  private readonly byName = new Map<string, Service>();
  private readonly regionsByPlace = new Map<string, readonly string[]>();
  private readonly regionsByTeam = new Map<string, readonly string[]>();
  /** Ranks of the most and the least urgent routes to engines. */
  private readonly ranks: {readonly first: number; readonly last: number};

  constructor(readonly configuration: FleetConfiguration) {
    this.version = configuration.version;
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const routes = this.byHost.get(host) ?? [];
      routes.push(route);
      this.byHost.set(host, routes);
      if (route.allowedRegions !== undefined) {
        this.regionsByPlace.set(routePlace(route), route.allowedRegions);
      }
    }
    for (const routes of this.byHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const team of configuration.teams ?? []) {
      if (team.allowedRegions !== undefined) {
        this.regionsByTeam.set(team.name, team.allowedRegions);
      }
      for (const key of team.keys) {
        this.byKey.set(key, team);
      }
    }
    for (const service of configuration.services) {
      this.byName.set(service.name, service);
    }
    const ranks = configuration.routes
      .filter((route) => this.reachesEngine(route))
      .map(({priority}) => priority);
    this.ranks = {first: Math.min(...ranks), last: Math.max(...ranks)};
  }

  /**
   * Whether requests of a route give way where tokens run short: those of the
   * least urgent rank, if there is a more urgent one.
   */
  isLeastUrgent({priority}: Route): boolean {
    const {first, last} = this.ranks;
    return priority === last && first < last;
  }

  /** The route with the longest prefix that begins the path. */
  find(host: string, path: string): Route | undefined {
    return this.byHost
      .get(host.toLowerCase())
      ?.find(({pathPrefix}) => path.startsWith(pathPrefix));
  }

  /** Whether a request of this route must carry a key. */
  needsKey(route: Route): boolean {
    return this.configuration.teams !== undefined && !route.anonymous;
  }

  /** The team that holds a key. */
  teamOf(key: string | undefined): Team | undefined {
    return key === undefined ? undefined : this.byKey.get(key);
  }

  /**
   * The regions that this configuration allows a request of a route and a team
   * of another version; undefined for all.
   */
  allowedRegions(
    route: Route,
    team: Team | undefined,
  ): readonly string[] | undefined {
    return regionsInBoth(
      this.regionsByPlace.get(routePlace(route)),
      team === undefined ? undefined : this.regionsByTeam.get(team.name),
    );
  }

  /** A service by its name. */
  service(name: string): Service | undefined {
    return this.byName.get(name);
  }

  private reachesEngine({targets}: Route): boolean {
    return targets.some(({service, weight}) => {
      return weight > 0 && this.byName.get(service)?.engine !== undefined;
    });
  }

  /** The service of a route, drawn by weight with `fraction` in [0, 1). */
  serviceFor({targets}: Route, fraction: number): Service | undefined {
    const drawn = drawByWeight(targets, ({weight}) => weight, fraction);
    return drawn === undefined ? undefined : this.service(drawn.service);
  }
}
