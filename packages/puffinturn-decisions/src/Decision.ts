/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Every kind of line that a process writes. A line names the request it is
 * about, what was known when the decision fell, how old or which version that
 * was, and what came of it. Times are milliseconds.
 */

interface RequestDecision {
  /** The request's id as the caller sent it. */
  readonly request: string;
  /** The version of the configuration that the decision rests on. */
  readonly configuration: number;
}

/** What one edge knew of a team's tokens; amounts in tokens. */
export interface TokenState {
  /** Tokens here, reserved ones included. */
  readonly held: number;
  readonly reserved: number;
  /** The edge that holds the team's tokens for this hall. */
  readonly holder: string;
  /** What the core could still grant at this edge's last exchange. */
  readonly left: number | undefined;
  /** The age of that answer. */
  readonly leftAgeMs: number | undefined;
  /** Whether the last exchange that was tried had an answer. */
  readonly coreAnswers: boolean;
}

/** The last decision about a request: what its caller was told. */
export interface RequestEnded extends RequestDecision {
  readonly event: 'request-ended';
  readonly route: string;
  readonly team: string | undefined;
  readonly status: number;
  /** Why, in one word; `served` for an upstream's own answer. */
  readonly cause: string;
  readonly upstream: string | undefined;
  readonly attempts: number;
  readonly tookMs: number;
  readonly events: number;
  /** Tokens charged to the team. */
  readonly charged: number;
  /** The same for all copies of a request; named where it was looked up. */
  readonly fingerprint?: string | undefined;
  /** Upstreams that had no permit left for it, the first few. */
  readonly heldBackBy?: readonly string[] | undefined;
  /** What a refusal for want of tokens rested on. */
  readonly tokens?: TokenState | undefined;
}

/** One attempt at an upstream that did not end in an answer. */
export interface AttemptFailed extends RequestDecision {
  readonly event: 'attempt-failed';
  readonly upstream: string;
  readonly cause: string;
  /** Whether the upstream may have begun work. */
  readonly mayHaveRun: boolean;
  readonly retry: boolean;
  /** Requests of this edge at that upstream. */
  readonly inFlight: number;
  /** The same for all copies of a request; named where it may have run. */
  readonly fingerprint?: string | undefined;
}

/** What an upstream said of itself in an answer. */
export interface UpstreamTold extends RequestDecision {
  readonly event: 'upstream-told';
  readonly upstream: string;
  /** Status of that answer. */
  readonly status: number;
  /** Whether it is about to leave; told once for each life. */
  readonly leaving: boolean;
  /** How long it wants no requests from this edge; none where it doesn't say. */
  readonly restMs: number | undefined;
  /** The requests a second that it takes; none where it names no limit. */
  readonly limitPerS?: number | undefined;
  /** What its newest heartbeat known here says, and the number of that. */
  readonly state: string;
  readonly sequence: number;
}

/** What an upstream said of its limit to another box is known here now. */
export interface UpstreamLimited {
  readonly event: 'upstream-limited';
  readonly upstream: string;
  /** Requests a second that it takes from all boxes; none where it has no limit. */
  readonly perSecond: number | undefined;
  /** Grows with each change of the limit that any box has seen. */
  readonly revision: number;
  /** The box that told. */
  readonly source: string;
}

/** Permits for requests to one upstream that this edge granted to all edges. */
export interface PermitsCounted {
  readonly event: 'permits-counted';
  readonly upstream: string;
  /** Requests a second that the upstream takes, as this edge knows it. */
  readonly perSecond: number;
  /** Since the last such line. */
  readonly granted: number;
  readonly refused: number;
}

/** A life of an upstream ended unplanned while requests of this edge were there. */
export interface UpstreamCrashed {
  readonly event: 'upstream-crashed';
  readonly upstream: string;
  readonly bornAt: number | undefined;
  /** Different requests of this edge that were there. */
  readonly count: number;
  /** The first fingerprints of these. */
  readonly fingerprints: readonly string[];
}

/** An upstream was taken out of choice, or taken in again. */
export interface UpstreamJudged {
  readonly event: 'upstream-judged';
  readonly upstream: string;
  readonly usable: boolean;
  readonly cause: string;
  readonly failures: number;
}

/** A team's tokens moved into or out of this edge. */
export interface AllowanceMoved {
  readonly event: 'allowance-moved';
  readonly team: string;
  readonly source: string;
  readonly amount: number;
  readonly held: number;
  readonly reserved: number;
  /** Tokens that the core could still grant, as of the last exchange. */
  readonly left: number | undefined;
  /** The life of the other edge, where the tokens were a gift. */
  readonly peer?: string | undefined;
}

/** Answers of one kind within a second. */
export interface AnswerCount {
  readonly status: number;
  readonly cause: string;
  readonly count: number;
}

/** All answers of an edge in the second before, also those with no line. */
export interface AnswersCounted {
  readonly event: 'answers-counted';
  readonly answers: readonly AnswerCount[];
}

