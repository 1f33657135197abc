/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Boxes as processes of their own on loopback, for measuring. */
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

const DAEMON = join(
  dirname(createRequire(import.meta.url).resolve('puffinturn-daemon')),
  'main.js',
);
const READY_LIMIT_MS = 30_000;
/** For all boxes to have heard of all declarations. */
const SETTLE_MS = 1_000;

/** The team's key in all measurements. */
export const TEAM_KEY = 'bench-team-key';
/** The operator's key in all measurements. */
export const OPERATOR_KEY = 'bench-operator-key';

/** One box of a measured fleet. */
export interface BoxPlan {
  readonly name: string;
  readonly hall: string;
  readonly region: string;
  readonly control: boolean;
}

/** One running box. */
export interface BoxProcess extends BoxPlan {
  readonly callerUrl: string;
  readonly operatorUrl: string;
  readonly linkPort: number;
  readonly settingsFile: string;
  child: ChildProcess | undefined;
}

/** Free ports of loopback. */
export async function freePorts(count: number): Promise<number[]> {
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

/** See the module comment. */
export class ProcessFleet implements AsyncDisposable {
  private constructor(
    private readonly folder: string,
    readonly boxes: readonly BoxProcess[],
    /** Upstreams; they run in this process. */
    readonly engines: readonly Engine[],
    readonly service: PlainService,
  ) {}

  /** Writes all settings and starts all boxes. */
  private static async open(
    plans: readonly BoxPlan[],
    engines: readonly Engine[],
  ): Promise<ProcessFleet> {
    const folder = await mkdtemp(join(tmpdir(), 'fleet-'));
    const keyFile = join(folder, 'fleet.key');
    await writeFile(keyFile, 'bench'.repeat(10), {mode: 0o600});
    const ports = await freePorts(plans.length * 3);
    const boxes = plans.map((plan, at): BoxProcess => {
      const [caller, operator, link] = ports.slice(at * 3, at * 3 + 3);
      return {
        ...plan,
        callerUrl: `http://127.0.0.1:${caller}`,
        child: undefined,
        linkPort: link ?? 0,
        operatorUrl: `http://127.0.0.1:${operator}`,
        settingsFile: join(folder, `${plan.name}.json`),
      };
    });
    for (const box of boxes) {
      const settings = settingsOf(box, boxes, folder, keyFile);
      await writeFile(box.settingsFile, JSON.stringify(settings));
    }
    const service = await new PlainService(1).listen();
    const fleet = new ProcessFleet(folder, boxes, engines, service);
    boxes.forEach((box) => fleet.start(box));
    return fleet;
  }

  /** Starts all boxes, declares a budget and upstreams, waits until ready. */
  static async openReady(
    plans: readonly BoxPlan[],
    engines: readonly Engine[],
    limit: number,
    slots: number,
  ): Promise<ProcessFleet> {
    const fleet = await ProcessFleet.open(plans, engines);
    await fleet.declare(benchDeclarations(fleet, limit, slots));
    await fleet.ready();
    await pause(SETTLE_MS);
    return fleet;
  }

  /** Starts the process of a box. */
  start(box: BoxProcess): void {
    box.child = spawn(process.execPath, [DAEMON, box.settingsFile], {
      stdio: ['ignore', 'ignore', 'inherit'],
    });
  }

  /** Ends a box at once. */
  kill(box: BoxProcess, signal: NodeJS.Signals = 'SIGKILL'): void {
    box.child?.kill(signal);
  }

  /** Waits until boxes take requests. */
  async ready(boxes: readonly BoxProcess[] = this.boxes): Promise<void> {
    const end = performance.now() + READY_LIMIT_MS;
    for (const box of boxes) {
      while (!(await isReady(box))) {
        invariant(performance.now() < end, `${box.name} is not ready in time`);
        await pause(20);
      }
    }
  }

  /** Sends changes at the first box, one after another. */
  async declare(declarations: readonly object[]): Promise<void> {
    const [box] = this.boxes;
    for (const declaration of declarations) {
      let status = 503;
      while (status === 503) {
        status = await post(box?.operatorUrl ?? '', declaration);
      }
      invariant(status === 200, `declaring answered ${status}`);
    }
  }

  /** The region's report as the first box that answers gives it. */
  async report(): Promise<Report> {
    for (const box of this.boxes) {
      const answer = await request(`${box.operatorUrl}/v1/status`, {
        headers: {authorization: `Bearer ${OPERATOR_KEY}`},
      }).catch(() => undefined);
      const body = (await answer?.body.json().catch(() => undefined)) as
        {regions: Report[]} | undefined;
      if (body?.regions[0] !== undefined) {
        return body.regions[0];
      }
    }
    throw new Error('no box reports');
  }

  /** One figure of a box's metrics. */
  async metric(box: BoxProcess, name: string): Promise<number> {
    const answer = await request(`${box.operatorUrl}/metrics`);
    const text = await answer.body.text();
    const line = text.split('\n').find((one) => one.startsWith(`${name} `));
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
    await rm(this.folder, {force: true, recursive: true});
  }
}

/** What the benches read of a region's report. */
export interface Report {
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

/** Resolves after `ms`. */
export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function isReady({callerUrl}: BoxProcess): Promise<boolean> {
  const answer = await request(`${callerUrl}/readyz`).catch(() => undefined);
  await answer?.body.dump();
  return answer?.statusCode === 200;
}

async function post(url: string, declaration: object): Promise<number> {
  const answer = await request(`${url}/v1/declarations`, {
    body: JSON.stringify(declaration),
    headers: {authorization: `Bearer ${OPERATOR_KEY}`},
    method: 'POST',
  }).catch(() => undefined);
  await answer?.body.dump();
  if (answer === undefined) {
    await pause(50);
  }
  return answer?.statusCode ?? 503;
}

function settingsOf(
  box: BoxProcess,
  boxes: readonly BoxProcess[],
  folder: string,
  keyFile: string,
): object {
  const address = (url: string) => ({
    host: '127.0.0.1',
    port: Number(new URL(url).port),
  });
  return {
    box: box.name,
    callers: address(box.callerUrl),
    dataFolder: join(folder, box.name),
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
      ...address(box.operatorUrl),
      keys: [{name: 'bench', sha256: digestBytes(OPERATOR_KEY)}],
    },
  };
}

/** A team, a budget, a pool, a service and a policy for measuring. */
function benchDeclarations(
  fleet: ProcessFleet,
  limit: number,
  slots: number,
): object[] {
  const region = fleet.boxes[0]?.region;
  const upstreams = fleet.engines.map(({url}, at) => ({
    hall: 'hall-1',
    name: `engine-${at}`,
    slots,
    url,
  }));
  const rule = {action: 'allow', budget: "'budget'", deadlineMs: 10_000};
  const list = [
    {
      kind: 'team',
      name: 'team',
      spec: {keys: [{name: 'k', sha256: digestBytes(TEAM_KEY)}]},
    },
    {
      kind: 'budget',
      name: 'budget',
      spec: {home: region, limit, team: 'team'},
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
            ...rule,
            key: 'request.body.order',
            name: 'orders',
            pool: 'orders',
            repeat: 'never',
            when: "request.service == 'orders'",
          },
          {
            ...rule,
            name: 'models',
            pool: 'models',
            when: "request.model == 'model'",
          },
        ],
      },
    },
  ];
  return list.map((declaration) => ({...declaration, number: 1}));
}
