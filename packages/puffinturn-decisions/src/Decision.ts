/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Types of the structured log lines. A line contains the inputs of a decision, their
 * age or version, and the outcome. Times are in milliseconds.
 */

interface RequestDecision {
  /** Request id sent by the caller. */
  readonly request: string;
  /** Configuration version used for the decision. */
  readonly configuration: number;
  /**
   * Time since when the configuration and the upstreams used for the decision may lack what
   * the control plane had acknowledged; undefined if it is not known.
   */
  readonly stateAgeMs?: number | undefined;
}

/** An edge's view of a team's token balance; amounts in tokens. */
export interface TokenState {
  /** Tokens held by this edge, including reserved tokens. */
  readonly held: number;
  readonly reserved: number;
  /** Edge that holds the team's tokens for this hall. */
  readonly holder: string;
  /** Tokens that the control plane could still grant at the last exchange with it. */
  readonly left: number | undefined;
  /** Time since that exchange. */
  readonly leftAgeMs: number | undefined;
  /** Whether the control plane replied in the last attempted exchange. */
  readonly coreAnswers: boolean;
}

/** A request ended; contains the response sent to the caller. */
export interface RequestEnded extends RequestDecision {
  readonly event: 'request-ended';
  readonly route: string;
  /** Host and path, cut short, of a request that no route matches. */
  readonly target?: string | undefined;
  readonly team: string | undefined;
  readonly status: number;
  /** Reason for the status; `served` if the response came from an upstream. */
  readonly cause: string;
  readonly upstream: string | undefined;
  /** Age of this edge's record of that upstream when the request was sent to it. */
  readonly upstreamAgeMs?: number | undefined;
  readonly attempts: number;
  readonly tookMs: number;
  readonly events: number;
  /** Tokens charged to the team. */
  readonly charged: number;
  /** Hash shared by identical requests; set only if it was computed. */
  readonly fingerprint?: string | undefined;
  /** The quarantined prompt part for which the request was rejected. */
  readonly quarantinedPart?: string | undefined;
  /** First few upstreams that were skipped because no permit was available. */
  readonly heldBackBy?: readonly string[] | undefined;
  /** Token balance that caused a rejection for insufficient tokens. */
  readonly tokens?: TokenState | undefined;
}

/** An attempt at an upstream failed without a complete response. */
export interface AttemptFailed extends RequestDecision {
  readonly event: 'attempt-failed';
  readonly upstream: string;
  /** Age of this edge's record of that upstream when the request was sent to it. */
  readonly upstreamAgeMs: number | undefined;
  readonly cause: string;
  /** Whether the upstream may have started to process the request. */
  readonly mayHaveRun: boolean;
  readonly retry: boolean;
  /** This edge's requests in flight at that upstream. */
  readonly inFlight: number;
  /** Hash shared by identical requests; set only if the request may have run. */
  readonly fingerprint?: string | undefined;
  /** Events that this attempt relayed; set only if the request may have run. */
  readonly events?: number | undefined;
  /** First few parts of the prompt; set only if the request may have run. */
  readonly promptParts?: readonly string[] | undefined;
}

/** The response of an upstream ended with its connection, or inside an event. */
export interface ResponseEnded extends RequestDecision {
  readonly event: 'response-ended';
  readonly upstream: string;
  readonly status: number;
  /** How the end of the body is marked: `length`, `chunked` or `connection`. */
  readonly framing: string;
  /** Size of the incomplete event at the end, bytes. */
  readonly partialEventBytes: number;
  /**
   * What the edge found of the upstream after the end of the connection: `listens`,
   * `leaving`, `crashed` or `unknown`; undefined if the edge did not check.
   */
  readonly evidence: string | undefined;
  /** Whether the response counts as complete. */
  readonly complete: boolean;
}

/** How it was decided where a stream that a caller resumes may go on. */
export const RESUMPTION_OUTCOME = {
  /** At the only version of the service before another one appeared. */
  formerVersion: 'former-version',
  /** At the version that began it, as recorded by the edge that served it. */
  found: 'found',
  /** Refused: the route no longer sends requests to the service that began it. */
  serviceRemoved: 'service-removed',
  /** At the only version of the service. */
  soleVersion: 'sole-version',
  /** Refused: the version that began it is not known. */
  unknown: 'unknown',
} as const;

