/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Five core machines, six edges with clients of ten tenants, and an operator who
 * changes the configuration. Each core process is killed once, its disk is kept, and it is
 * back within a second. At the end every process is killed, right after a configuration was
 * acknowledged, and the operator reads back what holds.
 */
import {randomBytes} from 'node:crypto';
import {readdirSync, watch} from 'node:fs';
import {Agent} from 'node:http';
import {join} from 'node:path';

import {CALLER_PORT, Fleet, sleep} from '../lib/fleet.mjs';
import {send} from '../lib/http.mjs';
import {Operator} from '../lib/operator.mjs';
import {RESULT, runCase} from '../lib/record.mjs';
import {Runner} from '../lib/runner.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const CONTROLS = 5;
const EDGES = 6;
const TENANTS = 10;

/** Time for which a killed process is down, ms. */
const DOWN_MS = 400;
/** Clients of each edge, and the pause of each between two requests, ms. */
const CLIENTS_PER_EDGE = 8;
const CLIENT_PAUSE_MS = 40;
/** Pause between two orders of the operator, ms. */
const ORDER_PAUSE_MS = 330;
/** Limit of the first part, ms; the whole run takes less than 120 s. */
const FIRST_PART_MS = 88_000;
/** Bounds of the settings, ms. */
const CONTACT_MS = 3_000;
const CONFIG_APPLY_MS = 2_000;
const RECOVER_MS = 12_000;

const SEGMENT = /^segment-\d{16}$/;

function buildDocument(version) {
  return {
    limits: {
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
      maxBodyBytes: 4_194_304,
      maxHeaderBytes: 16_384,
    },
    routes: [
      {
        anonymous: false,
        gapTargetMs: 400,
        host: 'lenses.example',
        maxAttempts: 2,
        name: 'r-chat',
        pathPrefix: '/chat/',
        priority: 0,
        resumable: true,
        routeType: 'streaming',
        service: 'puffin-pool',
        sloMs: 800,
        sticky: true,
        timeoutMs: 15_000 + (version % 7),
      },
    ],
    services: [
      {
        engine: {
          kvBytes: 18_432,
          kvCapacityTokens: 562_615,
          linkMbps: 370_000,
          models: [{name: 'm'}],
          moves: true,
          slots: 64,
          stride: 5,
        },
        healthPath: '/healthz',
        maxConns: 360,
        name: 'puffin-pool',
        protocol: 'h1',
        tls: false,
      },
    ],
    tenants: Array.from({length: TENANTS}, (_, number) => ({
      apiKeys: [`key-of-clinic-${number}`],
      name: `clinic-${number}`,
      prepaid: 30_000_000,
      priority: 1,
    })),
    version,
  };
}

function segmentsOf({dataDir}) {
  return readdirSync(dataDir).filter((name) => SEGMENT.test(name));
}

/** Kills each core process once, at a moment at which it replaces its log segment. */
class SegmentKills {
  /** Processes that were killed between the two steps of the replacement. */
  killed = new Set();
  #watchers = [];

  constructor(fleet, record) {
    for (const machine of fleet.controls) {
      let known = new Set(segmentsOf(machine));
      const watcher = watch(machine.dataDir, (_event, name) => {
        const isNew = SEGMENT.test(name ?? '') && !known.has(name);
        if (!isNew || this.killed.has(machine) || !machine.isRunning) {
          return;
        }
        machine.signal('SIGKILL');
        known.add(name);
        void machine.kill().then(async () => {
          const left = segmentsOf(machine);
          known = new Set(left);
          record.note(
            `${machine.name} killed; its log segments: ${left.join(' ')}`,
          );
          if (left.length > 1) {
            this.killed.add(machine);
          }
          await sleep(DOWN_MS);
          fleet.restart(machine);
        });
      });
      this.#watchers.push(watcher);
    }
  }

  stop() {
    for (const watcher of this.#watchers) {
      watcher.close();
    }
  }
}

/** One client: it sends a request, reads the stream, and waits. */
async function runClient(edge, number, totals, isOpen) {
  const agent = new Agent({keepAlive: true, maxSockets: 1});
  const tenant = number % TENANTS;
  while (isOpen()) {
    totals.sent += 1;
    const answer = await send(edge.ip, CALLER_PORT, {
      agent,
      headers: {
        'Attempt-Id': randomBytes(8).toString('hex'),
        Credential: `key-of-clinic-${tenant}`,
        'Deadline-Ms': '15000',
        Host: 'lenses.example',
        Model: 'm',
        'Prompt-Prefix': `5c1e07a2:4000,${randomBytes(4).toString('hex')}:1000`,
        'Token-Usage': '5000,380',
      },
      path: '/chat/2f',
      timeoutMs: 15_000,
    }).catch(() => undefined);
    const status = answer?.status ?? 'closed';
    totals.answers.set(status, (totals.answers.get(status) ?? 0) + 1);
    await sleep(CLIENT_PAUSE_MS);
  }
  agent.destroy();
}

