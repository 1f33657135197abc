/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** A timeline of the events of all processes. */
export type {HybridTimestamp} from './HybridLogicalClock';
export {compareTimestamps, HybridLogicalClock} from './HybridLogicalClock';
export type {EventAttributes, EventKind, TimelineEvent} from './Timeline';
export {EVENT_KIND, Timeline} from './Timeline';
export type {TimelineFilter} from './TimelineMerge';
export {formatEvent, mergeTimelines, toChromeTrace} from './TimelineMerge';
