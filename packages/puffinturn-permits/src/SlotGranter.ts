/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Grants the slots of upstreams that must not be overfilled, on one box for all boxes.
 * Each box reports how many requests it has at an upstream, as an absolute number, so that
 * a lost or repeated report does no harm.
 */
import {LRUCache} from 'lru-cache';
import type {Clock} from 'shared';

import {MAX_TRACKED_UPSTREAMS} from './PermitConstants';
import {
  INITIAL_SLOT_SHARE,
  MIN_SLOT_SHARE,
  SECONDARY_SLOT_SHARE,
  SLOT_EXPIRY_MS,
  SLOT_RAMP_MS,
  SLOT_RECOVERY_PER_SECOND,
  URGENT_SLOT_SHARE,
} from './SlotConstants';
import type {SlotReply, SlotRequest} from './SlotMessages';

/** Requests of one box at an upstream. */
interface Holding {
  readonly count: number;
  /** When the box reported it, monotonic ms. */
  readonly reportedAt: number;
}

/** The slots of one incarnation of an upstream. */
interface SlotState {
  readonly createdAt: number;
  readonly holdings: Map<string, Holding>;
  /** Slots that are not granted because of rejections, and since when, monotonic ms. */
  lowered: number;
  loweredAt: number;
}

/** Grants slots on one box. */
export class SlotGranter {
  private readonly states = new LRUCache<string, SlotState>({
    max: MAX_TRACKED_UPSTREAMS,
  });

  constructor(private readonly clock: Clock) {}

  /** Handles a request; `rank` is 0 at the primary granter of the upstream. */
  grant(request: SlotRequest, box: string, rank: number): SlotReply {
    const now = this.clock.now();
    const state = this.getState(request.incarnationId, now);
    recordRejections(state, request, now);
    state.holdings.set(box, {count: request.held, reportedAt: now});
    const free =
      availableSlots(state, request, rank, now) - countHeld(state, now);
    const granted = Math.max(0, Math.min(request.wanted, Math.floor(free)));
    const count = request.held + granted;
    state.holdings.set(box, {count, reportedAt: now});
    return {granted};
  }

  private getState(incarnationId: string, now: number): SlotState {
    const existing = this.states.get(incarnationId);
    if (existing !== undefined) {
      return existing;
    }
    const state: SlotState = {
      createdAt: now,
      holdings: new Map(),
      lowered: 0,
      loweredAt: now,
    };
    this.states.set(incarnationId, state);
    return state;
  }
}

/** Lowers the slots by the rejections, after giving some back for the time since. */
function recordRejections(
  state: SlotState,
  {rejected, slots}: SlotRequest,
  now: number,
): void {
  const recovered =
    ((now - state.loweredAt) / 1_000) * SLOT_RECOVERY_PER_SECOND;
  const lowered = Math.max(0, state.lowered - recovered) + rejected;
  state.lowered = Math.min(lowered, slots * (1 - MIN_SLOT_SHARE));
  state.loweredAt = now;
}

/** Slots that may be in use now. */
function availableSlots(
  {createdAt, lowered}: SlotState,
  {isLeastUrgent, slots}: SlotRequest,
  rank: number,
  now: number,
): number {
  const ramp = Math.min(1, (now - createdAt) / SLOT_RAMP_MS);
  const rampShare = INITIAL_SLOT_SHARE + (1 - INITIAL_SLOT_SHARE) * ramp;
  const rankShare = rank === 0 ? 1 : SECONDARY_SLOT_SHARE;
  const available = Math.max(1, (slots - lowered) * rampShare * rankShare);
  const reserved = isLeastUrgent ? available * URGENT_SLOT_SHARE : 0;
  return Math.max(1, available - reserved);
}

/** Requests of all boxes; forgets boxes that have not reported for long. */
function countHeld({holdings}: SlotState, now: number): number {
  let held = 0;
  for (const [box, {count, reportedAt}] of holdings) {
    if (now - reportedAt > SLOT_EXPIRY_MS) {
      holdings.delete(box);
    } else {
      held += count;
    }
  }
  return held;
}
