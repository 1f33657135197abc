/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * What must hold, known without knowing how the fleet works: it sees what
 * callers and operators were told, what upstreams executed, and the budgets.
 */
import type {Outcome} from 'puffinturn-gateway';

import type {UpstreamWorld} from './FakeUpstreams';
import {STREAM_TOKENS} from './FakeUpstreams';
import {FIRST_PRICE} from './FuzzDeclarations';
import type {RequestKind} from './Step';
import {REQUEST_KIND} from './Step';

/** One try of a caller and what it was told. */
export interface CallerTry {
  readonly kind: RequestKind;
  /** Unique by what is asked; retries have the same. */
  readonly name: string;
  readonly region: string;
  /** Price of the newest change accepted before the try. */
  readonly priceAtStart: number;
  readonly left: boolean;
  /** Undefined while open. */
  outcome?: Outcome;
  code?: string;
  billed?: number | undefined;
  body?: string;
  whole?: boolean;
}

/** A promise that was broken. */
export interface Breach {
  readonly promise: string;
  readonly detail: string;
}

/** An upstream that was drained. */
export interface DrainPeriod {
  readonly url: string;
  readonly from: number;
  readonly until: number;
}

/** Time in which a leaving upstream may still get work, ms. */
const LEAVING_GRACE_MS = 5_000;

/** See the module comment. */
export class Oracle {
  readonly tries: CallerTry[] = [];
  readonly drains: DrainPeriod[] = [];
  /** Highest limit that was ever accepted or may have been. */
  highestLimit = 0;
  /** Price of the newest change that an operator was told is in force. */
  acceptedPrice = FIRST_PRICE;

  constructor(private readonly world: UpstreamWorld) {}

  /** Checks everything that callers were told against what was executed. */
  checkCallers(): Breach[] {
    const breaches: Breach[] = [];
    for (const [name, tries] of this.byName()) {
      breaches.push(...this.checkName(name, tries));
    }
    return [
      ...breaches,
      ...this.checkDrains(),
      ...this.checkLimits(),
      ...this.checkRests(),
    ];
  }

  private checkLimits(): Breach[] {
    const promise = 'an upstream gets no more than it says that it takes';
    return this.world.overrun.map((detail) => ({detail, promise}));
  }

  private checkRests(): Breach[] {
    const promise = 'an upstream that asked for rest gets nothing meanwhile';
    return this.world.disturbed.map((detail) => ({detail, promise}));
  }

  /** Checks what all regions have spent together. */
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

  private byName(): Map<string, CallerTry[]> {
    const names = new Map<string, CallerTry[]>();
    for (const one of this.tries) {
      names.set(one.name, [...(names.get(one.name) ?? []), one]);
    }
    return names;
  }

  private checkName(name: string, tries: readonly CallerTry[]): Breach[] {
    const breaches: Breach[] = [];
    const executions = this.world.countOf(name);
    const {kind} = tries[0] as CallerTry;
    if (kind === REQUEST_KIND.marked && executions > 1) {
      breaches.push({
        detail: `${name} ran ${executions} times`,
        promise: 'never repeated',
      });
    }
    const refused = tries.every(
      ({left, outcome}) => outcome === 'not-run' && !left,
    );
    if (refused && executions > 0) {
      breaches.push({
        detail: `${name} ran ${executions} times: ${tries.map(({code}) => code)}`,
        promise: 'not-run is true',
      });
    }
    for (const one of tries) {
      breaches.push(...checkTry(one));
    }
    return breaches;
  }

  private checkDrains(): Breach[] {
    return this.drains.flatMap(({from, until, url}) =>
      this.world.executions
        .filter((one) => one.url === url)
        .filter(({at}) => at > from + LEAVING_GRACE_MS && at < until)
        .map(({at, name}) => ({
          detail: `${name} at ${at} ms, drained since ${from} ms`,
          promise: 'a leaving upstream gets no new work',
        })),
    );
  }
}

function checkTry(one: CallerTry): Breach[] {
  if (one.left || one.outcome !== 'ran' || one.whole !== true) {
    return [];
  }
  const breaches: Breach[] = [];
  if (one.body !== expectedBody(one)) {
    breaches.push({
      detail: `${one.name} got ${one.body}`,
      promise: 'whole answer to its own request',
    });
  }
  const outdated =
    one.kind === REQUEST_KIND.unkeyed &&
    one.billed !== undefined &&
    one.billed < one.priceAtStart;
  if (outdated) {
    breaches.push({
      detail: `${one.name} was billed ${one.billed} after ${one.priceAtStart} was in force`,
      promise: 'an accepted change is in force and never reverts',
    });
  }
  return breaches;
}

function expectedBody({kind, name}: CallerTry): string {
  return kind === REQUEST_KIND.stream
    ? Array.from({length: STREAM_TOKENS}, (_, at) => `${name}.${at} `).join('')
    : JSON.stringify({echo: name});
}
