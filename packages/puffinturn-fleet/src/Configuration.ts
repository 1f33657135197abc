/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Failure} from 'shared';

/** Whether requests of a route may be retried. */
export const RETRY_POLICY = {
  /** Never retried: a request runs at most once. */
  never: 'never',
  /** Safe to retry from the start. */
  repeatable: 'repeatable',
  /** Safe to retry; a retry resumes after the last event received. */
  resumable: 'resumable',
} as const;

/** A value of RETRY_POLICY. */
export type RetryPolicy = (typeof RETRY_POLICY)[keyof typeof RETRY_POLICY];

/** A service that a route sends requests to, with its weight. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Routing rule for requests by host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly repetition: RetryPolicy;
  /** Whether responses are event streams. */
  readonly streams: boolean;
  /** Request timeout, ms. */
  readonly timeoutMs: number;
  /** Target time to the first byte of the response, ms. */
  readonly objectiveMs: number;
  /** Priority; 0 is the highest. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of upstreams tried per request. */
  readonly maxAttempts: number;
  /** Whether requests are accepted without an API key. */
  readonly anonymous: boolean;
  /** Regions that may serve and store its requests; undefined for all. */
  readonly allowedRegions?: readonly string[] | undefined;
}

/** Capacity of a service's model engines. */
export interface EngineProfile {
  readonly slots: number;
  readonly memoryTokens: number;
  readonly tokensPerEvent: number;
  /**
   * Time to copy the cached state of one token from another engine, ms; undefined
   * if engines don't support copying.
   */
  readonly copyMsPerToken: number | undefined;
}

/** Limits for upstreams of a service during warm-up. */
export interface ColdStart {
  /** Warm-up time after a start, ms. */
  readonly durationMs: number;
  /** Maximum requests per second during warm-up, over all boxes together. */
  readonly requestsPerSecond: number;
}

/** Returns the unique key of a route: its host and path prefix. */
export function routeKey({host, pathPrefix}: Route): string {
  return `${host.toLowerCase()} ${pathPrefix}`;
}

/** A pool of upstreams. */
export interface Service {
  readonly name: string;
  readonly maxConnections: number;
  readonly engine: EngineProfile | undefined;
  /** Undefined if upstreams need no warm-up. */
  readonly coldStart?: ColdStart | undefined;
}

/** Size and time limits for callers' requests. */
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
  /** Prepaid budget in tokens; undefined if usage isn't metered. */
  readonly prepaidTokens: number | undefined;
  /** Regions that may serve and store its requests; undefined for all. */
  readonly allowedRegions?: readonly string[] | undefined;
}

/**
 * One version of the whole configuration that operators declare. The highest version
 * committed by a quorum is active.
 */
export interface FleetConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** Undefined if requests need no API key. */
  readonly teams: readonly Team[] | undefined;
}

/** Reason why a configuration is rejected. */
export type ConfigurationFailure = Failure<'invalid-configuration'> & {
  /** Path in the document, such as `routes.3.timeoutMs`. */
  readonly path: string;
};

function invalidConfiguration(
  path: string,
  message: string,
): ConfigurationFailure {
  return {kind: 'invalid-configuration', message, path};
}

/** Checks references, weights and duplicates, which a schema can't express. */
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
  const serviceNames = new Set(services.map(({name}) => name));
  const seenKeys = new Set<string>();
  for (const [index, route] of routes.entries()) {
    const path = `routes.${index}`;
    const key = routeKey(route);
    if (seenKeys.has(key)) {
      return invalidConfiguration(path, `a second route for ${key}`);
    }
    seenKeys.add(key);
    if (route.timeoutMs <= 0) {
      return invalidConfiguration(`${path}.timeoutMs`, 'must be above 0');
    }
    const unknownTarget = route.targets.find(
      ({service}) => !serviceNames.has(service),
    );
    if (unknownTarget !== undefined) {
      return invalidConfiguration(path, `no service ${unknownTarget.service}`);
    }
    const hasNegativeWeight = route.targets.some(({weight}) => weight < 0);
    const totalWeight = route.targets.reduce(
      (total, {weight}) => total + weight,
      0,
    );
    if (hasNegativeWeight || totalWeight <= 0) {
      return invalidConfiguration(
        path,
        'the weights must add up to more than 0',
      );
    }
  }
  return undefined;
}

function findTeamFailure({
  teams = [],
}: FleetConfiguration): ConfigurationFailure | undefined {
  const seenNames = new Set<string>();
  const ownersByKey = new Map<string, string>();
  for (const [index, {keys, name}] of teams.entries()) {
    if (seenNames.has(name)) {
      return invalidConfiguration(`teams.${index}`, `a second team ${name}`);
    }
    seenNames.add(name);
    for (const key of keys) {
      const owner = ownersByKey.get(key);
      if (owner !== undefined && owner !== name) {
        return invalidConfiguration(
          `teams.${index}`,
          `${owner} has the same key`,
        );
      }
      ownersByKey.set(key, name);
    }
  }
  return undefined;
}