/** What one edge did with a team's tokens; amounts in tokens. */
export interface TeamTokens {
  readonly team: string;
  /** Tokens here, reserved ones included. */
  readonly held: number;
  readonly reserved: number;
  /** Tokens charged to the team here since the process started. */
  readonly charged: number;
}

/** The tokens at one edge: of all teams together, and of those with most. */
export interface TokensCounted {
  readonly event: 'tokens-counted';
  readonly held: number;
  readonly reserved: number;
  readonly charged: number;
  readonly teams: readonly TeamTokens[];
}

/** Tokens of one team, for a list of them. */
export interface TeamAmount {
  readonly team: string;
  readonly amount: number;
}

/** What the core has granted of a team's budget; amounts in tokens. */
export interface TeamGrants {
  readonly team: string;
  readonly prepaid: number;
  /** In the hands of edges, or spent. */
  readonly granted: number;
  /** Of that, in the hands of edges and in no request. */
  readonly held: number;
}

/** What the core has granted, of those teams that asked last. */
export interface GrantsCounted {
  readonly event: 'grants-counted';
  readonly teams: readonly TeamGrants[];
}

/** An edge has started anew: what its former life held stays spent. */
export interface TokensWrittenOff {
  readonly event: 'tokens-written-off';
  /** The box of the edge. */
  readonly edge: string;
  /** Tokens of all teams together, as of that life's last exchange. */
  readonly amount: number;
  readonly teams: readonly TeamAmount[];
}

/** Another configuration is in force in this process. */
export interface ConfigurationAdopted {
  readonly event: 'configuration-adopted';
  readonly version: number;
  readonly former: number | undefined;
  readonly source: string;
}

/** A control box has named a version that this process still lacks. */
export interface ConfigurationOverdue {
  readonly event: 'configuration-overdue';
  readonly version: number;
  /** The version in force here; none at first. */
  readonly held: number | undefined;
  /** How long ago a version that is lacking was named first. */
  readonly behindMs: number;
  /** The control box that has named it. */
  readonly source: string;
}

/** A control box that is asked for news lost its leader, or has one again. */
export interface LeaderHeard {
  readonly event: 'leader-heard';
  /** The control box. */
  readonly peer: string;
  /** The leader that it hears; none where it may be cut off from the quorum. */
  readonly leader: string | undefined;
}

/** What an edge told of crashes was taken by the log, or not. */
export interface CrashesReported {
  readonly event: 'crashes-reported';
  /** The edge that told, or the leader where it ends a quarantine. */
  readonly edge: string;
  /** How many lives of upstreams have ended. */
  readonly count: number;
  /** The first of these. */
  readonly crashes: readonly string[];
  /** How many suspects got a whole answer. */
  readonly answered: number;
  /** `accepted` once a quorum holds it, else why it could not be decided. */
  readonly outcome: string;
  /** How many requests are quarantined after it. */
  readonly quarantined: number | undefined;
}

/** Other requests are quarantined, as this process knows it. */
export interface QuarantineAdopted {
  readonly event: 'quarantine-adopted';
  readonly revision: number;
  readonly former: number;
  readonly count: number;
  /** How many requests one more crash has quarantined. */
  readonly suspects: number;
  /** The fingerprint that was quarantined last. */
  readonly newest: string | undefined;
  /** The box that told. */
  readonly source: string;
}

/** An operator's change was taken, or not. */
export interface ChangeDecided {
  readonly event: 'change-decided';
  readonly version: number | undefined;
  readonly held: number | undefined;
  readonly outcome: string;
}

/** An operator's order to evacuate a hall, or to end that, was taken, or not. */
export interface EvacuationDecided {
  readonly event: 'evacuation-decided';
  readonly hall: string;
  /** What was ordered: true to evacuate, false to put in service again. */
  readonly evacuated: boolean;
  /** `accepted` once a quorum holds it, else why it could not be decided. */
  readonly outcome: string;
  readonly revision: number | undefined;
}

/** Other halls are evacuated, as this process knows it. */
export interface EvacuationsAdopted {
  readonly event: 'evacuations-adopted';
  readonly halls: readonly string[];
  readonly revision: number;
  readonly former: number;
  /** The box that told. */
  readonly source: string;
}

/** An operator's order to roll a version out was taken, or not. */
export interface RolloutDecided {
  readonly event: 'rollout-decided';
  readonly service: string;
  readonly targetVersion: string;
  /** `accepted` once a quorum holds it, else why not. */
  readonly outcome: string;
  /** The number of the newest order for the service. */
  readonly number: number | undefined;
}

/** Answers of one version of a service on one route; `*` for all routes. */
export interface VersionAnswers {
  readonly route: string;
  readonly version: string;
  readonly answers: number;
  readonly failures: number;
  /** Answers that took much longer than expected. */
  readonly slow: number;
}

/** A roll-out moves on or ends, by the leader's judgement. */
export interface RolloutJudged {
  readonly event: 'rollout-judged';
  readonly service: string;
  readonly targetVersion: string;
  readonly number: number;
  readonly state: string;
  readonly cause: string;
  /** Time since the order. */
  readonly elapsedMs: number;
  readonly figures: readonly VersionAnswers[];
  /** `accepted` once a quorum holds it, else why it could not be written. */
  readonly outcome: string;
}

