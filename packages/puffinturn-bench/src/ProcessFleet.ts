/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Starts a fleet of box processes on loopback for measurements. */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createRequire} from 'node:module';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';

import type {Engine} from 'puffinturn-stand-in';
import {PlainService} from 'puffinturn-stand-in';
import {digestBytes, invariant} from 'shared';
import {request} from 'undici';

const DAEMON_PATH = join(
  dirname(createRequire(import.meta.url).resolve('puffinturn-daemon')),
  'main.js',
);
const READY_TIMEOUT_MS = 30_000;
/** Time for the declarations to reach all boxes. */
const PROPAGATION_DELAY_MS = 1_000;

/** API key of the team in all measurements. */
export const TEAM_KEY = 'bench-team-key';
/** API key of the operator in all measurements. */
export const OPERATOR_KEY = 'bench-operator-key';

/** Placement and role of a box. */
export interface BoxSpec {
  readonly name: string;
  readonly hall: string;
  readonly region: string;
  readonly control: boolean;
}

/** A box with its ports and its process. */
export interface BoxProcess extends BoxSpec {
  readonly callerUrl: string;
  readonly operatorUrl: string;
  readonly linkPort: number;
  readonly settingsFile: string;
  child: ChildProcess | undefined;
}

/** Returns ports that are free on the loopback interface. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(
    Array.from({length: count}, async () => {
      const server = createServer();
      await new Promise<void>((resolve) =>
        server.listen(0, '127.0.0.1', () => resolve()),
      );
      return server;
    }),
  );
  return Promise.all(
    servers.map(async (server) => {
      const address = server.address();
      await new Promise((resolve) => server.close(resolve));
      return typeof address === 'object' ? (address?.port ?? 0) : 0;
    }),
  );
}

/** A fleet of box processes. Disposing it kills them and their upstreams. */
export class ProcessFleet implements AsyncDisposable {
  private constructor(
    private readonly directory: string,
    readonly boxes: readonly BoxProcess[],
    /** Upstreams, which run in this process. */
    readonly engines: readonly Engine[],
    readonly service: PlainService,
  ) {}

  /** Writes the settings of all boxes and starts the boxes. */
  private static async open(
    specs: readonly BoxSpec[],
    engines: readonly Engine[],
  ): Promise<ProcessFleet> {
    const directory = await mkdtemp(join(tmpdir(), 'fleet-'));
    const keyFile = join(directory, 'fleet.key');
    await writeFile(keyFile, 'bench'.repeat(10), {mode: 0o600});
    const ports = await findFreePorts(specs.length * 3);
    const boxes = specs.map((spec, index): BoxProcess => {
      const [caller, operator, link] = ports.slice(index * 3, index * 3 + 3);
      return {
        ...spec,
        callerUrl: `http://127.0.0.1:${caller}`,
        child: undefined,
        linkPort: link ?? 0,
        operatorUrl: `http://127.0.0.1:${operator}`,
        settingsFile: join(directory, `${spec.name}.json`),
      };
    });
    for (const box of boxes) {
      const settings = buildSettings(box, boxes, directory, keyFile);
      await writeFile(box.settingsFile, JSON.stringify(settings));
    }
    const service = await new PlainService(1).listen();
    const fleet = new ProcessFleet(directory, boxes, engines, service);
    boxes.forEach((box) => fleet.start(box));
    return fleet;
  }

  /** Starts all boxes, applies the declarations and waits until ready. */
  static async openAndConfigure(
    specs: readonly BoxSpec[],
    engines: readonly Engine[],
    budgetLimit: number,
    slotsPerEngine: number,
  ): Promise<ProcessFleet> {
    const fleet = await ProcessFleet.open(specs, engines);
    await fleet.applyDeclarations(
      buildDeclarations(fleet, budgetLimit, slotsPerEngine),
    );
    await fleet.waitUntilReady();
    await sleep(PROPAGATION_DELAY_MS);
    return fleet;
  }

  /** Starts the process of a box. */
  start(box: BoxProcess): void {
    box.child = spawn(process.execPath, [DAEMON_PATH, box.settingsFile], {
      stdio: ['ignore', 'ignore', 'inherit'],
    });
  }

  /** Sends a signal to the process of a box, SIGKILL by default. */
  sendSignal(box: BoxProcess, signal: NodeJS.Signals = 'SIGKILL'): void {
    box.child?.kill(signal);
  }

  /** Waits until the boxes accept requests. */
  async waitUntilReady(
    boxes: readonly BoxProcess[] = this.boxes,
  ): Promise<void> {
    const deadline = performance.now() + READY_TIMEOUT_MS;
    for (const box of boxes) {
      while (!(await isReady(box))) {
        invariant(
          performance.now() < deadline,
          `${box.name} was not ready within ${READY_TIMEOUT_MS} ms`,
        );
        await sleep(20);
      }
    }
  }

  /** Sends declarations to the first box in order, with retries on status 503. */
  async applyDeclarations(declarations: readonly object[]): Promise<void> {
    const [box] = this.boxes;
    for (const declaration of declarations) {
      let status = 503;
      while (status === 503) {
        status = await postDeclaration(box?.operatorUrl ?? '', declaration);
      }
      invariant(
        status === 200,
        `POST /v1/declarations returned status ${status}`,
      );
    }
  }

