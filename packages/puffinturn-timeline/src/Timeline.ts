/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Typed events of one process in a bounded ring. */
import type {Clock} from 'shared';

import type {Stamp} from './HybridClock';
import {HybridClock} from './HybridClock';

/** What can happen. */
export const EVENT_KIND = {
  admitted: 'admitted',
  attached: 'attached',
  boxFenced: 'box-fenced',
  boxRegistered: 'box-registered',
  configChanged: 'config-changed',
  dispatched: 'dispatched',
  leaderChanged: 'leader-changed',
  orderDone: 'order-done',
  orderSent: 'order-sent',
  refused: 'refused',
  retried: 'retried',
  settled: 'settled',
  started: 'started',
  stopping: 'stopping',
  takenOver: 'taken-over',
  upstreamCrashed: 'upstream-crashed',
  upstreamLeaving: 'upstream-leaving',
  upstreamLimited: 'upstream-limited',
  upstreamResting: 'upstream-resting',
  voided: 'voided',
} as const;

/** One of EVENT_KIND. */
export type EventKind = (typeof EVENT_KIND)[keyof typeof EVENT_KIND];

/** What an event is about. */
export interface EventSubject {
  readonly request?: string;
  readonly budget?: string;
  readonly upstream?: string;
  readonly team?: string;
  /** One short line for people. */
  readonly detail?: string;
}

/** One event. */
export interface TimelineEvent extends EventSubject {
  readonly box: string;
  readonly kind: EventKind;
  readonly stamp: Stamp;
}

/** Events kept by one process. */
export const DEFAULT_RING_EVENTS = 20_000;

/** The events of one process; the oldest are forgotten. */
export class Timeline {
  /** Stamps events and messages. */
  readonly clock: HybridClock;
  private readonly ring: TimelineEvent[] = [];
  private next = 0;

  constructor(
    private readonly box: string,
    clock: Clock,
    private readonly capacity = DEFAULT_RING_EVENTS,
  ) {
    this.clock = new HybridClock(clock);
  }

  /** Notes an event that happens now. */
  note(kind: EventKind, subject: EventSubject = {}): void {
    const event = {...subject, box: this.box, kind, stamp: this.clock.tick()};
    this.ring[this.next % this.capacity] = event;
    this.next += 1;
  }

  /** All events held, oldest first. */
  events(): TimelineEvent[] {
    if (this.next <= this.capacity) {
      return [...this.ring];
    }
    const start = this.next % this.capacity;
    return [...this.ring.slice(start), ...this.ring.slice(0, start)];
  }
}
