/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Merges the timelines of several processes and formats their events. */
import {compareTimestamps} from './HybridLogicalClock';
import type {TimelineEvent} from './Timeline';

/** Selects events; an undefined field matches all events. */
export interface TimelineFilter {
  readonly box?: string | undefined;
  readonly budget?: string | undefined;
  readonly request?: string | undefined;
  /** Earliest wall time, ms since the Unix epoch. */
  readonly since?: number | undefined;
}

function matchesFilter(event: TimelineEvent, filter: TimelineFilter): boolean {
  return (
    (filter.box === undefined || event.box === filter.box) &&
    (filter.budget === undefined || event.budget === filter.budget) &&
    (filter.request === undefined || event.request === filter.request) &&
    (filter.since === undefined || event.stamp.wall >= filter.since)
  );
}

/** Merges the matching events of all processes in order of their timestamps. */
export function mergeTimelines(
  timelines: readonly (readonly TimelineEvent[])[],
  filter: TimelineFilter = {},
): TimelineEvent[] {
  return timelines
    .flat()
    .filter((event) => matchesFilter(event, filter))
    .sort(
      (a, b) =>
        compareTimestamps(a.stamp, b.stamp) ||
        (a.box < b.box ? -1 : a.box > b.box ? 1 : 0),
    );
}

/** Formats an event as one human-readable line. */
export function formatEvent(event: TimelineEvent): string {
  const {box, budget, detail, kind, request, stamp, upstream} = event;
  const time = new Date(stamp.wall).toISOString();
  const subjects = [
    request && `request=${request}`,
    budget && `budget=${budget}`,
    upstream && `upstream=${upstream}`,
    detail,
  ].filter((subject) => subject !== undefined && subject !== '');
  return [time, `+${stamp.count}`, box.padEnd(12), kind.padEnd(17), ...subjects]
    .join(' ')
    .trimEnd();
}

interface TraceEvent {
  readonly name: string;
  readonly ph: 'i' | 'M';
  readonly pid: number;
  readonly tid: number;
  readonly ts?: number;
  readonly s?: 'p';
  readonly args: object;
}

/** Converts events to the Chrome trace event format; each box is one process. */
export function toChromeTrace(events: readonly TimelineEvent[]): {
  traceEvents: TraceEvent[];
} {
  const boxes = [...new Set(events.map(({box}) => box))].sort();
  const processNames = boxes.map((box, index): TraceEvent => ({
    args: {name: box},
    name: 'process_name',
    ph: 'M',
    pid: index + 1,
    tid: 0,
  }));
  const instantEvents = events.map(
    ({box, kind, stamp, ...args}): TraceEvent => ({
      args,
      name: kind,
      ph: 'i',
      pid: boxes.indexOf(box) + 1,
      s: 'p',
      tid: 0,
      ts: stamp.wall * 1_000 + stamp.count,
    }),
  );
  return {traceEvents: [...processNames, ...instantEvents]};
}
