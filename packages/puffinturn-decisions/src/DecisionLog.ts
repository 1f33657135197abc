/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Writes decisions as lines of JSON. A full pipe drops lines instead of
 * blocking, and a limit of lines a second holds under load: plain successes
 * are left out first, and the next line says how many were. Lines of totals are
 * always written: they are few, and show what the others leave out.
 */
import type {Logger} from 'pino';
import {pino} from 'pino';

import type {Decision} from './Decision';

/** What a log is made of. */
export interface DecisionLogParts {
  /** The name of this box. */
  readonly box: string;
  /** Monotonic milliseconds. */
  readonly now: () => number;
  /** Lines a second at most. */
  readonly linesPerSecond: number;
  /** One plain success in this many is written. */
  readonly successSample: number;
  /** Where lines go; standard output by default. */
  readonly write?: (line: string) => void;
}

/** Bytes waiting for standard output before lines are dropped. */
const MAX_WAITING_BYTES = 256 * 1024;

/** Takes the decisions of a process. */
export abstract class DecisionLog {
  abstract note(decision: Decision): void;
}

/** Writes nothing. */
export class SilentDecisionLog extends DecisionLog {
  override note(): void {}
}

/** Keeps every decision, for tests. */
export class KeptDecisionLog extends DecisionLog {
  readonly lines: Decision[] = [];

  override note(decision: Decision): void {
    this.lines.push(decision);
  }
}

/** See the module comment. */
export class JsonDecisionLog extends DecisionLog {
  private readonly logger: Logger;
  private allowance: number;
  private filledAt: number;
  private successes = 0;
  private leftOut = 0;

  constructor(private readonly parts: DecisionLogParts) {
    super();
    this.allowance = parts.linesPerSecond;
    this.filledAt = parts.now();
    const options = {base: {box: parts.box}, level: 'info'};
    this.logger =
      parts.write === undefined
        ? pino(
            options,
            pino.destination({
              fd: 1,
              maxLength: MAX_WAITING_BYTES,
              sync: false,
            }),
          )
        : pino(options, {write: parts.write});
  }

  override note(decision: Decision): void {
    if (isPlainSuccess(decision)) {
      const isSampled = this.successes % this.parts.successSample === 0;
      this.successes += 1;
      if (!isSampled) {
        return;
      }
    }
    if (!isTotal(decision) && !this.takeLine()) {
      this.leftOut += 1;
      return;
    }
    const {leftOut} = this;
    this.leftOut = 0;
    this.logger.info(leftOut === 0 ? decision : {...decision, leftOut});
  }

  private takeLine(): boolean {
    const now = this.parts.now();
    const {linesPerSecond} = this.parts;
    const earned = ((now - this.filledAt) * linesPerSecond) / 1_000;
    this.allowance = Math.min(linesPerSecond, this.allowance + earned);
    this.filledAt = now;
    if (this.allowance < 1) {
      return false;
    }
    this.allowance -= 1;
    return true;
  }
}

function isPlainSuccess(decision: Decision): boolean {
  return (
    decision.event === 'request-ended' &&
    decision.cause === 'served' &&
    decision.attempts <= 1
  );
}

/**
 * Whether a line sums up what others tell, or why there are so many of them; its
 * writer writes a few a second at most.
 */
function isTotal({event}: Decision): boolean {
  return (
    event === 'answers-counted' ||
    event === 'backlog-changed' ||
    event === 'grants-counted' ||
    event === 'permits-counted' ||
    event === 'step-aside-decided' ||
    event === 'tokens-counted'
  );
}
