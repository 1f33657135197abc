/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The operator of the pages: orders configurations and reads them back. */
import {CONTROL_PORT, sleep} from './fleet.mjs';
import {send} from './http.mjs';

/** Time without an answer after which the operator goes on to another machine, ms. */
const CALL_TIMEOUT_MS = 1_000;
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 800;

/** Sends one order at a time, unchanged to other machines until it is acknowledged. */
export class Operator {
  /** The newest version that was acknowledged, and when. */
  acknowledged = {at: 0, version: 0};
  acknowledgedCount = 0;
  #next = 0;

  constructor(fleet, record) {
    this.fleet = fleet;
    this.record = record;
  }

  /** Orders a configuration; resolves to false if `deadline` passes without an ack. */
  async order(document, deadline = Infinity) {
    const body = JSON.stringify(document);
    let backoffMs = MIN_BACKOFF_MS;
    while (Date.now() < deadline) {
      const answer = await this.#call({
        body,
        headers: {'Content-Type': 'application/json'},
        method: 'POST',
        path: '/api/config/replace',
      });
      if (answer?.status === 200) {
        this.acknowledgedCount += 1;
        this.record.list(`order of version ${document.version} acknowledged`);
        if (document.version > this.acknowledged.version) {
          this.acknowledged = {at: Date.now(), version: document.version};
        }
        return true;
      }
      if (answer !== undefined && answer.status < 500) {
        throw new Error(`an order was refused with ${answer.status}`);
      }
      await sleep(backoffMs);
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    }
    return false;
  }

  /** Reads the configuration once, at the next machine; undefined without a 200. */
  async read() {
    const answer = await this.#call({path: '/api/config/read'});
    return answer?.status === 200 ? JSON.parse(answer.body) : undefined;
  }

  #call(options) {
    const {controls} = this.fleet;
    const {ip} = controls[this.#next % controls.length];
    this.#next += 1;
    return send(ip, CONTROL_PORT, {
      ...options,
      timeoutMs: CALL_TIMEOUT_MS,
    }).catch(() => undefined);
  }
}
