/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Stand-ins for the operator, the runners and the platform's readiness check. */
import {randomBytes} from 'node:crypto';
import {Agent, createServer, request} from 'node:http';

import {CONTROL_PORT, READY_PORT, sleep, until} from './deployment.mjs';

/** Time after which an unanswered call of the operator or a runner goes on, ms. */
const CALL_TIMEOUT_MS = 1_000;
const HEARTBEAT_MS = 1_200;

/** Sends a request and reads its whole answer; rejects if that is cut short. */
export function call(host, port, options) {
  const {agent, body, headers = {}, method = 'GET', path, timeoutMs} = options;
  return new Promise((resolve, reject) => {
    const outgoing = request(
      {agent: agent ?? new Agent(), headers, host, method, path, port},
      (answer) => {
        const chunks = [];
        answer.on('data', (chunk) => chunks.push(chunk));
        answer.on('error', reject);
        answer.on('end', () =>
          resolve({
            body: Buffer.concat(chunks),
            headers: answer.headers,
            status: answer.statusCode,
          }),
        );
      },
    );
    outgoing.on('error', reject);
    if (timeoutMs !== undefined) {
      outgoing.setTimeout(timeoutMs, () =>
        outgoing.destroy(new Error('no answer in time')),
      );
    }
    outgoing.end(body);
  });
}

const callOrUndefined = (...args) => call(...args).catch(() => undefined);

/** Sends orders to one control machine after the other until one acknowledges. */
export class Operator {
  #next = 0;

  constructor(deployment, record) {
    this.deployment = deployment;
    this.record = record;
  }

  async apply(document) {
    const body = JSON.stringify(document);
    await until(`version ${document.version} acknowledged`, async () => {
      const answer = await this.callNext({
        body,
        headers: {'Content-Type': 'application/json'},
        method: 'POST',
        path: '/api/config/replace',
        timeoutMs: CALL_TIMEOUT_MS,
      });
      return answer?.status === 200;
    });
    this.record.note(`version ${document.version} acknowledged`);
  }

  /** Calls the next control machine; undefined without an answer. */
  callNext(options) {
    const {controls} = this.deployment;
    const {ip} = controls[this.#next % controls.length];
    this.#next += 1;
    return callOrUndefined(ip, CONTROL_PORT, options);
  }
}

/** Resolves once all edges answer the platform's readiness question with 200. */
export async function untilReady(deployment) {
  for (const {ip, name} of deployment.edges) {
    await until(`${name} ready`, async () => {
      const answer = await callOrUndefined(ip, READY_PORT, {
        path: '/api/readyz',
        timeoutMs: CALL_TIMEOUT_MS,
      });
      return answer?.status === 200;
    });
  }
}

/** A runner: sends heartbeats, and runs requests as the pages say. */
export class Runner {
  id = `i-${randomBytes(4).toString('hex')}`;
  born = Date.now();
  state = 'ready';
  version = 'v1';
  /** What was run: attempt, path and time. */
  runs = [];
  #sequence = 0;
  #isEnded = false;

  /** `answer(run, request, response)` sends the answer of a request that is run. */
  constructor(
    deployment,
    {answer, host, port = 8080, service, slots = 64, zone},
  ) {
    Object.assign(this, {answer, deployment, host, port, service, slots, zone});
  }

  async start() {
    this.server = createServer((incoming, response) => {
      void this.#serve(incoming, response);
    });
    this.server.on('connection', (socket) => {
      socket.on('error', () => undefined);
    });
    await new Promise((done) => this.server.listen(this.port, this.host, done));
    void this.#sendHeartbeats();
  }

  stop() {
    this.#isEnded = true;
    this.server.closeAllConnections();
    this.server.close();
  }

  async #sendHeartbeats() {
    for (let next = 0; !this.#isEnded;) {
      this.#sequence += 1;
      const {controls} = this.deployment;
      const answer = await callOrUndefined(
        controls[next % controls.length].ip,
        CONTROL_PORT,
        {
          body: JSON.stringify({
            address: `${this.host}:${this.port}`,
            born: this.born,
            coldLeftMs: 0,
            models: [{adapters: [], name: 'm', version: 1}],
            sequence: this.#sequence,
            service: this.service,
            slots: this.slots,
            stage: 'unified',
            state: this.state,
            version: this.version,
            zone: this.zone,
          }),
          headers: {'Content-Type': 'application/json'},
          method: 'POST',
          path: `/api/instances/${this.id}/heartbeat`,
          timeoutMs: CALL_TIMEOUT_MS,
        },
      );
      if (answer?.status === 200) {
        await sleep(HEARTBEAT_MS);
      } else {
        next += 1;
        await sleep(50);
      }
    }
  }

  async #serve(incoming, response) {
    incoming.on('error', () => undefined);
    response.on('error', () => undefined);
    const chunks = [];
    try {
      for await (const chunk of incoming) {
        chunks.push(chunk);
      }
    } catch {
      return;
    }
    const {headers, url} = incoming;
    const attempt = headers['attempt-id'];
    response.setHeader('Server-Seal', `seal-${this.id}`);
    if (attempt === undefined) {
      response.writeHead(400, {'Not-Executed': '1'}).end();
      return;
    }
    response.setHeader('Attempt-Id', attempt);
    if ((headers['expect-instance'] ?? this.id) !== this.id) {
      response.writeHead(421, {'Not-Executed': '1'}).end();
      return;
    }
    const run = {
      at: Date.now(),
      attempt,
      body: Buffer.concat(chunks),
      headers,
      path: url,
    };
    this.runs.push(run);
    await this.answer(run, incoming, response);
  }
}
