/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The oracle of the fuzzer. It checks the invariants from the outside: from responses
 * to callers and operators, executions at upstreams, and budgets.
 */
import type {Outcome} from 'puffinturn-gateway';

import type {FakeUpstreams} from './FakeUpstreams';
import {STREAM_TOKENS} from './FakeUpstreams';
import {INITIAL_CALL_PRICE} from './FuzzDeclarations';
import type {RequestKind} from './Step';
import {REQUEST_KIND} from './Step';

/** One attempt of a caller and the response to it. */
export interface CallerAttempt {
  readonly kind: RequestKind;
  /** Identifies the request; retries share it. */
  readonly name: string;
  readonly region: string;
  /** Price of the newest change accepted before the attempt. */
  readonly priceAtStart: number;
  /** Whether the caller disconnects before the response ends. */
  readonly isAbandoned: boolean;
  /** Undefined until a response or an error arrives. */
  outcome?: Outcome;
  code?: string;
  billed?: number | undefined;
  body?: string;
  isComplete?: boolean;
}

/** A violated invariant. */
export interface Breach {
  readonly promise: string;
  readonly detail: string;
}

/** A time span in which an upstream was drained. */
export interface DrainPeriod {
  readonly url: string;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Time after the start of a drain in which requests may still arrive, ms. */
const DRAIN_GRACE_MS = 5_000;

/** Records what callers and operators observe, and finds violated invariants. */
export class Oracle {
  readonly attempts: CallerAttempt[] = [];
  readonly drains: DrainPeriod[] = [];
  /** Highest budget limit that was sent by an operator, accepted or not. */
  highestLimit = 0;
  /** Highest price that all regions have confirmed to an operator. */
  acceptedPrice = INITIAL_CALL_PRICE;

  constructor(private readonly upstreams: FakeUpstreams) {}

  /** Compares the responses to callers with the executions at upstreams. */
  findBreaches(): Breach[] {
    const breaches: Breach[] = [];
    for (const [name, attempts] of this.groupByName()) {
      breaches.push(...this.checkRequest(name, attempts));
    }
    return [
      ...breaches,
      ...this.checkDrains(),
      ...this.checkRateLimits(),
      ...this.checkRetryAfter(),
    ];
  }

  private checkRateLimits(): Breach[] {
    const promise = 'an upstream gets no more than it says that it takes';
    return this.upstreams.rateLimitViolations.map((detail) => ({
      detail,
      promise,
    }));
  }

  private checkRetryAfter(): Breach[] {
    const promise = 'an upstream that asked for rest gets nothing meanwhile';
    return this.upstreams.retryAfterViolations.map((detail) => ({
      detail,
      promise,
    }));
  }

  /** Checks the total spend of all regions, units, against the limit. */
  checkSpend(spent: number): Breach[] {
    return spent <= this.highestLimit
      ? []
      : [
          {
            detail: `${spent} of ${this.highestLimit} units`,
            promise: 'never over budget',
          },
        ];
  }

  private groupByName(): Map<string, CallerAttempt[]> {
    const groups = new Map<string, CallerAttempt[]>();
    for (const attempt of this.attempts) {
      groups.set(attempt.name, [...(groups.get(attempt.name) ?? []), attempt]);
    }
    return groups;
  }

  private checkRequest(
    name: string,
    attempts: readonly CallerAttempt[],
  ): Breach[] {
    const breaches: Breach[] = [];
    const executions = this.upstreams.countExecutions(name);
    const {kind} = attempts[0] as CallerAttempt;
    if (kind === REQUEST_KIND.marked && executions > 1) {
      breaches.push({
        detail: `${name} ran ${executions} times`,
        promise: 'never repeated',
      });
    }
    const isRejected = attempts.every(
      ({isAbandoned, outcome}) => outcome === 'not-run' && !isAbandoned,
    );
    if (isRejected && executions > 0) {
      breaches.push({
        detail: `${name} ran ${executions} times: ${attempts.map(({code}) => code)}`,
        promise: 'not-run is true',
      });
    }
    for (const attempt of attempts) {
      breaches.push(...checkAttempt(attempt));
    }
    return breaches;
  }

  private checkDrains(): Breach[] {
    return this.drains.flatMap(({fromMs, untilMs, url}) =>
      this.upstreams.executions
        .filter((execution) => execution.url === url)
        .filter(({atMs}) => atMs > fromMs + DRAIN_GRACE_MS && atMs < untilMs)
        .map(({atMs, name}) => ({
          detail: `${name} at ${atMs} ms, drained since ${fromMs} ms`,
          promise: 'a leaving upstream gets no new work',
        })),
    );
  }
}

function checkAttempt(attempt: CallerAttempt): Breach[] {
  if (
    attempt.isAbandoned ||
    attempt.outcome !== 'ran' ||
    attempt.isComplete !== true
  ) {
    return [];
  }
  const breaches: Breach[] = [];
  if (attempt.body !== expectedBody(attempt)) {
    breaches.push({
      detail: `${attempt.name} got ${attempt.body}`,
      promise: 'whole answer to its own request',
    });
  }
  const isOldPrice =
    attempt.kind === REQUEST_KIND.unkeyed &&
    attempt.billed !== undefined &&
    attempt.billed < attempt.priceAtStart;
  if (isOldPrice) {
    breaches.push({
      detail: `${attempt.name} was billed ${attempt.billed} after ${attempt.priceAtStart} was in force`,
      promise: 'an accepted change is in force and never reverts',
    });
  }
  return breaches;
}

function expectedBody({kind, name}: CallerAttempt): string {
  return kind === REQUEST_KIND.stream
    ? Array.from(
        {length: STREAM_TOKENS},
        (_, index) => `${name}.${index} `,
      ).join('')
    : JSON.stringify({echo: name});
}
