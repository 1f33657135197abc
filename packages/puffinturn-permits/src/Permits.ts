/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Permits of one box for requests to upstreams that take only so many a second: it
 * asks the box that grants them, one question at a time for each upstream, and doesn't
 * ask before the time that a refusal named. Without a permit nothing is sent, whatever
 * else is out of reach.
 */
import {LRUCache} from 'lru-cache';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';

import type {GrantingBox} from './Granters';
import {Granters} from './Granters';
import {
  ASK_MS,
  MAX_REMEMBERED,
  SUSPECT_MS,
  UNGRANTED_WAIT_MS,
} from './PermitConstants';
import type {ColdTolerance, PermitCount} from './PermitGranter';
import {PermitGranter} from './PermitGranter';
import type {PermitReply, PermitRequest} from './PermitMessages';
import {PERMIT_SERVICE} from './PermitMessages';
import type {UpstreamLimit} from './UpstreamLimit';

/** What Permits are made of. */
export interface PermitsParts {
  readonly self: GrantingBox;
  /** The other boxes; a new array where the list has changed. */
  readonly peers: () => readonly GrantingBox[];
  /** Whether two halls are in one region. */
  readonly areTogether: (hall: string, other: string) => boolean;
  readonly clock: Clock;
  readonly link: Link;
  readonly coldTolerance: ColdTolerance;
  /** What is known here of an upstream's limit. */
  readonly limitOf: (id: string) => UpstreamLimit;
  /** Takes what another box knows of a limit. */
  readonly learnLimit: (
    id: string,
    limit: UpstreamLimit,
    source: string,
  ) => void;
  /** Told from time to time what this box has granted to all. */
  readonly onCount?: (count: PermitCount) => void;
}

/** What is asked of a granter, for one request. */
export type PermitQuestion = Omit<PermitRequest, 'wanted'>;

interface Waiter {
  readonly question: PermitQuestion;
  readonly settle: (isGranted: boolean) => void;
}

/** Requests of one urgency for one upstream. */
interface Line {
  waiters: Waiter[];
  asking: boolean;
  /** No permit before this time, by the box's steady clock, ms. */
  closedUntil: number;
}

/** See the module comment. */
export class Permits implements Disposable {
  private readonly lines = new LRUCache<string, Line>({max: MAX_REMEMBERED});
  /** Until when a granter that didn't answer is passed over, by box. */
  private readonly suspectUntil = new Map<string, number>();
  private readonly granters: Granters;
  private readonly granter: PermitGranter;
  private readonly registration: Disposable;

  constructor(private readonly parts: PermitsParts) {
    const {clock, coldTolerance, learnLimit, limitOf, link, self} = parts;
    this.granters = new Granters(parts);
    this.granter = new PermitGranter({
      box: self.box,
      clock,
      coldTolerance,
      granters: this.granters,
      limitOf,
      onCount: parts.onCount ?? (() => undefined),
    });
    this.registration = link.register(PERMIT_SERVICE, async (body, from) => {
      const request = body as PermitRequest;
      learnLimit(request.upstream.id, request.limit, from);
      return this.granter.grant(request);
    });
  }

  /** How long until a permit may be had, ms; 0 where one may be asked for now. */
  waitMs(id: string, isLeastUrgent: boolean): number {
    const closedUntil = this.lines.get(keyOf(id, isLeastUrgent))?.closedUntil;
    return Math.max(0, (closedUntil ?? 0) - this.parts.clock.now());
  }

  /** A permit for one request, to be used at once; false where there is none now. */
  take(question: PermitQuestion): Promise<boolean> {
    const {isLeastUrgent, upstream} = question;
    const line = this.lineOf(keyOf(upstream.id, isLeastUrgent));
    return new Promise((resolve) => {
      line.waiters.push({question, settle: resolve});
      if (!line.asking) {
        void this.ask(line);
      }
    });
  }

  /** Tells the granter of an upstream what it said of its limit. */
  async tell(question: PermitQuestion): Promise<void> {
    await this.request({...question, wanted: 0});
  }

  [Symbol.dispose](): void {
    this.registration[Symbol.dispose]();
  }

  private lineOf(key: string): Line {
    const known = this.lines.get(key);
    if (known !== undefined) {
      return known;
    }
    const line: Line = {asking: false, closedUntil: -Infinity, waiters: []};
    this.lines.set(key, line);
    return line;
  }

  /** Asks for all that wait, until none does; those that come meanwhile ask next. */
  private async ask(line: Line): Promise<void> {
    const {clock} = this.parts;
    line.asking = true;
    for (
      let [first] = line.waiters;
      first !== undefined;
      [first] = line.waiters
    ) {
      const {waiters} = line;
      line.waiters = [];
      const wanted = waiters.length;
      const {granted, waitMs} = await this.request({...first.question, wanted});
      waiters.forEach(({settle}, at) => settle(at < granted));
      if (granted < wanted) {
        line.closedUntil = clock.now() + waitMs;
        line.waiters.splice(0).forEach(({settle}) => settle(false));
      }
    }
    line.asking = false;
  }

  private async request(request: PermitRequest): Promise<PermitReply> {
    const {learnLimit, self} = this.parts;
    for (const granting of this.granters.of(request.upstream)) {
      if (granting === self.box) {
        return this.granter.grant(request);
      }
      const reply = await this.askBox(granting, request);
      if (reply !== undefined) {
        learnLimit(request.upstream.id, reply.limit, granting);
        return reply;
      }
    }
    const {limit} = request;
    return {granted: 0, limit, waitMs: UNGRANTED_WAIT_MS};
  }

  /** What a granter answers; undefined where it is silent or was just now. */
  private async askBox(
    box: string,
    request: PermitRequest,
  ): Promise<PermitReply | undefined> {
    const {clock, link} = this.parts;
    if (clock.now() < (this.suspectUntil.get(box) ?? -Infinity)) {
      return undefined;
    }
    const answer = await link.call(box, PERMIT_SERVICE, request, ASK_MS);
    if (answer.isErr()) {
      this.suspectUntil.set(box, clock.now() + SUSPECT_MS);
      return undefined;
    }
    this.suspectUntil.delete(box);
    return answer.value as PermitReply;
  }
}

function keyOf(id: string, isLeastUrgent: boolean): string {
  return `${isLeastUrgent ? 'low' : 'high'} ${id}`;
}
