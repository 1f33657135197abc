/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * How long the stable version of a service takes for the requests of each route, so
 * that a slower version shows whatever the route asks for. The time until the first
 * byte is measured by what must be read before it, the rest by the events that come.
 */
import {LRUCache} from 'lru-cache';

/** What one whole answer took. */
export interface AnswerSample {
  /** Prompt tokens to read before the first byte; 0 for a plain request. */
  readonly tokens: number;
  /** Time until the head of the answer, ms. */
  readonly firstMs: number;
  /** Time until its end, ms. */
  readonly wholeMs: number;
  readonly events: number;
}

/** Routes remembered for one service; more than a service has in use. */
const MAX_ROUTES = 512;

/** Answers of a route before anything is expected of it. */
const LEAST_ANSWERS = 5;

/** Weight of one answer once there are many: the last 30 or so count. */
const WEIGHT = 0.03;

/** Added to each time, ms: below this a difference is chance. */
const GRAIN_MS = 5;

/** Cost of a request apart from its prompt, ms; typical of an engine. */
const BASE_MS = 40;

/** How fast a prompt is read, tokens a ms; typical of an engine, and it cancels out for prompts alike. */
const TOKENS_PER_MS = 45;

/** Fewer events than this say nothing of the time between them. */
const LEAST_EVENTS = 4;

/** Exponentially weighted geometric mean: a few very long times move it little. */
class GeometricMean {
  private mean = 0;
  private count = 0;

  /** The middle; undefined before there were enough. */
  get value(): number | undefined {
    return this.count < LEAST_ANSWERS ? undefined : Math.exp(this.mean);
  }

  add(measured: number): void {
    this.count += 1;
    const weight = Math.max(WEIGHT, 1 / this.count);
    this.mean += (Math.log(measured) - this.mean) * weight;
  }
}

/** What is expected of one route. */
interface RouteTimes {
  /** Time until the first byte over what the prompt costs. */
  readonly first: GeometricMean;
  /** Time of a whole answer of few events over what the prompt costs. */
  readonly whole: GeometricMean;
  /** Time for each event after the first byte. */
  readonly event: GeometricMean;
}

/** See the module comment. */
export class AnswerExpectations {
  private readonly routes = new LRUCache<string, RouteTimes>({max: MAX_ROUTES});

  /** Takes an answer of the stable version in. */
  learn(route: string, sample: AnswerSample): void {
    const usual = this.usualOf(route);
    if (sample.events < LEAST_EVENTS) {
      usual.whole.add(wholeOf(sample));
    } else {
      usual.first.add(firstOf(sample));
      usual.event.add(eventOf(sample));
    }
  }

  /** An answer's time over the expected one; undefined where nothing is expected. */
  ratio(route: string, sample: AnswerSample): number | undefined {
    const {event, first, whole} = this.usualOf(route);
    if (sample.events < LEAST_EVENTS) {
      return over(wholeOf(sample), whole.value);
    }
    const firstRatio = over(firstOf(sample), first.value);
    const eventRatio = over(eventOf(sample), event.value);
    return firstRatio === undefined || eventRatio === undefined
      ? undefined
      : Math.max(firstRatio, eventRatio);
  }

  private usualOf(route: string): RouteTimes {
    const known = this.routes.get(route);
    if (known !== undefined) {
      return known;
    }
    const usual = {
      event: new GeometricMean(),
      first: new GeometricMean(),
      whole: new GeometricMean(),
    };
    this.routes.set(route, usual);
    return usual;
  }
}

function firstOf({firstMs, tokens}: AnswerSample): number {
  return (firstMs + GRAIN_MS) / costMs(tokens);
}

function wholeOf({tokens, wholeMs}: AnswerSample): number {
  return (wholeMs + GRAIN_MS) / costMs(tokens);
}

function eventOf({events, firstMs, wholeMs}: AnswerSample): number {
  return (wholeMs - firstMs + GRAIN_MS) / events;
}

function costMs(tokens: number): number {
  return BASE_MS + tokens / TOKENS_PER_MS;
}

function over(
  measured: number,
  expected: number | undefined,
): number | undefined {
  return expected === undefined ? undefined : measured / expected;
}
