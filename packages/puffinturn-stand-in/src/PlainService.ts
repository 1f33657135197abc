/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {IncomingMessage, ServerResponse} from 'node:http';

import {sendJson, StandInServer} from './StandInServer';

/** A plain service that counts executions by business key. */
export class PlainService extends StandInServer {
  /** Number of executions by the `order` field of the body, or by path without one. */
  readonly executions = new Map<string, number>();

  constructor(private readonly latencyMs = 5) {
    super();
  }

  /** Total number of executions. */
  get totalExecutions(): number {
    return [...this.executions.values()].reduce((sum, count) => sum + count, 0);
  }

  protected override async handleRequest(
    request: IncomingMessage,
    body: string,
    response: ServerResponse,
  ): Promise<void> {
    const {faults} = this;
    if (request.url === '/stats') {
      const executions = Object.fromEntries(this.executions);
      return sendJson(response, 200, {executions});
    }
    if (faults.leaving) {
      response.setHeader('puffinturn-leaving', 'true');
      response.setHeader('puffinturn-not-run', 'true');
      return sendJson(response, 503, {error: 'leaving'});
    }
    if (this.shouldInjectFault(faults.dropBefore)) {
      response.destroy();
      return;
    }
    const key = parseOrder(body) ?? request.url ?? '';
    const executionCount = (this.executions.get(key) ?? 0) + 1;
    this.executions.set(key, executionCount);
    await new Promise((resolve) =>
      setTimeout(resolve, this.latencyMs + faults.slowMs),
    );
    if (faults.hang) {
      return;
    }
    if (this.shouldInjectFault(faults.dropAfter)) {
      response.destroy();
      return;
    }
    if (this.shouldInjectFault(faults.fail)) {
      return sendJson(response, 500, {error: 'broken'});
    }
    sendJson(response, 200, {execution: executionCount, order: key});
  }
}

function parseOrder(body: string): string | undefined {
  try {
    const {order} = JSON.parse(body) as {order?: unknown};
    return typeof order === 'string' ? order : undefined;
  } catch {
    return undefined;
  }
}
