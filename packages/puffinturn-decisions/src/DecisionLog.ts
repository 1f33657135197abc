/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Writes the decisions of a process as structured log lines. */
import type {Logger} from 'pino';
import {pino} from 'pino';

import type {Decision} from './Decision';

/** Dependencies and limits of a JsonDecisionLog. */
export interface DecisionLogParts {
  /** Name of this box. */
  readonly box: string;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
  /** Maximum number of lines per second, apart from those about states of upstreams. */
  readonly linesPerSecond: number;
  /** Writes one of this many requests that succeeded at the first attempt. */
  readonly successSampleInterval: number;
  /** Receives each line; standard output by default. */
  readonly write?: (line: string) => void;
}

/** Lines are dropped while this many bytes are buffered for standard output. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/**
 * Lines about states of upstreams that are written after the limit is reached, as a share of
 * it. They show which upstreams an edge may use while a fault floods the log.
 */
const UPSTREAM_LINES_RATIO = 1 / 3;

/** Events that change whether an upstream may be used. */
const UPSTREAM_STATE_EVENTS: ReadonlySet<Decision['event']> = new Set([
  'departure-decided',
  'upstream-changed',
  'upstream-restarted',
  'upstream-told',
]);

/** Records the decisions of a process. */
export abstract class DecisionLog {
  abstract note(decision: Decision): void;
}

/** Discards all decisions. */
export class NoopDecisionLog extends DecisionLog {
  override note(): void {}
}

/** Keeps all decisions in memory, for tests. */
export class InMemoryDecisionLog extends DecisionLog {
  readonly decisions: Decision[] = [];

  override note(decision: Decision): void {
    this.decisions.push(decision);
  }
}

/** Limits a rate of lines; up to one second's lines may come at once. */
class LineBucket {
  private available: number;
  private refilledAt: number;

  constructor(
    private readonly linesPerSecond: number,
    private readonly now: () => number,
  ) {
    this.available = linesPerSecond;
    this.refilledAt = now();
  }

  /** Takes one line; returns false if the rate is exceeded. */
  tryTake(): boolean {
    const now = this.now();
    const refill = ((now - this.refilledAt) * this.linesPerSecond) / 1_000;
    this.available = Math.min(this.linesPerSecond, this.available + refill);
    this.refilledAt = now;
    if (this.available < 1) {
      return false;
    }
    this.available -= 1;
    return true;
  }
}

/**
 * Writes decisions as JSON lines. It samples successful requests and limits the rate
 * of lines by a token bucket, with another one for states of upstreams; `leftOut` in the
 * next line is the number of lines that the limit dropped. Lines are also dropped while
 * standard output is blocked.
 */
export class JsonDecisionLog extends DecisionLog {
  private readonly logger: Logger;
  private readonly lines: LineBucket;
  private readonly upstreamLines: LineBucket;
  private successCount = 0;
  private droppedLines = 0;

  constructor(private readonly parts: DecisionLogParts) {
    super();
    const {linesPerSecond, now} = parts;
    this.lines = new LineBucket(linesPerSecond, now);
    this.upstreamLines = new LineBucket(
      linesPerSecond * UPSTREAM_LINES_RATIO,
      now,
    );
    const options = {base: {box: parts.box}, level: 'info'};
    this.logger =
      parts.write === undefined
        ? pino(
            options,
            pino.destination({
              fd: 1,
              maxLength: MAX_BUFFERED_BYTES,
              sync: false,
            }),
          )
        : pino(options, {write: parts.write});
  }

  override note(decision: Decision): void {
    if (isFirstAttemptSuccess(decision)) {
      const isSampled =
        this.successCount % this.parts.successSampleInterval === 0;
      this.successCount += 1;
      if (!isSampled) {
        return;
      }
    }
    if (!isRateLimitExempt(decision) && !this.tryTakeLine(decision)) {
      this.droppedLines += 1;
      return;
    }
    const {droppedLines} = this;
    this.droppedLines = 0;
    this.logger.info(
      droppedLines === 0 ? decision : {...decision, leftOut: droppedLines},
    );
  }

  private tryTakeLine({event}: Decision): boolean {
    return (
      this.lines.tryTake() ||
      (UPSTREAM_STATE_EVENTS.has(event) && this.upstreamLines.tryTake())
    );
  }
}

function isFirstAttemptSuccess(decision: Decision): boolean {
  return (
    decision.event === 'request-ended' &&
    decision.cause === 'served' &&
    decision.attempts <= 1
  );
}

/**
 * Whether a line is written regardless of the rate limit. These are totals and overload
 * events, which occur only a few times per second and are needed when others are dropped.
 */
function isRateLimitExempt({event}: Decision): boolean {
  return (
    event === 'answers-counted' ||
    event === 'backlog-changed' ||
    event === 'grants-counted' ||
    event === 'permits-counted' ||
    event === 'step-aside-decided' ||
    event === 'tokens-counted'
  );
}
