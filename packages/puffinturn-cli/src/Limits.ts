/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Finds the rate limits of upstreams in the logs of all boxes. */
import type {LogLine} from './RequestHistory';

/** Rate limit of one upstream. */
export interface UpstreamLimit {
  readonly upstream: string;
  /** Requests per second. */
  readonly perSecond: number;
  /** Time of the latest log line about the limit, in milliseconds since the epoch. */
  readonly time: number;
  /** Names of the boxes that apply a limit, sorted. */
  readonly boxes: readonly string[];
}

/** A log line about the rate limit that a box applies; without a rate there is none. */
interface LimitLine extends LogLine {
  readonly upstream: string;
  readonly limitPerS?: number;
  readonly perSecond?: number;
}

const LIMIT_EVENTS: ReadonlySet<string> = new Set([
  'upstream-limited',
  'upstream-told',
]);

/** Returns the limits in force after the last line, sorted by upstream. */
export function findCurrentLimits(lines: readonly LogLine[]): UpstreamLimit[] {
  const latestByUpstreamAndBox = new Map<string, LimitLine>();
  for (const line of lines.filter(isLimitLine)) {
    const key = `${line.upstream} ${line.box}`;
    const latest = latestByUpstreamAndBox.get(key);
    if (latest === undefined || line.time >= latest.time) {
      latestByUpstreamAndBox.set(key, line);
    }
  }
  const byUpstream = new Map<string, LimitLine[]>();
  for (const line of latestByUpstreamAndBox.values()) {
    const others = byUpstream.get(line.upstream) ?? [];
    byUpstream.set(line.upstream, [...others, line]);
  }
  return [...byUpstream.values()]
    .flatMap((upstreamLines) => latestLimit(upstreamLines))
    .sort((a, b) => a.upstream.localeCompare(b.upstream));
}

/** Returns the latest limit of one upstream; empty if no box applies one. */
function latestLimit(lines: readonly LimitLine[]): UpstreamLimit[] {
  const limited = lines
    .filter((line) => requestRate(line) !== undefined)
    .sort((a, b) => b.time - a.time);
  const [first] = limited;
  const perSecond = first && requestRate(first);
  if (first === undefined || perSecond === undefined) {
    return [];
  }
  const {time, upstream} = first;
  const boxes = limited.map(({box}) => box).sort();
  return [{boxes, perSecond, time, upstream}];
}

function isLimitLine(line: LogLine): line is LimitLine {
  return LIMIT_EVENTS.has(line.event) && line.upstream !== undefined;
}

function requestRate({limitPerS, perSecond}: LimitLine): number | undefined {
  return limitPerS ?? perSecond;
}
