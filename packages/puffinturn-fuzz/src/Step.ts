/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The steps of a fuzzing run: caller requests, injected faults and operator changes. */
import fc from 'fast-check';

import type {Mode} from './FakeUpstreams';
import {MODE} from './FakeUpstreams';
import type {DiskErrors} from './FuzzFleet';
import {FUZZ_BOXES} from './FuzzFleet';

/** Request names; there are few, so that retries and concurrent duplicates are common. */
export const REQUEST_NAMES = [
  'o1',
  'o2',
  'o3',
  'o4',
  'o5',
  'o6',
  'o7',
  'o8',
] as const;

/** Request kinds; they differ in whether a retry may execute the request again. */
export const REQUEST_KIND = {
  /** Must execute at most once; identified by a business key in the body. */
  marked: 'marked',
  /** Safe to repeat; a streamed completion with the caller's idempotency key. */
  stream: 'stream',
  /** Safe to repeat; without an idempotency key. */
  unkeyed: 'unkeyed',
} as const;

/** A value of REQUEST_KIND. */
export type RequestKind = (typeof REQUEST_KIND)[keyof typeof REQUEST_KIND];

const DISK_ERRORS: readonly DiskErrors[] = [
  {append: 0, replace: 0},
  {append: 0.1, replace: 0.1},
  // As when a folder can often not be synced.
  {append: 0, replace: 0.8},
];

/** Lets some of the writes of boxes fail, although they take effect. */
export interface DiskErrorStep {
  readonly kind: 'disk-errors';
  readonly boxes: readonly string[];
  readonly errors: DiskErrors;
}

/** A step of a run; the next one starts `afterMs` later in virtual time. */
export type Step = {readonly afterMs: number} & (
  | {
      readonly kind: 'request';
      readonly box: string;
      readonly name: string;
      readonly request: RequestKind;
      readonly leavesAfterMs: number | null;
    }
  | {readonly kind: 'kill' | 'lose-disk' | 'start'; readonly box: string}
  | {readonly kind: 'freeze' | 'thaw'; readonly box: string}
  | {readonly kind: 'isolate'; readonly box: string}
  | {readonly kind: 'one-way-cut'; readonly from: string; readonly to: string}
  | {readonly kind: 'part-regions'}
  | {readonly kind: 'heal'}
  | {readonly kind: 'delay'; readonly highMs: number}
  | DiskErrorStep
  | {readonly kind: 'restart-group'; readonly boxes: readonly string[]}
  | {readonly kind: 'upstream'; readonly url: string; readonly mode: Mode}
  | {readonly kind: 'price'; readonly box: string}
  | {readonly kind: 'racing-price'; readonly boxes: readonly [string, string]}
  | {readonly kind: 'top-up'; readonly box: string}
  | {readonly kind: 'drain'; readonly box: string; readonly on: boolean}
);

/** URLs of the fake upstreams of the plain service. */
export const SERVICE_URLS = ['http://service-1', 'http://service-2'] as const;
/** URLs of the fake engines. */
export const ENGINE_URLS = ['http://engine-1', 'http://engine-2'] as const;

/** Modes of random steps; separate tests cover crashes and retry-after responses. */
const RANDOM_MODES = Object.values(MODE).filter(
  (mode) => mode !== MODE.crash && mode !== MODE.resting,
);

/** The control boxes of each region. */
const CONTROL_GROUPS = ['north', 'south'].map((region) =>
  FUZZ_BOXES.filter((box) => box.control && box.region === region).map(
    ({name}) => name,
  ),
);

const boxName = fc.constantFrom(...FUZZ_BOXES.map(({name}) => name));
const afterMs = fc.oneof(
  {arbitrary: fc.integer({max: 60, min: 0}), weight: 3},
  {arbitrary: fc.integer({max: 3_000, min: 100}), weight: 2},
);

const requestStep = fc.record({
  afterMs,
  box: boxName,
  kind: fc.constant('request' as const),
  leavesAfterMs: fc.oneof(
    {arbitrary: fc.constant(null), weight: 9},
    {arbitrary: fc.integer({max: 200, min: 0}), weight: 1},
  ),
  name: fc.constantFrom(...REQUEST_NAMES),
  request: fc.constantFrom(...Object.values(REQUEST_KIND)),
});

const faultStep = fc.oneof(
  fc.record({
    afterMs,
    box: boxName,
    kind: fc.constantFrom(
      'kill' as const,
      'kill' as const,
      'start' as const,
      'start' as const,
      'lose-disk' as const,
      'isolate' as const,
      'freeze' as const,
      'thaw' as const,
    ),
  }),
  fc.record({
    afterMs,
    from: boxName,
    kind: fc.constant('one-way-cut' as const),
    to: boxName,
  }),
  fc.record({
    afterMs,
    kind: fc.constantFrom(
      'part-regions' as const,
      'heal' as const,
      'heal' as const,
    ),
  }),
  fc.record({
    afterMs,
    highMs: fc.constantFrom(2, 20, 150),
    kind: fc.constant('delay' as const),
  }),
  fc.record({
    afterMs,
    boxes: fc.constantFrom(...CONTROL_GROUPS),
    errors: fc.constantFrom(...DISK_ERRORS),
    kind: fc.constant('disk-errors' as const),
  }),
  fc.record({
    afterMs,
    boxes: fc.constantFrom(...CONTROL_GROUPS),
    kind: fc.constant('restart-group' as const),
  }),
  fc.record({
    afterMs,
    kind: fc.constant('upstream' as const),
    mode: fc.constantFrom(...RANDOM_MODES),
    url: fc.constantFrom(...SERVICE_URLS, ...ENGINE_URLS),
  }),
);

const operatorStep = fc.oneof(
  fc.record({
    afterMs,
    box: boxName,
    kind: fc.constantFrom('price' as const, 'top-up' as const),
  }),
  fc.record({
    afterMs,
    boxes: fc.tuple(boxName, boxName),
    kind: fc.constant('racing-price' as const),
  }),
  fc.record({
    afterMs,
    box: boxName,
    kind: fc.constant('drain' as const),
    on: fc.boolean(),
  }),
);

/** Generates a random step. */
export const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {arbitrary: requestStep, weight: 6},
  {arbitrary: faultStep, weight: 4},
  {arbitrary: operatorStep, weight: 1},
);
