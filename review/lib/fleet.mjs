/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Starts the project's two programs as processes, with the commands of the deploy file
 * and with settings like those of a small deployment, on loopback addresses.
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

import {parse} from 'smol-toml';

const ROOT = resolve(import.meta.dirname, '../..');
export const CONTROL_PORT = 8229;
export const CALLER_PORT = 8227;
export const READY_PORT = 8220;
const FIRST_INTERNAL_PORT = 7340;
const LAST_INTERNAL_PORT = 7355;

/** Zones of the machines, in the order in which they are filled. */
const ZONES = ['pdx-a', 'sea-b', 'spk-c', 'pdx-a', 'sea-b', 'spk-c'];

export function sleep(ms) {
  return new Promise((done) => setTimeout(done, ms));
}

/** Whether nothing else listens on an address. */
function isFree(host, port) {
  return new Promise((done) => {
    const server = createServer();
    server.once('error', () => done(false));
    server.listen(port, host, () => server.close(() => done(true)));
  });
}

/** Finds loopback addresses whose ports are free. */
async function findPrefix() {
  for (let attempt = 0; attempt < 20; attempt += 1) {
    const second = 1 + Math.floor(Math.random() * 250);
    const third = Math.floor(Math.random() * 250);
    const prefix = `127.${second}.${third}`;
    const probes = [1, 50].flatMap((number) =>
      [CONTROL_PORT, CALLER_PORT, FIRST_INTERNAL_PORT].map((port) =>
        isFree(`${prefix}.${number}`, port),
      ),
    );
    if ((await Promise.all(probes)).every((free) => free)) {
      return prefix;
    }
  }
  throw new Error('found no free loopback addresses');
}

/** One machine with one process of the system. */
export class Machine {
  starts = 0;
  child;
  #ended = Promise.resolve();

  constructor(role, name, ip, zone, folder, command, record) {
    this.role = role;
    this.name = name;
    this.ip = ip;
    this.zone = zone;
    this.folder = folder;
    this.dataDir = join(folder, 'data');
    this.settingsPath = join(folder, 'node.toml');
    this.command = command;
    this.record = record;
    this.output = '';
  }

  get isRunning() {
    return this.child !== undefined;
  }

  start() {
    const [program, ...args] = this.command;
    const {HOME, LANG, PATH} = process.env;
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: {HOME, LANG, PATH, PUFFINTURN_SETTINGS: this.settingsPath},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    this.starts += 1;
    const collect = (bytes) => (this.output += bytes.toString());
    child.stdout.on('data', collect);
    child.stderr.on('data', collect);
    this.#ended = new Promise((done) => {
      child.once('exit', (code, signal) => {
        if (this.child === child) {
          this.child = undefined;
        }
        this.lastExit = {at: Date.now(), code, signal};
        done();
      });
    });
  }

  /** Sends a signal to the process that was started here. */
  signal(name) {
    this.child?.kill(name);
  }

  async kill() {
    this.signal('SIGKILL');
    await this.#ended;
  }

  /** The lines that the process logged, parsed. */
  logEntries() {
    return this.output
      .split('\n')
      .filter((line) => line.startsWith('{') && line.endsWith('}'))
      .map((line) => JSON.parse(line));
  }
}

/** The machines of one small deployment. */
export class Fleet {
  controls = [];
  edges = [];

  /** `counts` tells how many machines of each class there are. */
  static async create(counts, record) {
    return new Fleet(await findPrefix(), counts, record);
  }

  constructor(prefix, {controls, edges}, record) {
    this.prefix = prefix;
    this.record = record;
    this.folder = mkdtempSync(join(tmpdir(), 'puffinturn-review-'));
    const deploy = parse(
      readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8'),
    );
    const seeds = Array.from(
      {length: Math.min(3, controls)},
      (_, index) => `${prefix}.${1 + index}:${CONTROL_PORT}`,
    );
    const create = (role, machineClass, first, count, list) => {
      for (let index = 0; index < count; index += 1) {
        const name = `${role}-${1 + index}`;
        const folder = join(this.folder, name);
        mkdirSync(folder);
        const command = deploy.roles[role].run.split(' ');
        const ip = `${prefix}.${first + index}`;
        const zone = ZONES[index % ZONES.length];
        const machine = new Machine(
          role,
          name,
          ip,
          zone,
          folder,
          command,
          record,
        );
        list.push(machine);
        this.writeSettings(machine, machineClass, seeds, true);
      }
    };
    create('control', 'core', 1, controls, this.controls);
    create('edge', 'edge', 50, edges, this.edges);
    this.seeds = seeds;
  }

  get machines() {
    return [...this.controls, ...this.edges];
  }

  /** Writes the settings of a machine; `bootstrap` is true at its first start only. */
  writeSettings(machine, machineClass, seeds, bootstrap) {
    const {dataDir, ip, name, role, settingsPath, zone} = machine;
    const isControl = role === 'control';
    if (isControl) {
      mkdirSync(dataDir, {recursive: true});
    }
    writeFileSync(
      settingsPath,
      `nodeName = "${name}"
role = "${role}"
machineClass = "${machineClass}"
serves = ["${isControl ? 'control' : 'edge'}"]
ip = "${ip}"
zone = "${zone}"
region = "pnw"
internalPorts = [${FIRST_INTERNAL_PORT},${LAST_INTERNAL_PORT}]
seedNodes = ${JSON.stringify(seeds)}
bootstrap = ${bootstrap}
inTolerance = ${isControl}
${isControl ? `dataDir = "${dataDir}"\n` : ''}discovery = "registration"
entryType = "anycast"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants"]
configMode = "highest"
[zones]
pdx-a = "pnw"
sea-b = "pnw"
spk-c = "pnw"
[listenersMap]
${
  isControl
    ? `controlPlane = "${ip}:${CONTROL_PORT}"`
    : `frontend = "${ip}:${CALLER_PORT}"\nready = "${ip}:${READY_PORT}"`
}
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
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
`,
    );
  }

  start() {
    for (const machine of this.machines) {
      machine.start();
    }
  }

  /** Starts a machine that has lost its disk again: at its address, with an empty one. */
  restartWithEmptyDisk(machine) {
    machine.dataDir = join(machine.folder, `data-${machine.starts}`);
    this.restart(machine);
  }

  /** Starts a machine again; the settings no longer say `bootstrap`. */
  restart(machine) {
    const machineClass = machine.role === 'control' ? 'core' : 'edge';
    this.writeSettings(machine, machineClass, this.seeds, false);
    machine.start();
  }

  async dispose() {
    await Promise.all(this.machines.map((machine) => machine.kill()));
    rmSync(this.folder, {force: true, recursive: true});
  }
}
