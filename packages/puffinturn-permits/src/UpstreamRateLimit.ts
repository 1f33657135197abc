/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The request rate limit that an upstream declares for all boxes together, in the form
 * in which boxes exchange it.
 */

/** The latest limit that an upstream declared. */
export interface UpstreamRateLimit {
  /** Requests per second; undefined if there is no limit. */
  readonly perSecond?: number | undefined;
  /** Increases with each change; 0 before the first one of an incarnation. */
  readonly revision: number;
}

/** The limit of an upstream that has never declared one. */
export const NO_LIMIT: UpstreamRateLimit = {perSecond: undefined, revision: 0};

/**
 * Whether a limit replaces the current one. If two boxes recorded different limits
 * under the same revision, the lower one is used because it is safe for the upstream.
 */
export function isNewerLimit(
  candidate: UpstreamRateLimit,
  current: UpstreamRateLimit,
): boolean {
  return candidate.revision === current.revision
    ? maxRequestsPerSecond(candidate) < maxRequestsPerSecond(current)
    : candidate.revision > current.revision;
}

/** Returns the newer of two limits. */
export function newerLimit(
  a: UpstreamRateLimit,
  b: UpstreamRateLimit,
): UpstreamRateLimit {
  return isNewerLimit(b, a) ? b : a;
}

/** Requests per second that a limit allows; Infinity if there is no limit. */
export function maxRequestsPerSecond({perSecond}: UpstreamRateLimit): number {
  return perSecond ?? Infinity;
}
