/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The limits of upstreams, as the logs of all boxes tell them. */
import type {LogLine} from './Explanation';

/** An upstream that takes only so many requests a second. */
export interface KnownLimit {
  readonly upstream: string;
  /** Requests a second. */
  readonly perSecond: number;
  /** When it was heard of last, ms since the epoch. */
  readonly time: number;
  /** Boxes that know the upstream to have a limit, in order. */
  readonly boxes: readonly string[];
}

/** A line that says what a box knows of a limit; no figure says that there is none. */
interface LimitLine extends LogLine {
  readonly upstream: string;
  readonly limitPerS?: number;
  readonly perSecond?: number;
}

const LIMIT_EVENTS: ReadonlySet<string> = new Set([
  'upstream-limited',
  'upstream-told',
]);

/** The limits that hold at the end of the lines, by upstream. */
export function limitsIn(lines: readonly LogLine[]): KnownLimit[] {
  const newest = new Map<string, LimitLine>();
  for (const line of lines.filter(isLimitLine)) {
    const key = `${line.upstream} ${line.box}`;
    const known = newest.get(key);
    if (known === undefined || line.time >= known.time) {
      newest.set(key, line);
    }
  }
  const byUpstream = new Map<string, LimitLine[]>();
  for (const line of newest.values()) {
    const others = byUpstream.get(line.upstream) ?? [];
    byUpstream.set(line.upstream, [...others, line]);
  }
  return [...byUpstream.values()]
    .flatMap((known) => limitOf(known))
    .sort((a, b) => a.upstream.localeCompare(b.upstream));
}

/** The newest figure of one upstream; none where no box knows of a limit. */
function limitOf(lines: readonly LimitLine[]): KnownLimit[] {
  const limited = lines
    .filter((line) => figureOf(line) !== undefined)
    .sort((a, b) => b.time - a.time);
  const [first] = limited;
  const perSecond = first && figureOf(first);
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

function figureOf({limitPerS, perSecond}: LimitLine): number | undefined {
  return limitPerS ?? perSecond;
}
