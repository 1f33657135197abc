/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The platform of a small deployment: starts the project's programs as processes with the
 * commands of the deploy file, on loopback addresses, and ends those that it started.
 */
import {spawn} from 'node:child_process';
import {
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';

const ROOT = resolve(import.meta.dirname, '../..');
const SETTINGS_VARIABLE = 'PUFFINTURN_SETTINGS';
export const CONTROL_PORT = 8229;
export const FRONTEND_PORT = 8227;
export const READY_PORT = 8220;
const INTERNAL_PORTS = [7340, 7355];
const ZONES = ['pdx-a', 'sea-b', 'spk-c'];
export const GRACE_S = 8;
/** Memory of the machines, by role, as in the sheet. */
export const MEMORY_MB = {control: 346, edge: 350};
export const CONTACT_MS = 3_000;

const LIMITS = {
  control: `cpuQuota = 0.81
cores = 1
memoryMb = ${MEMORY_MB.control}
maxFds = 4096
linkMbps = 170.0
diskMb = 128`,
  edge: `cpuQuota = 0.675
cores = 1
memoryMb = ${MEMORY_MB.edge}
maxFds = 4200
linkMbps = 1000.0
diskMb = 0`,
};

export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));

/** Repeats `attempt` until it gives a truthy value; throws after `maxMs`. */
export async function until(what, attempt, maxMs = 20_000) {
  const deadline = Date.now() + maxMs;
  while (Date.now() < deadline) {
    const value = await attempt();
    if (value) {
      return value;
    }
    await sleep(50);
  }
  throw new Error(`timed out: ${what}`);
}

function canListen(host, port) {
  return new Promise((done) => {
    const server = createServer();
    server.once('error', () => done(false));
    server.listen(port, host, () => server.close(() => done(true)));
  });
}

async function chooseNetwork() {
  for (;;) {
    const numbers = [1, 2].map(() => 1 + Math.floor(Math.random() * 250));
    const network = `127.${numbers.join('.')}`;
    const ports = [CONTROL_PORT, FRONTEND_PORT, READY_PORT, INTERNAL_PORTS[0]];
    const free = await Promise.all(
      ports.flatMap((port) => [
        canListen(`${network}.11`, port),
        canListen(`${network}.51`, port),
      ]),
    );
    if (!free.includes(false)) {
      return network;
    }
  }
}

/** One machine, with one process of the system. */
class Machine {
  process;
  exit;
  log = '';

  constructor(deployment, role, index) {
    this.deployment = deployment;
    this.role = role;
    const first = role === 'control' ? 11 : 51;
    this.ip = `${deployment.network}.${first + index}`;
    this.zone = ZONES[index % ZONES.length];
    this.name = `${role}-${this.zone}-${index + 1}`;
    this.folder = join(deployment.folder, this.name);
    this.settingsPath = join(this.folder, 'node.toml');
    this.dataDir = join(this.folder, 'data');
    mkdirSync(this.dataDir, {recursive: true});
  }

  writeSettings(bootstrap) {
    const {seeds} = this.deployment;
    const isControl = this.role === 'control';
    const listeners = isControl
      ? `controlPlane = "${this.ip}:${CONTROL_PORT}"`
      : `frontend = "${this.ip}:${FRONTEND_PORT}"\nready = "${this.ip}:${READY_PORT}"`;
    const text = `nodeName = "${this.name}"
role = "${this.role}"
machineClass = "${isControl ? 'core' : 'edge'}"
serves = ["${this.role}"]
ip = "${this.ip}"
zone = "${this.zone}"
region = "pnw"
internalPorts = [${INTERNAL_PORTS.join(',')}]
seedNodes = ${JSON.stringify(seeds)}
bootstrap = ${bootstrap}
inTolerance = ${isControl}
${isControl ? `dataDir = "${this.dataDir}"` : ''}
discovery = "registration"
entryType = "anycast"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants"]
configMode = "highest"
[zones]
${ZONES.map((zone) => `${zone} = "pnw"`).join('\n')}
[listenersMap]
${listeners}
[limits]
${LIMITS[this.role]}
[faultTolerance]
machines = ${this.deployment.toleratedMachines}
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = ${CONTACT_MS}
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = ${GRACE_S}
lossSlackMs = 200
configApplyMs = 2000
downgradeMs = 250
maxStretchMs = 5000
strictRevocation = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = 52
recoverS = 12
passMs = 120
retryAfterS = 10
settle_ms = 1500
`;
    writeFileSync(this.settingsPath, text);
  }

  start(bootstrap = false) {
    this.writeSettings(bootstrap);
    const [, ...args] = this.deployment.commands[this.role].split(' ');
    const {HOME, LANG, PATH} = process.env;
    const child = spawn(process.execPath, args, {
      cwd: ROOT,
      env: {HOME, LANG, PATH, [SETTINGS_VARIABLE]: this.settingsPath},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.process = child;
    for (const output of [child.stdout, child.stderr]) {
      output.on('data', (bytes) => (this.log += bytes));
    }
    this.exit = new Promise((done) =>
      child.once('exit', (code, signal) => {
        if (this.process === child) {
          this.process = undefined;
        }
        done({at: Date.now(), code, signal});
      }),
    );
  }

  signal(name) {
    this.process?.kill(name);
  }

  /** The log lines of the process that have one of these events. */
  events(...names) {
    return this.log
      .split('\n')
      .filter((line) => line.startsWith('{') && line.endsWith('}'))
      .map((line) => JSON.parse(line))
      .filter(({event}) => names.includes(event));
  }
}

/** All machines of a deployment. */
export class Deployment {
  static async create({
    controls,
    edges,
    toleratedMachines = controls > 3 ? 2 : 1,
  }) {
    const deployment = new Deployment();
    deployment.toleratedMachines = toleratedMachines;
    deployment.network = await chooseNetwork();
    deployment.folder = mkdtempSync(join(tmpdir(), 'review-'));
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
    const commands = [
      ...deploy.matchAll(/\[roles\.(\w+)\]\s+run = "([^"]+)"/g),
    ];
    deployment.commands = Object.fromEntries(
      commands.map(([, role, command]) => [role, command]),
    );
    const create = (role, count) =>
      Array.from(
        {length: count},
        (_, index) => new Machine(deployment, role, index),
      );
    deployment.controls = create('control', controls);
    deployment.edges = create('edge', edges);
    deployment.seeds = deployment.controls
      .slice(0, 3)
      .map(({ip}) => `${ip}:${CONTROL_PORT}`);
    return deployment;
  }

  get machines() {
    return [...this.controls, ...this.edges];
  }

  start() {
    for (const machine of this.machines) {
      machine.start(true);
    }
  }

  /** Ends all processes that were started here. */
  async dispose() {
    const running = this.machines.filter((machine) => machine.process);
    for (const machine of running) {
      machine.signal('SIGCONT');
      machine.signal('SIGKILL');
    }
    await Promise.all(running.map(({exit}) => exit));
    rmSync(this.folder, {force: true, recursive: true});
  }
}
