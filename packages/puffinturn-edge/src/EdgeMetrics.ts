/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Prometheus metrics of an edge. */
import {monitorEventLoopDelay} from 'node:perf_hooks';

import {Counter, Gauge, Histogram, Registry} from 'prom-client';

/** Upper bounds of the latency histogram buckets, s. */
const LATENCY_BUCKETS_S = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 15,
];

/** Upper bounds of the buckets for delays of configurations, s. */
const CONFIGURATION_DELAY_BUCKETS_S = [
  0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2, 2.5, 3, 5, 10,
];

/** Interval of the samples of the event loop delay, ms. */
const LOOP_DELAY_RESOLUTION_MS = 50;

const NANOSECONDS_PER_SECOND = 1e9;

/** The metrics of one edge and their registry. */
export class EdgeMetrics {
  readonly registry = new Registry();
  private readonly loopDelays = monitorEventLoopDelay({
    resolution: LOOP_DELAY_RESOLUTION_MS,
  });
  readonly responses = new Counter({
    help: 'Answers to callers by route, status and cause',
    labelNames: ['route', 'status', 'cause'],
    name: 'puffinturn_edge_answers_total',
    registers: [this.registry],
  });
  readonly attempts = new Counter({
    help: 'Attempts at upstreams by service and outcome',
    labelNames: ['service', 'outcome'],
    name: 'puffinturn_edge_attempts_total',
    registers: [this.registry],
  });
  readonly crashes = new Counter({
    help: 'Crashes of upstreams while requests of this edge were there, by service',
    labelNames: ['service'],
    name: 'puffinturn_edge_upstream_crashes_total',
    registers: [this.registry],
  });
  readonly closedUnread = new Counter({
    help: 'Connections of callers that were closed unread because the edge was behind',
    name: 'puffinturn_edge_connections_closed_unread_total',
    registers: [this.registry],
  });
  readonly clientLimits = new Counter({
    help: 'Limits that clients met, by address and limit',
    labelNames: ['address', 'limit'],
    name: 'puffinturn_edge_client_limits_total',
    registers: [this.registry],
  });
  readonly clientConnections = new Gauge({
    help: 'Open connections of clients, by address',
    labelNames: ['address'],
    name: 'puffinturn_edge_client_connections',
    registers: [this.registry],
  });
  readonly clientBodyBytes = new Gauge({
    help: 'Memory of request bodies that are held, by address',
    labelNames: ['address'],
    name: 'puffinturn_edge_client_body_bytes',
    registers: [this.registry],
  });
  readonly quarantined = new Gauge({
    help: 'Requests refused for crashing upstreams, as the core told last',
    name: 'puffinturn_edge_quarantined_requests',
    registers: [this.registry],
  });
  readonly exposed = new Counter({
    help: 'Requests sent to a version that a roll-out moves to, by service',
    labelNames: ['service'],
    name: 'puffinturn_edge_exposed_total',
    registers: [this.registry],
  });
  readonly exposureGranted = new Gauge({
    help: 'Requests that the newest roll-out of a service may expose here, in all',
    labelNames: ['service'],
    name: 'puffinturn_edge_exposure_granted',
    registers: [this.registry],
  });
  readonly firstByte = new Histogram({
    buckets: LATENCY_BUCKETS_S,
    help: 'Time to the first byte of an answer by route, s',
    labelNames: ['route'],
    name: 'puffinturn_edge_first_byte_seconds',
    registers: [this.registry],
  });
  readonly limitedUpstreams = new Gauge({
    help: 'Upstreams that name a limit of requests a second, as known here',
    name: 'puffinturn_edge_limited_upstreams',
    registers: [this.registry],
  });
  readonly permits = new Counter({
    help: 'Permits asked for at upstreams of a bounded rate, by service and outcome',
    labelNames: ['service', 'outcome'],
    name: 'puffinturn_edge_permits_total',
    registers: [this.registry],
  });
  readonly lostLinks = new Gauge({
    help: 'Upstreams that this edge reaches through other edges only',
    name: 'puffinturn_edge_lost_links',
    registers: [this.registry],
  });
  readonly tunnels = new Counter({
    help: 'Requests for tunnels that this edge sent or received, by outcome',
    labelNames: ['role', 'outcome'],
    name: 'puffinturn_edge_tunnels_total',
    registers: [this.registry],
  });
  readonly resumptions = new Counter({
    help: 'Streams that callers resume, by service and by how their version was found',
    labelNames: ['service', 'outcome'],
    name: 'puffinturn_edge_resumptions_total',
    registers: [this.registry],
  });
  readonly streamReplicas = new Gauge({
    help: 'Records of versions of streams that this edge keeps for others',
    name: 'puffinturn_edge_stream_replicas',
    registers: [this.registry],
  });
  readonly openRequests = new Gauge({
    help: 'Requests being served',
    name: 'puffinturn_edge_open_requests',
    registers: [this.registry],
  });
  readonly regionBytes = new Counter({
    help: 'Bytes to and from upstreams of other regions by cause',
    labelNames: ['cause'],
    name: 'puffinturn_edge_region_bytes_total',
    registers: [this.registry],
  });
  readonly crossRegionCallBytes = new Gauge({
    help: 'Bytes of calls sent to boxes of other regions since the start',
    name: 'puffinturn_edge_region_call_bytes',
    registers: [this.registry],
  });
  readonly regionRequests = new Counter({
    help: 'Attempts at upstreams of other regions by service',
    labelNames: ['service'],
    name: 'puffinturn_edge_region_attempts_total',
    registers: [this.registry],
  });
  readonly backlogAge = new Gauge({
    help: 'Longest time that a connection accepted now has waited, s',
    name: 'puffinturn_edge_backlog_age_seconds',
    registers: [this.registry],
  });
  readonly configurationVersion = new Gauge({
    help: 'Version of the configuration in force',
    name: 'puffinturn_edge_configuration_version',
    registers: [this.registry],
  });
  readonly allowance = new Gauge({
    help: 'Prepaid tokens held here by team and state',
    labelNames: ['team', 'state'],
    name: 'puffinturn_edge_allowance_tokens',
    registers: [this.registry],
  });
  readonly charged = new Gauge({
    help: 'Tokens charged here by team since the start',
    labelNames: ['team'],
    name: 'puffinturn_edge_charged_tokens',
    registers: [this.registry],
  });
  readonly partialEventBytes = new Gauge({
    help: 'Bytes held of events of streams that are not complete yet',
    name: 'puffinturn_edge_partial_event_bytes',
    registers: [this.registry],
  });
  readonly stateAge = new Gauge({
    help: 'Time since when the state may lack what the control plane has acknowledged, s',
    name: 'puffinturn_edge_state_age_seconds',
    registers: [this.registry],
  });
  readonly configurationDelay = new Histogram({
    buckets: CONFIGURATION_DELAY_BUCKETS_S,
    help: 'Time from a configuration at the control box that sent it until it is in force here, s',
    name: 'puffinturn_edge_configuration_delay_seconds',
    registers: [this.registry],
  });
  readonly eventLoopDelay = new Gauge({
    help: 'Longest time between two timers due every 50 ms since the last read of the metrics, s',
    name: 'puffinturn_edge_event_loop_delay_seconds',
    registers: [this.registry],
  });
  readonly controlReachable = new Gauge({
    help: '1 while some control box answers',
    name: 'puffinturn_edge_in_touch',
    registers: [this.registry],
  });

  constructor() {
    this.loopDelays.enable();
  }

  /** Sets the gauge of the event loop delay, and starts to measure it anew. */
  updateEventLoopDelay(): void {
    const {loopDelays} = this;
    this.eventLoopDelay.set(loopDelays.max / NANOSECONDS_PER_SECOND);
    loopDelays.reset();
  }
}
