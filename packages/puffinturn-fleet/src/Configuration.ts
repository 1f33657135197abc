/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The configuration of a fleet as one whole document: routes, services, limits
 * and teams under one version. The highest version that a quorum holds is
 * the one in force.
 */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Failure} from 'shared';

/** How often a request of a route may run. */
export const REPETITION = {
  /** At most once. */
  never: 'never',
  /** Any number of times. */
  repeatable: 'repeatable',
  /** Any number of times, each run going on behind the last event. */
  resumable: 'resumable',
} as const;

/** One of REPETITION. */
export type Repetition = (typeof REPETITION)[keyof typeof REPETITION];

/** A service that a route sends to, and its share. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Requests of one host whose path begins with a prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly repetition: Repetition;
  /** Whether answers are streams of events. */
  readonly streams: boolean;
  /** Longest time a request is held, ms. */
  readonly timeoutMs: number;
  /** Time to the first byte that earns full credit, ms. */
  readonly objectiveMs: number;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Most upstreams that one request may be sent to. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly anonymous: boolean;
  /** Regions that may serve and keep its requests; undefined for all. */
  readonly allowedRegions?: readonly string[] | undefined;
}

/** What is known of a service's model engines. */
export interface EngineProfile {
  readonly slots: number;
  readonly memoryTokens: number;
  readonly tokensPerEvent: number;
  /**
   * Time to copy the memory of one token from another engine, ms; undefined
   * where engines do not copy.
   */
  readonly copyMsPerToken: number | undefined;
}

/** What an upstream of a service bears before it has warmed up. */
export interface ColdStart {
  /** How long it stays cold after a start, ms. */
  readonly durationMs: number;
  /** Requests a second that it bears meanwhile, from all boxes together. */
  readonly requestsPerSecond: number;
}

/** What no two routes of a configuration share. */
export function routePlace({host, pathPrefix}: Route): string {
  return `${host.toLowerCase()} ${pathPrefix}`;
}

/** A pool of upstreams. */
export interface Service {
  readonly name: string;
  readonly maxConnections: number;
  readonly engine: EngineProfile | undefined;
  /** Undefined where cold upstreams bear as much as warm ones. */
  readonly coldStart?: ColdStart | undefined;
}

/** What a caller may send, and how long it may take over it. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A customer with keys and a prepaid budget. */
export interface Team {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority: number;
  /** Tokens paid for; undefined where none are counted. */
  readonly prepaidTokens: number | undefined;
  /** Regions that may serve and keep its requests; undefined for all. */
  readonly allowedRegions?: readonly string[] | undefined;
}

/** One version of everything that operators declare. */
export interface FleetConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** Undefined where requests need no key. */
  readonly teams: readonly Team[] | undefined;
}

/** Why a configuration can't be in force. */
export type ConfigurationFailure = Failure<'invalid-configuration'> & {
  /** Where in the document, as `routes.3.timeoutMs`. */
  readonly path: string;
};

function invalid(path: string, message: string): ConfigurationFailure {
  return {kind: 'invalid-configuration', message, path};
}

/** Checks what a schema can't: references, duplicates and shared keys. */
export function checkConfiguration(
  configuration: FleetConfiguration,
): Result<FleetConfiguration, ConfigurationFailure> {
  const failure =
    findRouteFailure(configuration) ?? findTeamFailure(configuration);
  return failure === undefined ? ok(configuration) : err(failure);
}

function findRouteFailure({
  routes,
  services,
}: FleetConfiguration): ConfigurationFailure | undefined {
  const names = new Set(services.map(({name}) => name));
  const places = new Set<string>();
  for (const [index, route] of routes.entries()) {
    const path = `routes.${index}`;
    const place = routePlace(route);
    if (places.has(place)) {
      return invalid(path, `a second route for ${place}`);
    }
    places.add(place);
    if (route.timeoutMs <= 0) {
      return invalid(`${path}.timeoutMs`, 'must be above 0');
    }
    const unknown = route.targets.find(({service}) => !names.has(service));
    if (unknown !== undefined) {
      return invalid(path, `no service ${unknown.service}`);
    }
    const negative = route.targets.some(({weight}) => weight < 0);
    const sum = route.targets.reduce((total, {weight}) => total + weight, 0);
    if (negative || sum <= 0) {
      return invalid(path, 'the weights must add up to more than 0');
    }
  }
  return undefined;
}

function findTeamFailure({
  teams = [],
}: FleetConfiguration): ConfigurationFailure | undefined {
  const names = new Set<string>();
  const owners = new Map<string, string>();
  for (const [index, {keys, name}] of teams.entries()) {
    if (names.has(name)) {
      return invalid(`teams.${index}`, `a second team ${name}`);
    }
    names.add(name);
    for (const key of keys) {
      const owner = owners.get(key);
      if (owner !== undefined && owner !== name) {
        return invalid(`teams.${index}`, `${owner} has the same key`);
      }
      owners.set(key, name);
    }
  }
  return undefined;
}
