/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Keeps the typed events of one process in a ring buffer. */
import type {Clock} from 'shared';

import type {HybridTimestamp} from './HybridLogicalClock';
import {HybridLogicalClock} from './HybridLogicalClock';

/** Kinds of events. */
export const EVENT_KIND = {
  admitted: 'admitted',
  attached: 'attached',
  boxFenced: 'box-fenced',
  boxRegistered: 'box-registered',
  configChanged: 'config-changed',
  diskChanged: 'disk-changed',
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

/** Identifiers and details attached to an event. */
export interface EventAttributes {
  readonly request?: string;
  readonly budget?: string;
  readonly upstream?: string;
  readonly team?: string;
  /** A short human-readable description. */
  readonly detail?: string;
}

/** An event of one process. */
export interface TimelineEvent extends EventAttributes {
  readonly box: string;
  readonly kind: EventKind;
  readonly stamp: HybridTimestamp;
}

/** Default maximum number of events kept by one process. */
export const DEFAULT_CAPACITY = 20_000;

/** The events of one process; the oldest are overwritten when the buffer is full. */
export class Timeline {
  /** Clock for the timestamps of events and messages. */
  readonly clock: HybridLogicalClock;
  private readonly ringBuffer: TimelineEvent[] = [];
  private recordedCount = 0;

  constructor(
    private readonly box: string,
    clock: Clock,
    private readonly capacity = DEFAULT_CAPACITY,
  ) {
    this.clock = new HybridLogicalClock(clock);
  }

  /** Records an event with the current time. */
  note(kind: EventKind, subject: EventAttributes = {}): void {
    const event = {...subject, box: this.box, kind, stamp: this.clock.tick()};
    this.ringBuffer[this.recordedCount % this.capacity] = event;
    this.recordedCount += 1;
  }

  /** Returns the events in the buffer, oldest first. */
  events(): TimelineEvent[] {
    if (this.recordedCount <= this.capacity) {
      return [...this.ringBuffer];
    }
    const oldestIndex = this.recordedCount % this.capacity;
    return [
      ...this.ringBuffer.slice(oldestIndex),
      ...this.ringBuffer.slice(0, oldestIndex),
    ];
  }
}
