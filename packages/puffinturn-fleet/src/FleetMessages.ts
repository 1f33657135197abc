/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Messages between control boxes and edges. */
import type {FleetConfiguration} from './Configuration';
import type {ConfigurationChange} from './ConfigurationChange';
import type {AllowanceAsk, AllowanceGrant} from './FleetMachine';
import type {UpstreamRecord} from './Upstreams';

/** Names of the services on the link between boxes. */
export const FLEET_SERVICE = {
  allowance: 'fleet-allowance',
  borrow: 'fleet-borrow',
  change: 'fleet-change',
  give: 'fleet-give',
  read: 'fleet-read',
  watch: 'fleet-watch',
} as const;

/** What a box does in the fleet. */
export const BOX_ROLE = {control: 'control', edge: 'edge'} as const;

/** One of BOX_ROLE. */
export type BoxRole = (typeof BOX_ROLE)[keyof typeof BOX_ROLE];

/** A box as the others know it. */
export interface BoxRecord {
  /** Address between boxes, IP:PORT. */
  readonly box: string;
  readonly role: BoxRole;
  readonly hall: string;
  /** One life of the process. */
  readonly incarnation: string;
}

/** Asks for all that is new; held back until there is something. */
export interface WatchRequest {
  readonly from: BoxRecord;
  readonly configurationVersion: number;
  /** The incarnation of the asked box that `upstreamsRevision` belongs to. */
  readonly incarnation: string;
  readonly upstreamsRevision: number;
  readonly boxesRevision: number;
  readonly waitMs: number;
  /** Whether the answer must rest on a barrier of the log. */
  readonly current: boolean;
}

/** What is new since the last answer. */
export interface WatchReply {
  readonly incarnation: string;
  readonly leader: string | undefined;
  /** A newer configuration, unless the change to it is sent instead. */
  readonly configuration: FleetConfiguration | undefined;
  /** What leads from the asking box's configuration to a newer one. */
  readonly configurationChange: ConfigurationChange | undefined;
  readonly upstreams: readonly UpstreamRecord[];
  readonly upstreamsRevision: number;
  /**
   * Live boxes, where that list has changed: all of them for an edge, those
   * that watch the answering box itself for another control box.
   */
  readonly boxes: readonly BoxRecord[] | undefined;
  readonly boxesRevision: number;
  /** Whether a barrier was passed, where one was asked for. */
  readonly current: boolean;
}

/** Asks the leader, through any control box, for an exchange of allowances. */
export interface AllowanceRequest {
  readonly box: string;
  readonly holder: string;
  readonly sequence: number;
  readonly asks: readonly AllowanceAsk[];
}

/** Outcome of an exchange; undefined grants mean that it may be sent again. */
export interface AllowanceReply {
  readonly grants: readonly AllowanceGrant[] | undefined;
}

/** Asks another edge for tokens it can spare. */
export interface BorrowRequest {
  readonly team: string;
  readonly need: number;
}

/** Tokens that the asked edge has given up. */
export interface BorrowReply {
  readonly given: number;
}

/** Tokens of one team that an edge hands on as it stops. */
export interface Gift {
  readonly team: string;
  readonly amount: number;
}

/** Hands tokens on to another edge. */
export interface GiveRequest {
  readonly gifts: readonly Gift[];
}

/** What became of a change of the configuration. */
export interface ChangeReply {
  readonly accepted: boolean;
  /** The version in force afterwards. */
  readonly heldVersion: number | undefined;
}

/** The document in force, as one barrier found it. */
export interface ReadReply {
  readonly current: boolean;
  readonly document: string | undefined;
}