/** One of RESUMPTION_OUTCOME. */
export type ResumptionOutcome =
  (typeof RESUMPTION_OUTCOME)[keyof typeof RESUMPTION_OUTCOME];

/** A caller resumes a stream; this edge decided where it may go on. */
export interface StreamMatched extends RequestDecision {
  readonly event: 'stream-matched';
  /** ID of the request that brought the first event; undefined if it is not named. */
  readonly stream: string | undefined;
  readonly lastEventId: string | undefined;
  readonly outcome: ResumptionOutcome;
  readonly service: string;
  /** Version at which the stream may go on; undefined if it is not known. */
  readonly version: string | undefined;
  /** Result of the lookup at the edges that may know; undefined without an ID. */
  readonly lookup: string | undefined;
  /** Box that knew the version, and the age of its record. */
  readonly source: string | undefined;
  readonly ageMs: number | undefined;
  /** Versions of the service that this edge has known lately. */
  readonly known: readonly string[];
  /** Those that a control box replied with; undefined if none did. */
  readonly confirmed: readonly string[] | undefined;
  /** Whether another edge replied that its list of versions is complete. */
  readonly leaseReplied: boolean | undefined;
  /** Share of the edges that told their lists of versions; undefined if none was asked. */
  readonly listShare: number | undefined;
  /** Revision of the list of versions of this edge, and time since it was confirmed, ms. */
  readonly revision: number | undefined;
  readonly stateAgeMs: number | undefined;
  readonly tookMs: number;
}

/** A stream is sent to an upstream, and the version is recorded at other edges. */
export interface StreamBound {
  readonly event: 'stream-bound';
  readonly request: string;
  /** ID of the request that brought the first event. */
  readonly stream: string;
  /** Number of the attempt within the request, from 1. */
  readonly attempt: number;
  readonly service: string;
  readonly upstream: string;
  readonly version: string;
}

/** An attempt continues a stream of which the caller has received events. */
export interface StreamResumed extends RequestDecision {
  readonly event: 'stream-resumed';
  /** ID of the request that brought the first event; undefined if it is not named. */
  readonly stream: string | undefined;
  /** Whether the caller sent a new request, or the edge made another attempt. */
  readonly by: 'caller' | 'edge';
  readonly lastEventId: string | undefined;
  /** Upstream that the attempt is sent to, and its software version. */
  readonly upstream: string;
  readonly version: string;
}

/** An upstream reported a drain, a back-off or a rate limit in a response. */
export interface UpstreamStatusChanged extends RequestDecision {
  readonly event: 'upstream-told';
  readonly upstream: string;
  /** HTTP status of that response. */
  readonly status: number;
  /** Whether the upstream is draining. */
  readonly leaving: boolean;
  /** Back-off requested from this edge; undefined if none was requested. */
  readonly restMs: number | undefined;
  /** Rate limit in requests per second; undefined if there is none. */
  readonly limitPerS?: number | undefined;
  /** State and sequence number of the newest heartbeat received from it. */
  readonly state: string;
  readonly sequence: number;
}

/** This process adopted an upstream's rate limit that another box reported. */
export interface UpstreamLimitChanged {
  readonly event: 'upstream-limited';
  readonly upstream: string;
  /** Requests per second from all boxes together; undefined if there is no limit. */
  readonly perSecond: number | undefined;
  /** Increases with each change of the limit seen by any box. */
  readonly revision: number;
  /** Box that sent the update. */
  readonly source: string;
}

/** Permits for one upstream that this edge granted to all edges. */
export interface PermitTotals {
  readonly event: 'permits-counted';
  readonly upstream: string;
  /** The upstream's rate limit in requests per second, as known to this edge. */
  readonly perSecond: number;
  /** Count since the previous line of this type. */
  readonly granted: number;
  readonly refused: number;
}

