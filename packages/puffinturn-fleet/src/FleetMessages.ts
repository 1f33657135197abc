/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Messages between control boxes and edges. */
import type {UpstreamLimit} from 'puffinturn-permits';
import type {CrashReport, Quarantine} from 'puffinturn-quarantine';

import type {AllowanceAsk, AllowanceGrant} from './AllowanceLedger';
import type {BoxChanges} from './Boxes';
import type {FleetConfiguration} from './Configuration';
import type {ConfigurationChange} from './ConfigurationChange';
import type {Evacuations} from './Evacuations';
import type {Rollouts} from './Rollouts';
import type {UpstreamRecord} from './Upstreams';

/** Names of the services on the link between boxes. */
export const FLEET_SERVICE = {
  allowance: 'fleet-allowance',
  beginRollout: 'fleet-begin-rollout',
  borrow: 'fleet-borrow',
  change: 'fleet-change',
  evacuate: 'fleet-evacuate',
  exposure: 'fleet-exposure',
  give: 'fleet-give',
  greet: 'fleet-greet',
  handOver: 'fleet-hand-over',
  read: 'fleet-read',
  readRollout: 'fleet-read-rollout',
  reportCrashes: 'fleet-report-crashes',
  reportLimits: 'fleet-report-limits',
  stepAside: 'fleet-step-aside',
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
  /** The region of the hall; missing where a former version tells. */
  readonly region?: string | undefined;
  /** One life of the process. */
  readonly incarnation: string;
}

/** The name of one life of a box, as messages about tokens carry it. */
export function lifeOf({
  box,
  incarnation,
}: Pick<BoxRecord, 'box' | 'incarnation'>): string {
  return `${box} ${incarnation}`;
}

/** Asks for all that is new; held back until there is something. */
export interface WatchRequest {
  readonly from: BoxRecord;
  readonly configurationVersion: number;
  /** The revision of the evacuations held. */
  readonly evacuationRevision: number;
  /** The revision of the roll-outs held; missing where a former version asks. */
  readonly rolloutRevision?: number | undefined;
  /** The revision of the quarantine held; missing where a former version asks. */
  readonly quarantineRevision?: number | undefined;
  /** The incarnation of the asked box that `upstreamsRevision` belongs to. */
  readonly incarnation: string;
  readonly upstreamsRevision: number;
  readonly boxesRevision: number;
  readonly waitMs: number;
  /** Whether the answer must rest on a barrier of the log. */
  readonly current: boolean;
  /**
   * Whether another control box brings configurations and boxes: then the
   * answer only names the version that the asked box holds.
   */
  readonly brief: boolean;
  /**
   * Whether the asking box takes it that the asked one hears a leader; it is told
   * at once where that is not so. Missing in questions of a former version.
   */
  readonly hearsLeader?: boolean | undefined;
}