/** What a roll-out under way has risked, as the leader knows it; in requests. */
export interface ExposureCounted {
  readonly event: 'exposure-counted';
  readonly service: string;
  readonly number: number;
  /** Requests of the service since the order. */
  readonly requests: number;
  /** Of these, requests sent to the new version. */
  readonly exposed: number;
  /** Requests that edges were allowed to send to it. */
  readonly granted: number;
  /** Requests that they may be allowed by now. */
  readonly budget: number;
}

/** Requests of a service began to go to another region, or have ceased to. */
export interface CrossingChanged {
  readonly event: 'crossing-changed';
  readonly service: string;
  readonly crossing: boolean;
  /** Requests that went over since it began. */
  readonly requests: number;
}

/** Other versions of services may get requests, as this process knows it. */
export interface RolloutsAdopted {
  readonly event: 'rollouts-adopted';
  readonly revision: number;
  readonly former: number;
  /** Each service with its versions and how far its roll-out is; some of many. */
  readonly services: readonly string[];
  /** The box that told. */
  readonly source: string;
}

/** This edge sends nothing more to a new version, by what it has seen itself. */
export interface ExposureStopped {
  readonly event: 'exposure-stopped';
  readonly service: string;
  /** The number of the order. */
  readonly number: number;
  readonly version: string;
  /** `run` for bad answers in a row, `share` for too many of them. */
  readonly cause: string | undefined;
  /** Requests that it had sent to that version. */
  readonly exposed: number;
}

/** An upstream's registration changed. */
export interface UpstreamChanged {
  readonly event: 'upstream-changed';
  readonly upstream: string;
  readonly service: string;
  readonly address: string;
  readonly state: string;
  /** When its life began by its own time of day; none where untold. */
  readonly bornAt?: number | undefined;
  readonly sequence: number;
  readonly source: string;
}

/** An upstream has started again: what this edge had with its former life is void. */
export interface UpstreamRestarted {
  readonly event: 'upstream-restarted';
  readonly upstream: string;
  readonly bornAt: number | undefined;
  readonly former: number | undefined;
  /** Requests of this edge that were open at the former life. */
  readonly open: number;
}

/** Words of upstreams that were refused for one cause. */
export interface RefusalCount {
  readonly cause: string;
  readonly count: number;
}

/** Words that can't be used came within a second; nothing known has changed. */
export interface UpstreamsRefused {
  readonly event: 'upstreams-refused';
  readonly causes: readonly RefusalCount[];
  /** The id that the newest of them named, cut where it is long. */
  readonly upstream: string;
  /** How many were refused since the process started. */
  readonly total: number;
}

/** A box that this one depends on was lost or came back. */
export interface DependencyChanged {
  readonly event: 'dependency-changed';
  /** The box that was lost or came back. */
  readonly peer: string;
  readonly reachable: boolean;
  readonly lastAnswerAgeMs: number | undefined;
}

/** This replica's part in the log changed. */
export interface RoleChanged {
  readonly event: 'role-changed';
  readonly role: string;
  readonly term: number;
  readonly leader: string | undefined;
}

/** An edge reads requests late, or does so no more. */
export interface BacklogChanged {
  readonly event: 'backlog-changed';
  /** `behind` or `caught-up`. */
  readonly phase: string;
  /** The greatest time that a connection accepted now has waited. */
  readonly ageMs: number;
  /** Requests being served. */
  readonly open: number;
}

/** An edge leaves new connections to the others of its hall, or may not. */
export interface StepAsideDecided {
  readonly event: 'step-aside-decided';
  /** `aside`, `refused` by the others, or `back`. */
  readonly outcome: string;
  readonly ageMs: number;
  /** How many of the others agreed, and how many were asked. */
  readonly agreed: number;
  readonly asked: number;
}

/** Start, stop, reload and readiness of the process itself. */
export interface ProcessChanged {
  readonly event: 'process-changed';
  readonly phase: string;
  readonly detail: string;
}

/** Any line. */
export type Decision =
  | AllowanceMoved
  | AnswersCounted
  | AttemptFailed
  | BacklogChanged
  | ChangeDecided
  | ConfigurationAdopted
  | ConfigurationOverdue
  | CrashesReported
  | CrossingChanged
  | DependencyChanged
  | EvacuationDecided
  | EvacuationsAdopted
  | ExposureCounted
  | ExposureStopped
  | GrantsCounted
  | LeaderHeard
  | PermitsCounted
  | ProcessChanged
  | QuarantineAdopted
  | RequestEnded
  | RoleChanged
  | RolloutDecided
  | RolloutJudged
  | RolloutsAdopted
  | StepAsideDecided
  | TokensCounted
  | TokensWrittenOff
  | UpstreamChanged
  | UpstreamCrashed
  | UpstreamJudged
  | UpstreamLimited
  | UpstreamRestarted
  | UpstreamTold
  | UpstreamsRefused;