/** An upstream crashed while requests of this edge were in flight. */
export interface UpstreamCrashed {
  readonly event: 'upstream-crashed';
  readonly upstream: string;
  readonly bornAt: number | undefined;
  /** Number of distinct requests of this edge that were in flight. */
  readonly count: number;
  /** Fingerprints of the first few of these requests. */
  readonly fingerprints: readonly string[];
  /** First few prompt parts of requests without an answer so far. */
  readonly parts?: readonly string[] | undefined;
}

/** An upstream became ineligible for selection, or eligible again. */
export interface UpstreamHealthChanged {
  readonly event: 'upstream-judged';
  readonly upstream: string;
  readonly usable: boolean;
  readonly cause: string;
  readonly failures: number;
}

/** The bytes of an upstream cost much work; what was read since the last such line. */
export interface CostlyReads {
  readonly event: 'costly-reads';
  readonly upstream: string;
  /** Iterations of the event loop in which a connection brought too many pieces or took long. */
  readonly iterations: number;
  readonly reads: number;
  readonly bytes: number;
  /** Chunks of bodies, frames and responses, which were handled one by one. */
  readonly pieces: number;
  /** Time for which these reads kept the event loop. */
  readonly tookMs: number;
  /** The longest time in one iteration. */
  readonly maxTookMs: number;
}

/** The upstreams of a service announced that they crash under rejections, or no longer. */
export interface ServiceBrittlenessChanged {
  readonly event: 'service-brittle';
  readonly service: string;
  /** Rejections a second that each of them bears, as announced; undefined for any. */
  readonly rejectionsPerS: string | undefined;
  readonly former: string | undefined;
}

/** This edge lost its links to all upstreams of a service, or reaches some again. */
export interface UpstreamLinksChanged {
  readonly event: 'links-judged';
  readonly service: string;
  /** Whether some upstream could be reached. */
  readonly reachable: boolean;
  /** Time since the loss; undefined at its begin. */
  readonly lostMs: number | undefined;
  /** Number of upstreams that are reached through other edges only. */
  readonly lost: number;
  /** Number of upstreams of the service that this edge knows. */
  readonly known: number;
  /** Number of upstreams that were probed for this decision. */
  readonly probed: number;
  /** Time for which nothing had arrived from the service, ms. */
  readonly silentMs: number;
}

/** This edge looked for a way around links that hang, by other edges. */
export interface BypassJudged {
  readonly event: 'bypass-judged';
  readonly service: string;
  /** Whether another edge connected to an upstream before this one could. */
  readonly bypass: boolean;
  /** Whether this edge could connect to the upstream meanwhile. */
  readonly reachable: boolean;
  /** Time since the loss of the links was found, ms. */
  readonly lostMs: number;
  /** Time for which nothing had arrived from the service, ms. */
  readonly silentMs: number;
  /** Time until other edges had replied, ms. */
  readonly tookMs: number;
  /** Number of requests that wait for responses of the service. */
  readonly waiting: number;
}

/** A request for a tunnel to an upstream through another edge was answered. */
export interface TunnelDecided {
  readonly event: 'tunnel-decided';
  readonly request: string;
  /** `asks` at the edge that has the caller, `carries` at the other one. */
  readonly role: 'asks' | 'carries';
  /** The other edge. */
  readonly peer: string;
  readonly upstream: string;
  readonly outcome: string;
  readonly tookMs: number;
  /** Open tunnels: to that edge if this one asks, for all others if it carries. */
  readonly tunnels: number;
}

/** Tokens of a team were added to or removed from this edge. */
export interface TokenBalanceChanged {
  readonly event: 'allowance-moved';
  readonly team: string;
  readonly source: string;
  readonly amount: number;
  readonly held: number;
  readonly reserved: number;
  /** Tokens that the control plane could still grant at the last exchange with it. */
  readonly left: number | undefined;
  /** Incarnation of the other edge in a transfer between edges. */
  readonly peer?: string | undefined;
}

/** Number of responses with one status and cause within a second. */
export interface ResponseCount {
  readonly status: number;
  readonly cause: string;
  readonly count: number;
}

