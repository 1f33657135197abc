/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Prometheus metrics of a box; documented in docs/operators/metrics.md. */
import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from 'prom-client';
import type {ServerUsage} from 'puffinturn-server';

const FIRST_TOKEN_BUCKETS_S = [
  0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.1, 1.5, 2.5, 5, 10, 30,
];

/** Registers and holds the metrics of one box. */
export class GatewayMetrics {
  /** Registry of all metrics. */
  readonly registry = new Registry();
  /** Completed requests by code and outcome. */
  readonly requests = new Counter({
    help: 'Requests of callers that have ended, by code',
    labelNames: ['target', 'code', 'outcome'],
    name: 'puffinturn_requests_total',
    registers: [this.registry],
  });
  /** Limits that clients met. */
  readonly clientLimits = new Counter({
    help: 'Limits that clients met, by address and limit',
    labelNames: ['address', 'limit'],
    name: 'puffinturn_client_limits_total',
    registers: [this.registry],
  });
  private readonly clientConnections = new Gauge({
    help: 'Open connections of clients, by address',
    labelNames: ['address'],
    name: 'puffinturn_client_connections',
    registers: [this.registry],
  });
  private readonly clientBodyBytes = new Gauge({
    help: 'Memory of request bodies that are held, by address',
    labelNames: ['address'],
    name: 'puffinturn_client_body_bytes',
    registers: [this.registry],
  });
  /** Budget units billed by this box. */
  readonly billedUnits = new Counter({
    help: 'Budget units billed, by budget',
    labelNames: ['budget'],
    name: 'puffinturn_billed_units_total',
    registers: [this.registry],
  });
  /** Retries of upstream calls. */
  readonly retries = new Counter({
    help: 'Further tries at upstreams',
    labelNames: ['pool'],
    name: 'puffinturn_retries_total',
    registers: [this.registry],
  });
  /** Hedged requests. */
  readonly hedges = new Counter({
    help: 'Second upstreams tried for slow requests',
    labelNames: ['pool'],
    name: 'puffinturn_hedges_total',
    registers: [this.registry],
  });
  /** Repeated requests that attached to the response of another attempt. */
  readonly attachedRequests = new Counter({
    help: 'Repeated requests that followed an answer that another one makes',
    name: 'puffinturn_attached_total',
    registers: [this.registry],
  });
  /** Time from sending a request to the first bytes of its response. */
  readonly firstTokenSeconds = new Histogram({
    buckets: FIRST_TOKEN_BUCKETS_S,
    help: 'Time from sending to the first bytes of an upstream, seconds',
    labelNames: ['pool'],
    name: 'puffinturn_upstream_first_token_seconds',
    registers: [this.registry],
  });
  /** Time from the arrival of a request to its admission. */
  readonly admissionSeconds = new Histogram({
    buckets: [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1, 5, 30],
    help: 'Time from arrival to admission, seconds',
    name: 'puffinturn_admission_seconds',
    registers: [this.registry],
  });
  /** Responses in progress. */
  readonly activeResponses = new Gauge({
    help: 'Answers that are being made on this box',
    name: 'puffinturn_running_answers',
    registers: [this.registry],
  });
  /** Attempts whose settlement or release has no outcome yet. */
  readonly unsettledAttempts = new Gauge({
    help: 'Attempts whose settlement has no outcome yet',
    name: 'puffinturn_unsettled_attempts',
    registers: [this.registry],
  });
  /** Requests waiting for a slot on an upstream. */
  readonly waitingRequests = new Gauge({
    help: 'Requests that wait for a place on an upstream',
    labelNames: ['pool'],
    name: 'puffinturn_waiting_requests',
    registers: [this.registry],
  });
  /** Log index of the current configuration. */
  readonly configIndex = new Gauge({
    help: 'Log index of the configuration in force on this box',
    name: 'puffinturn_config_index',
    registers: [this.registry],
  });
  /** Whether the box accepts new requests. */
  readonly ready = new Gauge({
    help: '1 while the box may start new work, else 0',
    name: 'puffinturn_ready',
    registers: [this.registry],
  });

  /** Whether the disk of this control box refuses writes. */
  readonly diskRefusesWrites = new Gauge({
    help: '1 while the disk of this control box refuses writes, else 0',
    name: 'puffinturn_disk_refuses_writes',
    registers: [this.registry],
  });

  /** Sets what the clients of an address hold. */
  setClientUsage(address: string, {bodyBytes, connections}: ServerUsage): void {
    this.clientBodyBytes.set({address}, bodyBytes);
    this.clientConnections.set({address}, connections);
  }

  /** Adds the default metrics of the process. */
  collectProcessMetrics(): void {
    collectDefaultMetrics({register: this.registry});
  }
}