  /** Fetches the status of the region from the first box that responds. */
  async fetchRegionStatus(): Promise<RegionStatus> {
    for (const box of this.boxes) {
      const response = await request(`${box.operatorUrl}/v1/status`, {
        headers: {authorization: `Bearer ${OPERATOR_KEY}`},
      }).catch(() => undefined);
      const body = (await response?.body.json().catch(() => undefined)) as
        {regions: RegionStatus[]} | undefined;
      if (body?.regions[0] !== undefined) {
        return body.regions[0];
      }
    }
    throw new Error('no box returned the status of the region');
  }

  /** Reads a metric of a box; NaN if the box does not export it. */
  async readMetric(box: BoxProcess, name: string): Promise<number> {
    const response = await request(`${box.operatorUrl}/metrics`);
    const text = await response.body.text();
    const line = text
      .split('\n')
      .find((candidate) => candidate.startsWith(`${name} `));
    return Number(line?.split(' ')[1] ?? NaN);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const {child} of this.boxes) {
      child?.kill('SIGCONT');
      child?.kill('SIGKILL');
    }
    for (const engine of this.engines) {
      await engine[Symbol.asyncDispose]();
    }
    await this.service[Symbol.asyncDispose]();
    await rm(this.directory, {force: true, recursive: true});
  }
}

/** The fields of a region status that the benchmarks read. */
export interface RegionStatus {
  readonly leader: string;
  readonly commitIndex: number;
  readonly configIndex: number;
  readonly budgets: readonly {
    readonly name: string;
    readonly limit: number;
    readonly settled: number;
    readonly reserved: number;
  }[];
}

/** Resolves after `ms` milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function isReady({callerUrl}: BoxProcess): Promise<boolean> {
  const response = await request(`${callerUrl}/readyz`).catch(() => undefined);
  await response?.body.dump();
  return response?.statusCode === 200;
}

async function postDeclaration(
  url: string,
  declaration: object,
): Promise<number> {
  const response = await request(`${url}/v1/declarations`, {
    body: JSON.stringify(declaration),
    headers: {authorization: `Bearer ${OPERATOR_KEY}`},
    method: 'POST',
  }).catch(() => undefined);
  await response?.body.dump();
  if (response === undefined) {
    await sleep(50);
  }
  return response?.statusCode ?? 503;
}

function buildSettings(
  box: BoxProcess,
  boxes: readonly BoxProcess[],
  directory: string,
  keyFile: string,
): object {
  const toAddress = (url: string) => ({
    host: '127.0.0.1',
    port: Number(new URL(url).port),
  });
  return {
    box: box.name,
    callers: toAddress(box.callerUrl),
    dataFolder: join(directory, box.name),
    fleet: {
      boxes: boxes.map(({control, hall, linkPort, name, region}) => ({
        control,
        hall,
        host: '127.0.0.1',
        name,
        port: linkPort,
        region,
      })),
      keyFile,
      primaryRegion: boxes[0]?.region,
    },
    limits: {drainNoticeMs: 200},
    logs: {level: 'error'},
    operators: {
      ...toAddress(box.operatorUrl),
      keys: [{name: 'bench', sha256: digestBytes(OPERATOR_KEY)}],
    },
  };
}

/** Builds a team, a budget, a pool, a service and a policy. */
function buildDeclarations(
  fleet: ProcessFleet,
  budgetLimit: number,
  slotsPerEngine: number,
): object[] {
  const region = fleet.boxes[0]?.region;
  const upstreams = fleet.engines.map(({url}, index) => ({
    hall: 'hall-1',
    name: `engine-${index}`,
    slots: slotsPerEngine,
    url,
  }));
  const baseRule = {action: 'allow', budget: "'budget'", deadlineMs: 10_000};
  const declarations = [
    {
      kind: 'team',
      name: 'team',
      spec: {keys: [{name: 'k', sha256: digestBytes(TEAM_KEY)}]},
    },
    {
      kind: 'budget',
      name: 'budget',
      spec: {home: region, limit: budgetLimit, team: 'team'},
    },
    {
      kind: 'pool',
      name: 'models',
      spec: {models: ['model'], price: {completion: 1, prompt: 1}, upstreams},
    },
    {
      kind: 'service',
      name: 'orders',
      spec: {
        callPrice: 1,
        upstreams: [
          {
            hall: 'hall-1',
            name: 'orders-1',
            slots: 1_000,
            url: fleet.service.url,
          },
        ],
      },
    },
    {
      kind: 'policy',
      name: 'all',
      spec: {
        rules: [
          {
            ...baseRule,
            key: 'request.body.order',
            name: 'orders',
            pool: 'orders',
            repeat: 'never',
            when: "request.service == 'orders'",
          },
          {
            ...baseRule,
            name: 'models',
            pool: 'models',
            when: "request.model == 'model'",
          },
        ],
      },
    },
  ];
  return declarations.map((declaration) => ({...declaration, number: 1}));
}