/** What is new since the last answer. */
export interface WatchReply {
  readonly incarnation: string;
  readonly leader: string | undefined;
  /** A newer configuration, unless the change to it is sent instead. */
  readonly configuration: FleetConfiguration | undefined;
  /** What leads from the asking box's configuration to a newer one. */
  readonly configurationChange: ConfigurationChange | undefined;
  /** Evacuations newer than those that the asking box holds. */
  readonly evacuations: Evacuations | undefined;
  /** Roll-outs newer than those that the asking box holds. */
  readonly rollouts?: Rollouts | undefined;
  /** A quarantine newer than the one that the asking box holds. */
  readonly quarantine?: Quarantine | undefined;
  readonly upstreams: readonly UpstreamRecord[];
  readonly upstreamsRevision: number;
  /** The version that the answering box holds, or -Infinity. */
  readonly heldVersion: number;
  /**
   * What has changed among the live boxes, where anything has: all boxes for an
   * edge, those that call the answering box itself for another control box.
   */
  readonly boxes: BoxChanges | undefined;
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

/** Asks another edge for tokens. */
export interface BorrowRequest {
  /** One life of the asking edge; with the number it names the loan. */
  readonly borrower: string;
  readonly number: number;
  /** Whether only the outcome of that loan is asked for, as no answer came. */
  readonly outcomeOnly: boolean;
  readonly team: string;
  /** Tokens that a request lacks. */
  readonly need: number;
  /** Tokens that would be of use; at least those needed. */
  readonly want: number;
  /**
   * The part of what the asked edge wants to hold that must stay there; missing in
   * requests of a former version, which leave nothing.
   */
  readonly keepPart?: number | undefined;
  /**
   * Whether the asked edge, as the holder of the hall, may ask the core and the
   * other halls for what it lacks. Then it lends all that is needed or nothing.
   */
  readonly gather: boolean;
}

/** What came of asking another edge for tokens. */
export const LOAN = {
  /** It lent what it could spare. */
  lent: 'lent',
  /** The core and the other halls together have too few. */
  exhausted: 'exhausted',
  /** It has too few, and not all that could have more answered. */
  unavailable: 'unavailable',
  /** It is stopping; the next edge of the hall is the holder. */
  closing: 'closing',
} as const;

/** One of LOAN. */
export type LoanOutcome = (typeof LOAN)[keyof typeof LOAN];

/** Tokens that the asked edge has given up. */
export interface BorrowReply {
  readonly given: number;
  readonly outcome: LoanOutcome;
}

/** Tokens of one team that an edge hands on. */
export interface Gift {
  readonly team: string;
  readonly amount: number;
}

/** Hands tokens on to another edge. */
export interface GiveRequest {
  /** One life of the giving edge. */
  readonly giver: string;
  /**
   * The life of the asked edge that may take the gift; another one can't know
   * whether it was taken. Missing in gifts of a former version.
   */
  readonly receiver?: string | undefined;
  /** Grows with each gift of that life; one sent again counts once. */
  readonly number: number;
  readonly gifts: readonly Gift[];
}

/**
 * Whether the asked edge took the tokens; one that is stopping does not, nor does
 * another life than the one that they are for.
 */
export interface GiveReply {
  readonly taken: boolean;
  /** The life that answers; missing in answers of a former version. */
  readonly receiver?: string | undefined;
}

/** What an edge lacks; asked for by an empty question. */
export interface GreetReply {
  /** Whether it has no configuration and has not reached the core. */
  readonly needsState: boolean;
}

/**
 * Whether the asking edge, which is behind, may leave new connections to the others
 * of its hall for a while; asked for by an empty question.
 */
export interface StepAsideReply {
  readonly agreed: boolean;
}

/** What an edge serves from, handed to one that can't reach the core. */
export interface HandOver {
  readonly configuration: FleetConfiguration;
  readonly upstreams: readonly UpstreamRecord[];
  /** Missing in what an edge of a former version hands over. */
  readonly evacuations?: Evacuations | undefined;
  /** Missing in what an edge of a former version hands over. */
  readonly rollouts?: Rollouts | undefined;
  /** Missing in what an edge of a former version hands over. */
  readonly quarantine?: Quarantine | undefined;
  /** All boxes known, the receiver included. */
  readonly boxes: readonly BoxRecord[];
}

/** Tells the leader, through any control box, which requests were at crashes. */
export interface CrashRequest {
  readonly box: string;
  readonly report: CrashReport;
}

/** Whether a quorum holds the report; else it may be told again. */
export interface CrashReply {
  readonly taken: boolean;
}

/** What one life of an upstream said of its limit in answers to an edge. */
export interface LimitReport {
  readonly id: string;
  readonly bornAt?: number | undefined;
  readonly limit: UpstreamLimit;
}

/** Tells any control box what upstreams said of their limits; the answer is empty. */
export interface LimitsRequest {
  readonly box: string;
  readonly reports: readonly LimitReport[];
}

/** Asks the leader to put a checked configuration in force. */
export interface ChangeRequest {
  readonly version: number;
  /** The configuration and its document, as `packConfiguration` makes it. */
  readonly packed: Uint8Array;
}

/** Asks the leader to evacuate a hall, or to put it in service again. */
export interface EvacuateRequest {
  readonly hall: string;
  readonly evacuated: boolean;
}

/** Whether a quorum holds an evacuation. */
export interface EvacuateReply {
  readonly accepted: boolean;
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
