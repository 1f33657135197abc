/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Constants of the link between regions. */

/** One-way delay between two regions, ms: about 2,000 km of fibre. */
export const LINK_DELAY_MS = 12;

/** Bandwidth of a link between regions, bytes per ms: 40 Mbit/s for all traffic. */
export const LINK_BYTES_PER_MS = 5_000;

/** Fraction of the link for requests; the rest carries replication and control traffic. */
export const REQUEST_LINK_FRACTION = 0.5;

/** Fraction of an edge's token bucket reserved for more urgent requests. */
export const LEAST_URGENT_RESERVE_FRACTION = 0.5;

/** Minimum fraction of the bandwidth assumed for a transfer; keeps its time finite. */
export const MIN_AVAILABLE_FRACTION = 0.1;

/** Capacity of an edge's token bucket, as time at its rate, ms. */
export const LINK_BURST_MS = 2_000;

/**
 * Interval between probes of failed upstreams in the local region while another region
 * serves requests, ms. A probe delays a request by up to CONNECT_TIMEOUT_MS; the return
 * of the region shows within this time.
 */
export const LOCAL_PROBE_INTERVAL_MS = 2_000;

/** Time without a request to another region after which an episode ends, ms. */
export const EPISODE_IDLE_TIMEOUT_MS = 5_000;

/** Estimated size of a response of a plain service, headers included, bytes. */
export const PLAIN_RESPONSE_BYTES = 1_200;

/** Estimated size of a stream of about forty events with one frame each, bytes. */
export const STREAM_RESPONSE_BYTES = 5_000;

/**
 * Maximum prefill speed assumed for an engine in another region, tokens per ms.
 * Its load is unknown before the first response, so a loaded engine is assumed.
 */
export const MAX_REMOTE_PREFILL_TOKENS_PER_MS = 20;

/**
 * Minimum response time assumed for a plain upstream in another region, ms. Without a
 * recent measurement it must not look faster than the local region.
 */
export const MIN_REMOTE_RESPONSE_MS = 150;
