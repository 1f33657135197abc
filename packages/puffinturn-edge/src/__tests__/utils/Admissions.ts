/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Admissions for simulated edges on an in-memory network. */
import {InMemoryDecisionLog} from 'puffinturn-decisions';
import type {BoxRecord} from 'puffinturn-fleet';
import {BOX_ROLE} from 'puffinturn-fleet';
import type {ColdTolerance} from 'puffinturn-permits';
import {NO_LIMIT, PermitClient, SlotClient} from 'puffinturn-permits';
import type {MemoryNetwork} from 'puffinturn-wire';
import type {Clock} from 'shared';

import {BrittleServices} from '../../upstreams/BrittleServices';
import type {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import {
  PermitAdmission,
  UpstreamAdmission,
} from '../../upstreams/UpstreamAdmission';
import {PacedAdmission} from './PacedAdmission';

/** Options of the admission of one simulated edge. */
export interface AdmissionOptions {
  readonly box: string;
  readonly clock: Clock;
  readonly network: MemoryNetwork;
  readonly peers: () => readonly BoxRecord[];
  readonly tolerance: ColdTolerance;
  /** Looks up an upstream known to this edge. */
  readonly findUpstream: (id: string) => EdgeUpstream | undefined;
}

/** Creates the admission of one edge. */
export type AdmissionFactory = (edge: AdmissionOptions) => UpstreamAdmission;

/** Creates the admission used in production, which is based on permits. */
export const createPermitAdmission: AdmissionFactory = (edge) => {
  const {box, clock, network, peers, tolerance, findUpstream} = edge;
  const link = network.connect(box);
  const permits = new PermitClient({
    areInSameRegion: () => true,
    clock,
    coldTolerance: tolerance,
    mergeLimit: (id, limit) => void findUpstream(id)?.limits.merge(limit),
    limitOf: (id) => findUpstream(id)?.limits.limit ?? NO_LIMIT,
    link,
    peers,
    self: {box, hall: 'h'},
  });
  const slots = new SlotClient({
    areInSameRegion: () => true,
    clock,
    link,
    peers,
    self: {box, hall: 'h'},
  });
  const brittleServices = new BrittleServices(clock, new InMemoryDecisionLog());
  return new PermitAdmission(permits, slots, brittleServices);
};

/** Creates an admission that paces requests at a few senders chosen by rendezvous hashing. */
export const createPacedAdmission: AdmissionFactory = ({
  box,
  clock,
  peers,
  tolerance,
}) => new PacedAdmission({box, clock, peers, tolerance});

/** Admits every request. */
class UnboundedAdmission extends UpstreamAdmission {
  override waitMs(): number {
    return 0;
  }

  override admit(): boolean {
    return true;
  }

  override shareLimit(): void {}
}

/** Creates an admission without any limit, as a baseline. */
export const createUnboundedAdmission: AdmissionFactory = () =>
  new UnboundedAdmission();

/** Creates the box record of an edge. */
export function edgeRecord(box: string): BoxRecord {
  return {box, hall: 'h', incarnation: '1', role: BOX_ROLE.edge};
}
