/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Figures of the way between regions, with unit and reason. */

/** One way between two regions, ms: some 2,000 km of fibre. */
export const LINK_DELAY_MS = 12;

/** What a link between regions carries, bytes a ms: 40 Mbit/s for all traffic. */
export const LINK_BYTES_PER_MS = 5_000;

/** Part of the link for requests; the log, news and tokens need the rest. */
export const LINK_PART_FOR_REQUESTS = 0.5;

/** Part of an edge's token bucket that its least urgent requests leave to the others. */
export const LINK_PART_LEFT_BY_LEAST_URGENT = 0.5;

/** Least part of the link's rate that a transfer is reckoned with, so that its time stays finite. */
export const LEAST_LINK_LEFT = 0.1;

/** Depth of an edge's token bucket, as time at its rate, ms: requests come in bursts. */
export const LINK_BURST_MS = 2_000;

/**
 * How often each edge tries an upstream that failed last while another region serves
 * its requests, ms. A try may hold a request up for CONNECT_MS; the return of a region
 * shows within this time.
 */
export const HOME_PROBE_EVERY_MS = 2_000;

/** Without a request to another region for this long, that has ended, ms. */
export const CROSSING_QUIET_MS = 5_000;

/** Bytes of an answer of a plain service, heads included. */
export const ANSWER_BYTES = 1_200;

/** Bytes of a stream of some forty events, each in a frame of its own. */
export const STREAM_ANSWER_BYTES = 5_000;

/**
 * What an engine of another region is taken to read at most, tokens a ms: as one
 * under load does, as nothing tells of its load before the first answer.
 */
export const MOST_SPEED_AWAY = 20;

/**
 * What a plain upstream of another region that was not measured lately is taken
 * to need, ms: callers wait for some 300 ms, and ignorance alone sends nobody away.
 */
export const UNMEASURED_ANSWER_MS = 150;
