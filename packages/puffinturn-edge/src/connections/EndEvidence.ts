/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Looks for evidence of a crash where a response ended with its connection. The end of the
 * connection is the only mark of the end of such a response, but the connections of a
 * process that crashes end in the same way.
 */
import {LISTENER_STATE} from 'puffinturn-quarantine';
import type {Clock} from 'shared';

import type {EdgeUpstream} from '../upstreams/EdgeUpstream';

/** Time in which this edge hears of a deregistration, ms. */
const MAX_DEREGISTRATION_DELAY_MS = 500;

const DEREGISTRATION_POLL_INTERVAL_MS = 20;

/** What is known of an upstream after it ended a connection. */
export const END_EVIDENCE = {
  /** It still listens, so its process goes on. */
  listening: 'listens',
  /** It was shutting down and still listened, or has shut down in order. */
  leaving: 'leaving',
  /** It no longer listens or was replaced, without an orderly shutdown. */
  crashed: 'crashed',
  /** Nobody could tell. */
  unknown: 'unknown',
} as const;

/** A value of END_EVIDENCE. */
export type EndEvidence = (typeof END_EVIDENCE)[keyof typeof END_EVIDENCE];

/** How to check the end of a response that ended with its connection. */
export interface EndCheck {
  readonly find: () => Promise<EndEvidence>;
  /** Whether the request may be sent again. */
  readonly isRepeatable: boolean;
}

/**
 * Whether a response that ended with its connection is complete. While the upstream shuts
 * down, a successor may listen in its place, so this counts only if the request can't be
 * sent again.
 */
export function isCompleteEnd(
  evidence: EndEvidence,
  isRepeatable: boolean,
): boolean {
  return (
    evidence === END_EVIDENCE.listening ||
    (evidence === END_EVIDENCE.leaving && !isRepeatable)
  );
}

/** What tells an orderly shutdown from a crash. */
export interface ShutdownTiming {
  readonly clock: Clock;
  /** Time for which an upstream keeps serving after it announced its shutdown, ms. */
  readonly drainMs: number;
}

/**
 * What is known of an upstream that listens, here or as another edge has seen: a successor
 * may listen in its place. `sentAt` is when the request was sent, monotonic ms.
 */
export function evidenceOfListener(
  upstream: EdgeUpstream,
  sentAt: number,
): EndEvidence {
  if (hasCrashed(upstream, sentAt)) {
    return END_EVIDENCE.crashed;
  }
  return upstream.isLeaving ? END_EVIDENCE.leaving : END_EVIDENCE.listening;
}

/** Whether the process that a request was sent to has crashed since, as this edge knows. */
function hasCrashed(upstream: EdgeUpstream, sentAt: number): boolean {
  return upstream.isSuperseded || upstream.hasCrashedSince(sentAt);
}

/**
 * Checks an upstream that has just ended the connection of a request sent at `sentAt`,
 * monotonic ms. `askOther` lets another edge check it, if this one can't tell; until that has
 * answered, the process may have crashed and another one may listen.
 */
export async function findEndEvidence(
  upstream: EdgeUpstream,
  sentAt: number,
  timing: ShutdownTiming,
  areLinksLost: () => boolean,
  askOther: () => Promise<EndEvidence> = async () => END_EVIDENCE.unknown,
): Promise<EndEvidence> {
  const state = areLinksLost()
    ? LISTENER_STATE.unknown
    : await upstream.connections.probe();
  if (hasCrashed(upstream, sentAt)) {
    return END_EVIDENCE.crashed;
  }
  if (state === LISTENER_STATE.listening) {
    return evidenceOfListener(upstream, sentAt);
  }
  if (state !== LISTENER_STATE.refused || areLinksLost()) {
    const seen = await askOther();
    return seen === END_EVIDENCE.listening
      ? evidenceOfListener(upstream, sentAt)
      : seen;
  }
  return (await hasShutDown(upstream, timing))
    ? END_EVIDENCE.leaving
    : END_EVIDENCE.crashed;
}

/**
 * Whether an upstream that refuses connections has shut down in order. It then deregistered
 * before its end, which a process that crashes doesn't do; the news takes a moment.
 */
async function hasShutDown(
  upstream: EdgeUpstream,
  {clock, drainMs}: ShutdownTiming,
): Promise<boolean> {
  const deadline = clock.now() + MAX_DEREGISTRATION_DELAY_MS;
  while (
    upstream.isLeaving &&
    !upstream.hasDeregistered &&
    clock.now() < deadline
  ) {
    await clock.sleep(DEREGISTRATION_POLL_INTERVAL_MS);
  }
  return upstream.mayHaveShutDown(drainMs);
}
