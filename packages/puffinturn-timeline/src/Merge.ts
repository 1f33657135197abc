/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** One time line out of those of many processes. */
import {compareStamps} from './HybridClock';
import type {TimelineEvent} from './Timeline';

/** What to keep; absent fields keep everything. */
export interface TimelineFilter {
  readonly box?: string | undefined;
  readonly budget?: string | undefined;
  readonly request?: string | undefined;
  /** Wall time in ms. */
  readonly since?: number | undefined;
}

function matches(event: TimelineEvent, filter: TimelineFilter): boolean {
  return (
    (filter.box === undefined || event.box === filter.box) &&
    (filter.budget === undefined || event.budget === filter.budget) &&
    (filter.request === undefined || event.request === filter.request) &&
    (filter.since === undefined || event.stamp.wall >= filter.since)
  );
}

/** Events of all processes that match, in the order of their stamps. */
export function mergeTimelines(
  timelines: readonly (readonly TimelineEvent[])[],
  filter: TimelineFilter = {},
): TimelineEvent[] {
  return timelines
    .flat()
    .filter((event) => matches(event, filter))
    .sort(
      (a, b) =>
        compareStamps(a.stamp, b.stamp) ||
        (a.box < b.box ? -1 : a.box > b.box ? 1 : 0),
    );
}

/** One line for people. */
export function formatEvent(event: TimelineEvent): string {
  const {box, budget, detail, kind, request, stamp, upstream} = event;
  const time = new Date(stamp.wall).toISOString();
  const subjects = [
    request && `request=${request}`,
    budget && `budget=${budget}`,
    upstream && `upstream=${upstream}`,
    detail,
  ].filter((part) => part !== undefined && part !== '');
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

/** The Chrome trace event format: one process a box. */
export function toChromeTrace(events: readonly TimelineEvent[]): {
  traceEvents: TraceEvent[];
} {
  const boxes = [...new Set(events.map(({box}) => box))].sort();
  const names = boxes.map((box, position): TraceEvent => ({
    args: {name: box},
    name: 'process_name',
    ph: 'M',
    pid: position + 1,
    tid: 0,
  }));
  const marks = events.map(({box, kind, stamp, ...args}): TraceEvent => ({
    args,
    name: kind,
    ph: 'i',
    pid: boxes.indexOf(box) + 1,
    s: 'p',
    tid: 0,
    ts: stamp.wall * 1_000 + stamp.count,
  }));
  return {traceEvents: [...names, ...marks]};
}