/** All responses of an edge in the previous second, including those not logged. */
export interface ResponseTotals {
  readonly event: 'answers-counted';
  readonly answers: readonly ResponseCount[];
}

/** A team's tokens at one edge. */
export interface TeamTokenCounts {
  readonly team: string;
  /** Tokens held by this edge, including reserved tokens. */
  readonly held: number;
  readonly reserved: number;
  /** Tokens charged to the team by this edge since the process started. */
  readonly charged: number;
}

/** Tokens at one edge: totals of all teams, and the teams with the largest amounts. */
export interface TokenTotals {
  readonly event: 'tokens-counted';
  readonly held: number;
  readonly reserved: number;
  readonly charged: number;
  readonly teams: readonly TeamTokenCounts[];
}

/** A number of tokens of one team. */
export interface TeamTokenAmount {
  readonly team: string;
  readonly amount: number;
}

/** Tokens that the control plane has granted from a team's budget. */
export interface TeamGrantCounts {
  readonly team: string;
  readonly prepaid: number;
  /** Tokens held by edges or spent. */
  readonly granted: number;
  /** Granted tokens that edges hold and that no request has reserved. */
  readonly held: number;
}

/** Grants of the teams that requested tokens since the previous line. */
export interface GrantedTokenTotals {
  readonly event: 'grants-counted';
  readonly teams: readonly TeamGrantCounts[];
}

/** An edge restarted: what became of the tokens of its previous incarnation. */
export interface EndedTokens {
  /** Reclaimed tokens were provably left; written-off ones count as spent. */
  readonly event: 'tokens-reclaimed' | 'tokens-written-off';
  /** Name of the edge's box. */
  readonly edge: string;
  /** Tokens of all teams. */
  readonly amount: number;
  readonly teams: readonly TeamTokenAmount[];
}

/** This process switched to another configuration. */
export interface ConfigurationAdopted {
  readonly event: 'configuration-adopted';
  readonly version: number;
  readonly former: number | undefined;
  readonly source: string;
  /** Digest of the content, to compare with `configuration-applied` of control boxes. */
  readonly digest: number;
  /** Longest time for which the source may have had the version, ms. */
  readonly delayMs: number | undefined;
}

/** A control box applied a configuration from the log. */
export interface ConfigurationApplied {
  readonly event: 'configuration-applied';
  readonly version: number;
  /** Digest of the content. */
  readonly digest: number;
}

/** A difference did not lead to the content that its sender has; it was discarded. */
export interface ConfigurationMismatch {
  readonly event: 'configuration-mismatch';
  readonly base: number;
  readonly version: number;
  readonly digest: number;
  readonly expectedDigest: number;
  readonly source: string;
}

/** A control box announced a configuration version that this process lacks. */
export interface ConfigurationOverdue {
  readonly event: 'configuration-overdue';
  readonly version: number;
  /** Current version of this process; undefined before the first one. */
  readonly held: number | undefined;
  /** Time since a missing version was first announced. */
  readonly behindMs: number;
  /** Control box that announced the version. */
  readonly source: string;
}

/**
 * The state that an edge acts on became so old that it asks every control box, or was
 * confirmed again.
 */
export interface StateOutdated {
  readonly event: 'state-outdated';
  readonly outdated: boolean;
  /** Version of the configuration in force. */
  readonly configuration: number;
  /** Time since the configuration was confirmed; undefined if it never was. */
  readonly configurationAgeMs: number | undefined;
  /** Time since the upstreams were confirmed; undefined if they never were. */
  readonly upstreamsAgeMs: number | undefined;
  /** The control boxes and the time since their last replies. */
  readonly replyAgesMs: readonly {
    readonly peer: string;
    readonly ageMs: number | undefined;
    /** Whether that reply said that the box follows the quorum. */
    readonly followsQuorum: boolean;
  }[];
}

/** A control box polled for updates lost contact with the leader or regained it. */
export interface LeaderVisibilityChanged {
  readonly event: 'leader-heard';
  /** Name of the control box. */
  readonly peer: string;
  /** Leader known to it; undefined if it may be partitioned from the quorum. */
  readonly leader: string | undefined;
}

