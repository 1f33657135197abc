/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Edges on a network in memory that admit requests by permits, in virtual time. */
import type {BoxRecord} from 'puffinturn-fleet';
import {BOX_ROLE} from 'puffinturn-fleet';
import type {ColdTolerance} from 'puffinturn-permits';
import {NO_LIMIT, Permits} from 'puffinturn-permits';
import type {MemoryNetwork} from 'puffinturn-wire';
import type {Clock} from 'shared';

import type {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import {
  PermitAdmission,
  UpstreamAdmission,
} from '../../upstreams/UpstreamAdmission';
import {PacedAdmission} from './PacedAdmission';

/** What an admission of a test is made of. */
export interface AdmittingEdge {
  readonly box: string;
  readonly clock: Clock;
  readonly network: MemoryNetwork;
  readonly peers: () => readonly BoxRecord[];
  readonly tolerance: ColdTolerance;
  /** The upstreams that this edge knows. */
  readonly upstreamOf: (id: string) => EdgeUpstream | undefined;
}

/** Makes the admission of one edge; tests compare several. */
export type AdmissionOf = (edge: AdmittingEdge) => UpstreamAdmission;

/** The way that is built in. */
export const byPermits: AdmissionOf = (edge) => {
  const {box, clock, network, peers, tolerance, upstreamOf} = edge;
  const permits = new Permits({
    areTogether: () => true,
    clock,
    coldTolerance: tolerance,
    learnLimit: (id, limit) => void upstreamOf(id)?.limits.learn(limit),
    limitOf: (id) => upstreamOf(id)?.limits.limit ?? NO_LIMIT,
    link: network.connect(box),
    peers,
    self: {box, hall: 'h'},
  });
  return new PermitAdmission(permits);
};

/** Few senders by rendezvous, each at its own pace. */
export const byPace: AdmissionOf = ({box, clock, peers, tolerance}) =>
  new PacedAdmission({box, clock, peers, tolerance});

/** Baseline: every upstream takes all. */
class UnboundedAdmission extends UpstreamAdmission {
  override waitMs(): number {
    return 0;
  }

  override admit(): boolean {
    return true;
  }

  override shareLimit(): void {}
}

/** No bound at all. */
export const unbounded: AdmissionOf = () => new UnboundedAdmission();

/** How the other edges know an edge. */
export function recordOf(box: string): BoxRecord {
  return {box, hall: 'h', incarnation: '1', role: BOX_ROLE.edge};
}
