/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** What one life of an upstream says of its limit, as one box knows it. */
import type {Clock} from 'shared';
import {decimalOf} from 'shared';

import type {UpstreamLimit} from './UpstreamLimit';
import {isLaterLimit, NO_LIMIT, rateOf} from './UpstreamLimit';

/** The least status that says that a request did not go well, whoever is at fault. */
const LEAST_FAILED_STATUS = 400;

/** What the head of an answer holds of a limit. */
export interface LimitAnswer {
  readonly status: number;
  /** The value of the header that names a limit; undefined where it has none. */
  readonly named: string | undefined;
  /** When its request was sent, by the box's steady clock, ms. */
  readonly sentAt: number;
}

/** See the module comment. */
export class LimitStatements {
  private held = NO_LIMIT;
  /** When the limit that holds was heard of last, by the box's steady clock, ms. */
  private heardAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** The limit that holds. */
  get limit(): UpstreamLimit {
    return this.held;
  }

  /**
   * Takes the head of an answer in; true where that changes the limit. Only an answer
   * that went well shows by naming no limit that there is none, and a figure that can't
   * be read says nothing.
   */
  hearAnswer({named, sentAt, status}: LimitAnswer): boolean {
    const perSecond = decimalOf(named);
    const isUnsaid =
      named === undefined
        ? status >= LEAST_FAILED_STATUS
        : perSecond === undefined;
    return !isUnsaid && this.hear(perSecond, sentAt);
  }

  /**
   * Takes what an answer says: a figure, or none; true where that changes the limit. A
   * lower limit counts at once. A higher one, or none, counts only where the request was
   * sent after the limit that holds was heard of last: else the answer may be the older
   * word, come late.
   */
  hear(perSecond: number | undefined, sentAt: number): boolean {
    const former = rateOf(this.held);
    const found = perSecond ?? Infinity;
    if (found > former && sentAt <= this.heardAt) {
      return false;
    }
    if (found < Infinity) {
      this.heardAt = this.clock.now();
    }
    if (found === former) {
      return false;
    }
    this.held = {perSecond, revision: this.held.revision + 1};
    return true;
  }

  /** Takes what another box knows; true where that changes what is known here. */
  learn(found: UpstreamLimit): boolean {
    if (!isLaterLimit(found, this.held)) {
      return false;
    }
    this.held = found;
    this.heardAt = this.clock.now();
    return true;
  }

  /** Takes a limit of a former life over, which any word of this one replaces. */
  goOnWith({limit}: LimitStatements): void {
    this.held = {...limit, revision: 0};
    this.heardAt = this.clock.now();
  }
}