/** The replicated log accepted or rejected a crash report. */
export interface CrashesReported {
  readonly event: 'crashes-reported';
  /** Edge that sent the report, or the leader if it ends a quarantine. */
  readonly edge: string;
  /** Number of upstream incarnations that crashed. */
  readonly count: number;
  /** The first few of these incarnations. */
  readonly crashes: readonly string[];
  /** Number of suspect requests that received a complete response. */
  readonly answered: number;
  /** The first few prompt parts with which an answer began. */
  readonly answeredParts?: readonly string[] | undefined;
  /** `accepted` if a quorum stored it, otherwise the reason for the failure. */
  readonly outcome: string;
  /** Number of quarantined requests after the report; undefined if it failed. */
  readonly quarantined: number | undefined;
}

/** The leader quarantined a request or prompt part, or ended its quarantine. */
export interface QuarantineChanged {
  readonly event: 'quarantine-changed';
  /** Fingerprint of the request, or service, ID and team of the prompt part. */
  readonly entry: string;
  readonly quarantined: boolean;
  /** Start of the quarantine, Unix ms. */
  readonly since: number;
  /** Incarnations of upstreams that crashed, as far as known. */
  readonly crashes: readonly string[] | undefined;
}

/** A control box answered an operator's order to end a quarantine. */
export interface QuarantineRelease {
  readonly event: 'quarantine-release';
  /** As in the order; shortened. */
  readonly entry: string;
  /** Whether this box listed the entry when the order came. */
  readonly listed: boolean;
  readonly outcome: 'released' | 'unavailable' | 'unknown';
}

/** The replicated list of versions was changed, or not, by this leader. */
export interface VersionDecided {
  readonly event: 'version-decided';
  readonly service: string;
  /** Empty if the upstreams name none. */
  readonly version: string;
  /** `added`, `removed`, or the reason for the failure. */
  readonly outcome: string;
}

/** This edge adopted a new list of the versions of all services. */
export interface VersionsAdopted {
  readonly event: 'versions-adopted';
  readonly revision: number;
  /** Undefined if there was none. */
  readonly former: number | undefined;
  /** Services with several versions, and these, the oldest first. */
  readonly several: Readonly<Record<string, readonly string[]>>;
}

/** This process adopted a new list of quarantined requests. */
export interface QuarantineAdopted {
  readonly event: 'quarantine-adopted';
  readonly revision: number;
  readonly former: number;
  readonly count: number;
  /** Number of requests that one more crash would quarantine. */
  readonly suspects: number;
  /** The most recently quarantined fingerprint. */
  readonly newest: string | undefined;
  /** Box that sent the update. */
  readonly source: string;
}

/** An operator's configuration change was accepted or rejected. */
export interface ConfigurationChangeDecided {
  readonly event: 'change-decided';
  readonly version: number | undefined;
  readonly held: number | undefined;
  readonly outcome: string;
}

/** A request to start or end the evacuation of a hall was accepted or rejected. */
export interface EvacuationDecided {
  readonly event: 'evacuation-decided';
  readonly hall: string;
  /** Requested state: true to evacuate the hall, false to return it to service. */
  readonly evacuated: boolean;
  /**
   * `accepted` if a quorum stored it, `outdated` if the hall has changed since a control box
   * received it, otherwise the reason for the failure.
   */
  readonly outcome: string;
  readonly revision: number | undefined;
}

/** This process adopted a new list of evacuated halls. */
export interface EvacuationsAdopted {
  readonly event: 'evacuations-adopted';
  readonly halls: readonly string[];
  readonly revision: number;
  readonly former: number;
  /** Box that sent the update. */
  readonly source: string;
}

/** An operator's rollout order was accepted or rejected. */
export interface RolloutDecided {
  readonly event: 'rollout-decided';
  readonly service: string;
  readonly targetVersion: string;
  /** `accepted` if a quorum stored it, otherwise the reason for the failure. */
  readonly outcome: string;
  /** Number of the service's newest rollout order. */
  readonly number: number | undefined;
}

