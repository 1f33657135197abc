/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** A timeline of the events of all processes. */
export type {Stamp} from './HybridClock';
export {compareStamps, HybridClock} from './HybridClock';
export type {TimelineFilter} from './Merge';
export {formatEvent, mergeTimelines, toChromeTrace} from './Merge';
export type {EventKind, EventSubject, TimelineEvent} from './Timeline';
export {EVENT_KIND, Timeline} from './Timeline';
