/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The HTTP listeners of an edge on which clients connect, each with limits of its own. */
import type {ResultAsync} from 'neverthrow';
import {ok, safeTry} from 'neverthrow';
import type {DecisionLog} from 'puffinturn-decisions';
import type {
  BoundedServerParts,
  RequestHandler,
  ServerLimits,
} from 'puffinturn-server';
import type {Clock} from 'shared';

import type {EdgeMetrics} from '../EdgeMetrics';
import type {HttpAddress, HttpListenFailure} from './HttpListener';
import {HttpListener} from './HttpListener';

/** One listener: where it listens, what its clients may take up, who handles requests. */
export interface ClientListenerParts {
  readonly address: HttpAddress;
  readonly limits: ServerLimits;
  readonly onRequest: RequestHandler;
}

/** Dependencies and listeners; logs and metrics name the listeners as the fields here. */
export interface ClientListenersParts {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: EdgeMetrics;
  readonly listeners: {
    readonly callers: ClientListenerParts;
    readonly readiness: ClientListenerParts;
    readonly metrics: ClientListenerParts;
  };
}

/** Owns the listeners. Disposing it closes their connections. */
export class ClientListeners implements AsyncDisposable {
  private constructor(
    readonly callers: HttpListener,
    private readonly others: ReadonlyMap<string, HttpListener>,
    private readonly metrics: EdgeMetrics,
  ) {}

  /** Starts all listeners. */
  static open(
    parts: ClientListenersParts,
  ): ResultAsync<ClientListeners, HttpListenFailure> {
    const {callers, metrics, readiness} = parts.listeners;
    return safeTry(async function* () {
      const callerListener = yield* openListener(parts, 'callers', callers);
      const others = new Map([
        ['readiness', yield* openListener(parts, 'readiness', readiness)],
        ['metrics', yield* openListener(parts, 'metrics', metrics)],
      ]);
      return ok(new ClientListeners(callerListener, others, parts.metrics));
    });
  }

  /** Sets the gauges of what clients hold. */
  updateMetrics(): void {
    const {clientBodyBytes, clientConnections} = this.metrics;
    for (const [address, {usage}] of this.all) {
      clientBodyBytes.set({address}, usage.bodyBytes);
      clientConnections.set({address}, usage.connections);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(
      this.all.map(([, listener]) => listener[Symbol.asyncDispose]()),
    );
  }

  private get all(): [string, HttpListener][] {
    return [['callers', this.callers], ...this.others];
  }
}

function openListener(
  {clock, log, metrics}: ClientListenersParts,
  name: string,
  {address, limits, onRequest}: ClientListenerParts,
): ResultAsync<HttpListener, HttpListenFailure> {
  const parts: BoundedServerParts = {
    clock,
    limits,
    observer: {
      onLimit: (limit) => metrics.clientLimits.inc({address: name, limit}),
      onReport: (report) =>
        log.note({...report, address: name, event: 'clients-limited'}),
    },
  };
  return HttpListener.open(address, onRequest, parts);
}