/** Responses of one service version on one route; `*` stands for all routes. */
export interface VersionResponseCounts {
  readonly route: string;
  readonly version: string;
  readonly answers: number;
  readonly failures: number;
  /** Responses that took much longer than expected. */
  readonly slow: number;
}

/** The leader advanced or ended a rollout. */
export interface RolloutEvaluated {
  readonly event: 'rollout-judged';
  readonly service: string;
  readonly targetVersion: string;
  readonly number: number;
  readonly state: string;
  readonly cause: string;
  /** Time since the rollout order. */
  readonly elapsedMs: number;
  readonly figures: readonly VersionResponseCounts[];
  /** `accepted` if a quorum stored it, otherwise the reason for the failure. */
  readonly outcome: string;
}

/** Exposure of an active rollout, as known to the leader; counts of requests. */
export interface ExposureTotals {
  readonly event: 'exposure-counted';
  readonly service: string;
  readonly number: number;
  /** Requests to the service since the rollout order. */
  readonly requests: number;
  /** Requests among these that were sent to the new version. */
  readonly exposed: number;
  /** Requests that edges were allowed to send to the new version. */
  readonly granted: number;
  /** Maximum number of requests that may be granted at this time. */
  readonly budget: number;
}

/** An edge started or stopped sending a service's requests to another region. */
export interface CrossRegionRoutingChanged {
  readonly event: 'crossing-changed';
  readonly service: string;
  readonly crossing: boolean;
  /** Requests sent to another region since it started. */
  readonly requests: number;
}

/** This process adopted new rollout states. */
export interface RolloutsAdopted {
  readonly event: 'rollouts-adopted';
  readonly revision: number;
  readonly former: number;
  /** Services with their versions and rollout progress; truncated if there are many. */
  readonly services: readonly string[];
  /** Box that sent the update. */
  readonly source: string;
}

/** This edge stopped sending requests to a new version after failed responses. */
export interface ExposureStopped {
  readonly event: 'exposure-stopped';
  readonly service: string;
  /** Number of the rollout order. */
  readonly number: number;
  readonly version: string;
  /** `run` for consecutive bad responses, `share` for a high fraction of them. */
  readonly cause: string | undefined;
  /** Requests that this edge sent to that version. */
  readonly exposed: number;
}

/** An upstream's registration changed. */
export interface UpstreamChanged {
  readonly event: 'upstream-changed';
  readonly upstream: string;
  readonly service: string;
  readonly address: string;
  readonly state: string;
  /** Software version; undefined if it was not reported. */
  readonly version?: string | undefined;
  /** Start time by the upstream's clock; undefined if it was not reported. */
  readonly bornAt?: number | undefined;
  readonly sequence: number;
  readonly source: string;
}

/**
 * This control box replied to an upstream that announced its departure, by a draining
 * heartbeat or a deregistration.
 */
export interface DepartureDecided {
  readonly event: 'departure-decided';
  readonly upstream: string;
  /** State that the upstream announced. */
  readonly state: string;
  /** Start time that the upstream reported; undefined if it reported none. */
  readonly bornAt: number | undefined;
  /** State of the upstream at this box before; undefined if it was unknown. */
  readonly former: string | undefined;
  /** Age of the newest record of the upstream at this box before. */
  readonly formerAgeMs: number | undefined;
  /** `acknowledged`, or the reason why the upstream has to call another control box. */
  readonly outcome: string;
  readonly tookMs: number;
  /** Leader of the replicated log that this box was in contact with. */
  readonly leader: string | undefined;
}

/** An upstream restarted; this edge discards the state of its previous incarnation. */
export interface UpstreamRestarted {
  readonly event: 'upstream-restarted';
  readonly upstream: string;
  readonly bornAt: number | undefined;
  readonly former: number | undefined;
  /** Whether it is not sent to: it is gone, or has probably sent a drain notice already. */
  readonly leaving: boolean;
  /** This edge's requests in flight at the previous incarnation. */
  readonly open: number;
}

/** Number of heartbeats rejected for one cause. */
export interface RejectionCount {
  readonly cause: string;
  readonly count: number;
}

