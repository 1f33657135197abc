/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** When requests are quarantined, and how much is kept of them. */

/**
 * Crashes after which a request is quarantined. Two may be bad luck on a day of many
 * crashes: of 196 requests present at a crash on a day with 33 crashes, 12 were
 * present at two and none at three.
 */
export const CRASHES_TO_QUARANTINE = 3;

/**
 * Crashes within this time are at the same moment, ms. Upstreams that lose power
 * together end within milliseconds, and a request that many send is at several of
 * them; reports of one such moment differ by the time of a probe and of a commit.
 */
export const SAME_MOMENT_MS = 250;

/**
 * Crashes at the same moment that count. One moment alone must quarantine none; but
 * copies of a harmful request also come together, and every crash that does not count
 * costs one more upstream.
 */
export const COUNTED_AT_A_MOMENT = 2;

/** Lives kept of one suspect: each edge that saw a crash reports it. */
export const MAX_LIVES = 8;

/** A suspect that no crash has been added to for so long is forgotten, ms. */
export const SUSPICION_MS = 10 * 60_000;

/**
 * A quarantined request is tried again after this time, ms: upstreams may have been
 * mended by then, or may have crashed for another reason. One more crash has it
 * quarantined again, so that a harmful one costs six upstreams an hour.
 */
export const QUARANTINE_MS = 10 * 60_000;

/**
 * Answered requests that one box remembers, some 100 bytes each: those that are asked
 * for often enough to be at several crashes stay among them.
 */
export const MAX_ANSWERED = 2_000;

/** Suspects kept; one takes some 200 bytes of the log's snapshot. */
export const MAX_SUSPECTS = 2_000;

/** Quarantined requests kept; every edge is told all of them. */
export const MAX_QUARANTINED = 256;

/**
 * How long after a crash seen here requests are looked up before they are sent, ms;
 * those that the others have quarantined or suspect are looked up in any case.
 */
export const SUSPECTED_MS = 60_000;

/**
 * Crashes and answers kept while nobody takes reports; the oldest are dropped. A
 * hall's upstreams that crash a few times in a long cut stay below it.
 */
export const MAX_UNTOLD = 500;
