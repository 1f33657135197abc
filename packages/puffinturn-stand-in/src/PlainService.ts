/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** A plain service that counts every execution by business key. */
import type {IncomingMessage, ServerResponse} from 'node:http';

import {sendJson, StandInServer} from './StandInServer';

/** See the module comment. */
export class PlainService extends StandInServer {
  /** Executions by the `order` field of the body (or the path without one). */
  readonly executions = new Map<string, number>();

  constructor(private readonly workMs = 5) {
    super();
  }

  /** Executions in all. */
  get total(): number {
    return [...this.executions.values()].reduce((sum, count) => sum + count, 0);
  }

  protected override async answer(
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
    if (this.strikes(faults.dropBefore)) {
      response.destroy();
      return;
    }
    const key = orderOf(body) ?? request.url ?? '';
    const count = (this.executions.get(key) ?? 0) + 1;
    this.executions.set(key, count);
    await new Promise((resolve) =>
      setTimeout(resolve, this.workMs + faults.slowMs),
    );
    if (faults.hang) {
      return;
    }
    if (this.strikes(faults.dropAfter)) {
      response.destroy();
      return;
    }
    if (this.strikes(faults.fail)) {
      return sendJson(response, 500, {error: 'broken'});
    }
    sendJson(response, 200, {execution: count, order: key});
  }
}

function orderOf(body: string): string | undefined {
  try {
    const {order} = JSON.parse(body) as {order?: unknown};
    return typeof order === 'string' ? order : undefined;
  } catch {
    return undefined;
  }
}