/** Invalid heartbeats received within a second; they change no state. */
export interface HeartbeatsRejected {
  readonly event: 'upstreams-refused';
  readonly causes: readonly RejectionCount[];
  /** Upstream id in the newest rejected heartbeat, truncated to a maximum length. */
  readonly upstream: string;
  /** Heartbeats rejected since the process started. */
  readonly total: number;
}

/** A box that this process depends on became unreachable or reachable again. */
export interface DependencyChanged {
  readonly event: 'dependency-changed';
  /** Name of that box. */
  readonly peer: string;
  readonly reachable: boolean;
  readonly lastAnswerAgeMs: number | undefined;
}

/** The disk of a control box refused a write, or takes writes again. */
export interface DiskChanged {
  readonly event: 'disk-changed';
  readonly writable: boolean;
  /** Why it refused. */
  readonly detail: string | undefined;
  /** Number of writes in a row that have failed. */
  readonly failedWrites: number;
}

/** This replica's role in the replicated log changed. */
export interface RoleChanged {
  readonly event: 'role-changed';
  readonly role: string;
  readonly term: number;
  readonly leader: string | undefined;
}

/** An edge became overloaded or caught up with its connection backlog. */
export interface BacklogChanged {
  readonly event: 'backlog-changed';
  /** `behind` or `caught-up`. */
  readonly phase: string;
  /** Upper bound of the waiting time of a connection accepted now. */
  readonly ageMs: number;
  /** Requests in flight. */
  readonly open: number;
}

/** Clients met limits of a server since the last such line. */
export interface ClientsLimited {
  readonly event: 'clients-limited';
  /** `callers`, `readiness`, `metrics` or `control`. */
  readonly address: string;
  /** How often, by limit. */
  readonly counts: Readonly<Record<string, number>>;
  /** Connections that are open now. */
  readonly connections: number;
  /** Memory of request bodies that is in use now. */
  readonly bodyBytes: number;
}

/** An overloaded edge withdrew from load balancing, was refused, or rejoined. */
export interface OverloadWithdrawalDecided {
  readonly event: 'step-aside-decided';
  /** `aside` if it withdrew, `refused` if its peers refused, `back` if it rejoined. */
  readonly outcome: string;
  /** Upper bound of the waiting time of a connection accepted now. */
  readonly ageMs: number;
  /** Number of peers that approved. */
  readonly agreed: number;
  /** Number of peers asked for approval. */
  readonly asked: number;
}

/** The process started, stopped, reloaded or changed its readiness. */
export interface ProcessChanged {
  readonly event: 'process-changed';
  readonly phase: string;
  readonly detail: string;
}

/** Any structured log line. */
export type Decision =
  | TokenBalanceChanged
  | ResponseTotals
  | AttemptFailed
  | BacklogChanged
  | ClientsLimited
  | ConfigurationChangeDecided
  | ConfigurationAdopted
  | ConfigurationApplied
  | ConfigurationMismatch
  | ConfigurationOverdue
  | CostlyReads
  | CrashesReported
  | CrossRegionRoutingChanged
  | DepartureDecided
  | DependencyChanged
  | DiskChanged
  | EvacuationDecided
  | EvacuationsAdopted
  | ExposureTotals
  | ExposureStopped
  | GrantedTokenTotals
  | LeaderVisibilityChanged
  | StateOutdated
  | PermitTotals
  | ProcessChanged
  | QuarantineAdopted
  | VersionDecided
  | VersionsAdopted
  | QuarantineChanged
  | QuarantineRelease
  | RequestEnded
  | ResponseEnded
  | RoleChanged
  | RolloutDecided
  | RolloutEvaluated
  | RolloutsAdopted
  | StreamBound
  | StreamMatched
  | StreamResumed
  | OverloadWithdrawalDecided
  | TokenTotals
  | ServiceBrittlenessChanged
  | EndedTokens
  | TunnelDecided
  | UpstreamChanged
  | UpstreamCrashed
  | UpstreamHealthChanged
  | UpstreamLimitChanged
  | BypassJudged
  | UpstreamLinksChanged
  | UpstreamRestarted
  | UpstreamStatusChanged
  | HeartbeatsRejected;
