/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Every metric series of a box; docs/operators/metrics.md lists them. */
import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from 'prom-client';

const FIRST_TOKEN_BUCKETS = [
  0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.1, 1.5, 2.5, 5, 10, 30,
];

/** See the module comment. */
export class GatewayMetrics {
  /** Where all series are registered. */
  readonly registry = new Registry();
  /** Requests by how they ended. */
  readonly requests = new Counter({
    help: 'Requests of callers that have ended, by code',
    labelNames: ['target', 'code', 'outcome'],
    name: 'puffinturn_requests_total',
    registers: [this.registry],
  });
  /** Units billed by this box. */
  readonly billed = new Counter({
    help: 'Budget units billed, by budget',
    labelNames: ['budget'],
    name: 'puffinturn_billed_units_total',
    registers: [this.registry],
  });
  /** Tries after the first one. */
  readonly retries = new Counter({
    help: 'Further tries at upstreams',
    labelNames: ['pool'],
    name: 'puffinturn_retries_total',
    registers: [this.registry],
  });
  /** Second upstreams tried for slow requests. */
  readonly hedges = new Counter({
    help: 'Second upstreams tried for slow requests',
    labelNames: ['pool'],
    name: 'puffinturn_hedges_total',
    registers: [this.registry],
  });
  /** Retries that followed an answer made elsewhere. */
  readonly attached = new Counter({
    help: 'Repeated requests that followed an answer that another one makes',
    name: 'puffinturn_attached_total',
    registers: [this.registry],
  });
  /** Upstream's time to the first bytes. */
  readonly firstToken = new Histogram({
    buckets: FIRST_TOKEN_BUCKETS,
    help: 'Time from sending to the first bytes of an upstream, seconds',
    labelNames: ['pool'],
    name: 'puffinturn_upstream_first_token_seconds',
    registers: [this.registry],
  });
  /** Time from a request's arrival to its admission. */
  readonly admission = new Histogram({
    buckets: [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1, 5, 30],
    help: 'Time from arrival to admission, seconds',
    name: 'puffinturn_admission_seconds',
    registers: [this.registry],
  });
  /** Answers that are being made. */
  readonly running = new Gauge({
    help: 'Answers that are being made on this box',
    name: 'puffinturn_running_answers',
    registers: [this.registry],
  });
  /** Attempts whose closing has no outcome yet. */
  readonly unsettled = new Gauge({
    help: 'Attempts whose settlement has no outcome yet',
    name: 'puffinturn_unsettled_attempts',
    registers: [this.registry],
  });
  /** Requests that wait for an upstream. */
  readonly waiting = new Gauge({
    help: 'Requests that wait for a place on an upstream',
    labelNames: ['pool'],
    name: 'puffinturn_waiting_requests',
    registers: [this.registry],
  });
  /** The configuration that this box works by. */
  readonly configIndex = new Gauge({
    help: 'Log index of the configuration in force on this box',
    name: 'puffinturn_config_index',
    registers: [this.registry],
  });
  /** Whether the box may start new work. */
  readonly ready = new Gauge({
    help: '1 while the box may start new work, else 0',
    name: 'puffinturn_ready',
    registers: [this.registry],
  });

  /** Adds the process's own series. */
  collectProcess(): void {
    collectDefaultMetrics({register: this.registry});
  }
}