/** Reads the configuration, at each machine in turn, until the recovery time is over. */
async function readBack(operator, record) {
  const reads = [];
  const startedAt = Date.now();
  while (Date.now() - startedAt < RECOVER_MS + CONTACT_MS) {
    const isDue = Date.now() - operator.acknowledged.at > CONFIG_APPLY_MS;
    const document = await operator.read();
    if (document !== undefined && isDue) {
      reads.push(document.version);
      record.list(`version ${document.version} read back`);
    }
    await sleep(100);
  }
  return reads;
}

async function run(record, onEnd) {
  const fleet = await Fleet.create({controls: CONTROLS, edges: EDGES}, record);
  onEnd(() => fleet.dispose());
  const operator = new Operator(fleet, record);
  record.note(`trouble: ${HAS_TROUBLE ? 'yes' : 'no'}`);
  fleet.start();
  for (const [index, zone] of ['pdx-a', 'sea-b', 'spk-c'].entries()) {
    const host = `${fleet.prefix}.${100 + index}`;
    const service = 'puffin-pool';
    const engine = new Runner(fleet, {engine: true, host, service, zone});
    await engine.start();
    onEnd(() => engine.stop());
  }
  let version = 1;
  if (!(await operator.order(buildDocument(version), Date.now() + 15_000))) {
    record.note('result: not run, the first configuration was not taken');
    return RESULT.notRun;
  }
  await sleep(1_500);
  const kills = HAS_TROUBLE ? new SegmentKills(fleet, record) : undefined;
  onEnd(() => kills?.stop());
  let isOpen = true;
  const totals = {answers: new Map(), sent: 0};
  for (const edge of fleet.edges) {
    for (let number = 0; number < CLIENTS_PER_EDGE; number += 1) {
      void runClient(edge, number, totals, () => isOpen);
    }
  }
  let isOrdering = true;
  const ordering = (async () => {
    while (isOrdering) {
      version += 1 + (version % 3);
      await operator.order(buildDocument(version));
      await sleep(ORDER_PAUSE_MS);
    }
  })();
  // The first part ends when each core process has replaced its segment twice more.
  const startedAt = Date.now();
  let segmentAtKills;
  while (Date.now() - startedAt < FIRST_PART_MS) {
    await sleep(100);
    const newest = fleet.controls.map((machine) =>
      Math.max(...segmentsOf(machine).map((name) => Number(name.slice(8)))),
    );
    if (segmentAtKills === undefined) {
      const isDone = !HAS_TROUBLE || kills.killed.size === CONTROLS;
      segmentAtKills = isDone ? Math.max(...newest) : undefined;
    } else if (Math.min(...newest) >= segmentAtKills + 2) {
      break;
    }
  }
  kills?.stop();
  await sleep(1_000);
  isOrdering = false;
  await ordering;
  const {acknowledged} = operator;
  record.note(
    `${operator.acknowledgedCount} orders acknowledged, the newest is version ${acknowledged.version}`,
  );
  record.note(
    `${totals.sent} requests sent, answers: ${[...totals.answers].map(([status, count]) => `${status} ${count} times`).join(', ')}`,
  );
  for (const machine of fleet.controls) {
    record.note(
      `${machine.name} log segments: ${segmentsOf(machine).join(' ')}`,
    );
  }
  if (HAS_TROUBLE) {
    record.note('the final fault: every process is killed, disks are kept');
    await Promise.all(fleet.machines.map((machine) => machine.kill()));
    await sleep(DOWN_MS);
    fleet.machines.forEach((machine) => fleet.restart(machine));
  }
  const reads = await readBack(operator, record);
  isOpen = false;
  const versions = [...new Set(reads)].sort((a, b) => a - b);
  record.note(
    `${reads.length} reads in ${RECOVER_MS + CONTACT_MS} ms, versions: ${versions.join(', ') || 'none'}`,
  );
  const last = reads.at(-1);
  if (last === undefined) {
    record.note('result: broken, the configuration does not come');
    return RESULT.broken;
  }
  if (versions[0] < acknowledged.version) {
    record.note(
      `result: broken, version ${versions[0]} was read back, older than ${acknowledged.version}, which was acknowledged; the last read is ${last}`,
    );
    return RESULT.broken;
  }
  record.note('result: held');
  return RESULT.held;
}

await runCase(join(import.meta.dirname, 'record.txt'), 118, run);
