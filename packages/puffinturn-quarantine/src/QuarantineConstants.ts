/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Constants of the quarantine: thresholds, durations and capacities. */

/**
 * Number of crashes after which a request is quarantined. Two are not enough, because a
 * harmless request can be in flight at two crashes by chance: on a day with 33 crashes,
 * 12 of 196 requests in flight at a crash were at two, and none at three.
 */
export const CRASHES_TO_QUARANTINE = 3;

/**
 * Number of crashes after which a prompt part is quarantined with which an answer had begun
 * before. It is then rarely the cause: a part that most requests share is there whatever the
 * cause is, and its quarantine would refuse most requests.
 */
export const CRASHES_TO_QUARANTINE_ANSWERED_PART = 4;

/**
 * Crashes within this time count as simultaneous, ms. Upstreams that lose power
 * together stop within milliseconds, and a request that many callers send is in flight
 * at several of them. Reports of them differ by the time of a probe and a log commit.
 */
export const SIMULTANEOUS_CRASH_MS = 250;

/**
 * Number of simultaneous crashes that count. A single event such as a power failure must
 * not quarantine a request. Yet copies of a harmful request also arrive together, and
 * each crash that is not counted costs another upstream.
 */
export const MAX_SIMULTANEOUS_CRASHES = 2;

/**
 * Incarnations stored per quarantined entry. They explain the crashes of what was there
 * beside it, also of those that were under way when the quarantine began.
 */
export const MAX_EVIDENCE = 32;

/**
 * Time from the second crash of a prompt part until it may be quarantined, ms. Boxes at
 * which requests with the part were answered since report so within this time.
 */
export const PART_CONFIRMATION_MS = 500;

/**
 * Teams at whose requests upstreams must have crashed before a prompt part is quarantined
 * for all teams. For the teams themselves each crash counts.
 */
export const MIN_TEAMS_FOR_ALL = 2;

/** Maximum number of prompt parts of one request that are tracked. */
export const MAX_PARTS_PER_REQUEST = 32;

/** Longest ID of a prompt part that is kept as it is, characters. */
export const MAX_PART_ID_LENGTH = 64;

/** Prompt parts whose last answer a box remembers; about 200 bytes each. */
export const MAX_ANSWERED_PARTS = 10_000;

/** Incarnations stored per suspect, to count a crash reported by several edges once. */
export const MAX_INCARNATIONS_PER_SUSPECT = 8;

/** How long after its last crash a suspect is dropped, ms. */
export const SUSPECT_TTL_MS = 10 * 60_000;

/**
 * How long a request stays quarantined, ms. It is then tried again, as upstreams may have
 * been fixed or may have crashed for another reason. One more crash quarantines it again,
 * so that a harmful request crashes at most six upstreams an hour.
 */
export const QUARANTINE_DURATION_MS = 10 * 60_000;

/**
 * Successful requests that a box remembers; about 100 bytes each. Those frequent enough
 * to be in flight at several crashes stay among them.
 */
export const MAX_SUCCESSFUL_REQUESTS = 2_000;

/** Maximum number of suspects; about 200 bytes each in the log snapshot. */
export const MAX_SUSPECTS = 2_000;

/** Maximum number of quarantined requests and prompt parts; all of them are sent to every edge. */
export const MAX_QUARANTINED = 256;

/**
 * How long after a local crash requests are looked up before they are sent, ms. Requests
 * that other boxes quarantined or suspect are always looked up.
 */
export const LOOKUP_AFTER_CRASH_MS = 60_000;

/**
 * Maximum number of unreported crashes, and of unreported successes. When more accumulate
 * during a network partition, the oldest are dropped.
 */
export const MAX_UNREPORTED = 500;
