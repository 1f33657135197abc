/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Stand-ins for the runners: they send heartbeats, and run requests as the pages say. */
import {randomBytes} from 'node:crypto';
import {createServer} from 'node:http';

import {CONTROL_PORT, sleep} from './fleet.mjs';
import {send} from './http.mjs';

const HEARTBEAT_MS = 1_200;
const ACK_TIMEOUT_MS = 1_000;

/** One runner. With `engine`, its answers are streams of `eventCount` events. */
export class Runner {
  id = `i-${randomBytes(5).toString('hex')}`;
  born = Date.now();
  state = 'ready';
  /** What was run: attempt id, path, time, headers and body. */
  runs = [];
  eventCount = 4;
  eventIntervalMs = 5;
  workMs = 20;
  slots = 64;
  #sequence = 0;
  #next = 0;
  #isStopped = false;
  #server;

  constructor(fleet, options) {
    const {engine, host, port = 8080, service, version = 'v1', zone} = options;
    Object.assign(this, {engine, fleet, host, port, service, version, zone});
  }

  async start() {
    this.#isStopped = false;
    this.#server = createServer(
      {keepAliveTimeout: 5_000},
      (request, answer) => {
        request.on('error', () => undefined);
        answer.on('error', () => undefined);
        void this.#serve(request, answer);
      },
    );
    await new Promise((done) =>
      this.#server.listen(this.port, this.host, done),
    );
    void this.#beat();
  }

  stop() {
    this.#isStopped = true;
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #beat() {
    while (!this.#isStopped) {
      await this.report(this.state);
      await sleep(HEARTBEAT_MS);
    }
  }

  /** Sends one heartbeat; resolves to whether it was acknowledged. */
  report(state) {
    const {born, host, port, service, slots, version, zone} = this;
    this.state = state;
    return this.#call('heartbeat', {
      address: `${host}:${port}`,
      born,
      coldLeftMs: 0,
      models: [{adapters: [], name: 'm', version: 1}],
      service,
      slots,
      stage: 'unified',
      state,
      version,
      zone,
    });
  }

  /** Says that this runner ends; resolves to whether that was acknowledged. */
  deregister() {
    this.#isStopped = true;
    return this.#call('deregister', {born: this.born});
  }

  /** Calls one machine after the other until one acknowledges. */
  async #call(name, fields) {
    const {controls} = this.fleet;
    this.#sequence += 1;
    const body = JSON.stringify({...fields, sequence: this.#sequence});
    for (let call = 0; call < controls.length; call += 1) {
      const {ip} = controls[this.#next % controls.length];
      const answer = await send(ip, CONTROL_PORT, {
        body,
        headers: {'Content-Type': 'application/json'},
        method: 'POST',
        path: `/api/instances/${this.id}/${name}`,
        timeoutMs: ACK_TIMEOUT_MS,
      }).catch(() => undefined);
      if (answer !== undefined && answer.status < 300) {
        return true;
      }
      this.#next += 1;
    }
    return false;
  }

  async #serve(request, answer) {
    const chunks = [];
    try {
      for await (const chunk of request) {
        chunks.push(chunk);
      }
    } catch {
      return;
    }
    const {headers} = request;
    const attempt = headers['attempt-id'];
    answer.setHeader('Server-Seal', `seal-${this.id}`);
    if (attempt === undefined) {
      answer.writeHead(400, {'Not-Executed': '1'}).end();
      return;
    }
    answer.setHeader('Attempt-Id', attempt);
    const expected = headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      answer.writeHead(421, {'Not-Executed': '1'}).end();
      return;
    }
    const run = {
      at: Date.now(),
      attempt,
      body: Buffer.concat(chunks),
      events: 0,
      headers,
      path: request.url,
    };
    this.runs.push(run);
    await this.run(run, request, answer);
  }

  /** Runs one request; cases replace it. */
  async run(run, request, answer) {
    await sleep(this.workMs);
    if (!this.engine) {
      answer.end(`run by ${this.id}`);
      return;
    }
    answer.setHeader('Content-Type', 'text/event-stream');
    const first = Number(run.headers['last-event-id'] ?? 0) + 1;
    for (let id = first; id <= this.eventCount; id += 1) {
      if (answer.destroyed) {
        return;
      }
      run.events = id;
      answer.write(`id: ${id}\ndata: event ${id}\n\n`);
      await sleep(this.eventIntervalMs);
    }
    answer.end();
  }
}
