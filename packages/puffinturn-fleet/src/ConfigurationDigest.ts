/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Digests of the content of configurations, by which boxes can compare what they hold under
 * the same version.
 */
import {hash32} from 'shared';

import type {FleetConfiguration} from './Configuration';

const DIGEST_MODULUS = 2 ** 32;

/** Digests of configurations, and hashes of their items, which versions share. */
const knownHashes = new WeakMap<object, number>();

/** Digest of everything but the version. The order of the routes and teams is irrelevant. */
export function digestOf(configuration: FleetConfiguration): number {
  return hashOnce(configuration, () => {
    const {limits, routes, services, teams = []} = configuration;
    const items: readonly object[] = [...routes, ...teams, ...services, limits];
    return items.reduce(
      (sum: number, item) => (sum + hashItem(item)) % DIGEST_MODULUS,
      0,
    );
  });
}

/** Hash of a route, team or service, or of the limits; computed once for each object. */
export function hashItem(item: object): number {
  return hashOnce(item, () => hash32(JSON.stringify(item)));
}

function hashOnce(object: object, computeHash: () => number): number {
  const known = knownHashes.get(object);
  if (known !== undefined) {
    return known;
  }
  const hash = computeHash();
  knownHashes.set(object, hash);
  return hash;
}
