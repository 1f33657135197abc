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

import type {EdgeUpstream} from '../upstreams/EdgeUpstream';

/** What is known of an upstream after it ended a connection. */
export const END_EVIDENCE = {
  /** It still listens, so its process goes on. */
  listening: 'listens',
  /** It had announced its shutdown; a successor may listen in its place. */
  leaving: 'leaving',
  /** It no longer listens or was replaced, without an announced shutdown. */
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
 * Whether a response that ended with its connection is complete. An announced shutdown
 * counts only if the request can't be sent again: it explains the end, but a process may
 * also crash while it shuts down.
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

/**
 * Checks an upstream that has just ended a connection. `askOther` lets another edge check
 * it, if this one can't tell.
 */
export async function findEndEvidence(
  upstream: EdgeUpstream,
  areLinksLost: () => boolean,
  askOther: () => Promise<EndEvidence> = async () => END_EVIDENCE.unknown,
): Promise<EndEvidence> {
  const state = areLinksLost()
    ? LISTENER_STATE.unknown
    : await upstream.connections.probe();
  if (upstream.isSuperseded) {
    return END_EVIDENCE.crashed;
  }
  if (upstream.isLeaving) {
    return END_EVIDENCE.leaving;
  }
  if (state === LISTENER_STATE.listening) {
    return END_EVIDENCE.listening;
  }
  const isRefused = state === LISTENER_STATE.refused;
  return isRefused && !areLinksLost() ? END_EVIDENCE.crashed : askOther();
}
