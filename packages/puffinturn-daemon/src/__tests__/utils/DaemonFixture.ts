/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Runs a daemon with fake upstreams on loopback ports. */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import type {Declaration} from 'puffinturn-settings';
import {
  DeclarationSchema,
  SettingsSchema,
  validateValue,
} from 'puffinturn-settings';
import {Engine, PlainService} from 'puffinturn-stand-in';
import {digestBytes, invariant} from 'shared';
import {request} from 'undici';

import {createLogger, Daemon, waitUntilReady} from '../../index';

export const TEAM_KEY = 'team-key';
export const OPERATOR_KEY = 'operator-key';

const FAST_ENGINE = {
  cacheBlocks: 100,
  checksFences: true,
  loadLagMs: 0,
  prefillMsPerToken: 0,
  slots: 8,
  stepMs: 1,
  stepPerRequestMs: 0,
};

/** Finds a port that no server listens on. */
export async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  const address = server.address();
  await new Promise((resolve) => server.close(resolve));
  return typeof address === 'object' ? (address?.port ?? 0) : 0;
}

/** Ports of a daemon; 0 for any that is free. */
export interface DaemonPorts {
  readonly callers: number;
  readonly link: number;
  readonly operators: number;
}

function keyFileIn(folder: string): string {
  return join(folder, 'fleet.key');
}

/** Writes the fleet key that the settings name. */
export function writeFleetKey(folder: string): Promise<void> {
  return writeFile(keyFileIn(folder), 'k'.repeat(40), {mode: 0o600});
}

/** Builds the settings of a daemon of one control box. */
export function buildSettings(
  folder: string,
  {callers, link, operators}: DaemonPorts,
  limits: object = {bodyBytes: 4_096},
) {
  const host = '127.0.0.1';
  return {
    box: 'box-1',
    callers: {host, port: callers},
    dataFolder: join(folder, 'data'),
    fleet: {
      boxes: [
        {
          control: true,
          hall: 'hall-1',
          host,
          name: 'box-1',
          port: link,
          region: 'local',
        },
      ],
      keyFile: keyFileIn(folder),
      primaryRegion: 'local',
    },
    limits: {drainNoticeMs: 0, ...limits},
    logs: {level: 'error'},
    operators: {
      host,
      keys: [{name: 'tester', sha256: digestBytes(OPERATOR_KEY)}],
      port: operators,
    },
  };
}

/** Builds the declarations of a team, its budget, a pool, a service and a policy. */
export function buildDeclarations(
  limit: number,
  engineUrl: string,
  serviceUrl: string,
) {
  const upstream = (name: string, url: string) => [
    {hall: 'hall-1', name, slots: 8, url},
  ];
  return [
    {
      kind: 'team',
      name: 'team-1',
      spec: {keys: [{name: 'k', sha256: digestBytes(TEAM_KEY)}]},
    },
    {
      kind: 'budget',
      name: 'budget-1',
      spec: {home: 'local', limit, team: 'team-1'},
    },
    {
      kind: 'pool',
      name: 'models',
      spec: {
        models: ['model-1'],
        price: {completion: 2, prompt: 1},
        upstreams: upstream('engine-1', engineUrl),
      },
    },
    {
      kind: 'service',
      name: 'orders',
      spec: {callPrice: 10, upstreams: upstream('s-1', serviceUrl)},
    },
    {
      kind: 'policy',
      name: 'all',
      spec: {
        rules: [
          {
            action: 'allow',
            budget: "'budget-1'",
            key: 'request.body.order',
            name: 'orders',
            pool: 'orders',
            repeat: 'never',
            when: "request.service == 'orders'",
          },
          {
            action: 'allow',
            budget: "'budget-1'",
            name: 'models',
            pool: 'models',
            when: "request.model == 'model-1'",
          },
        ],
      },
    },
  ];
}

/** A response whose body has been read. */
export interface TextResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** A daemon of one control box with a fake engine and a fake service. */
export class DaemonFixture implements AsyncDisposable {
  private constructor(
    readonly daemon: Daemon,
    readonly engine: Engine,
    readonly service: PlainService,
    private readonly folder: string,
  ) {}

  /** `upstreamUrl` stands in place of the fake engine and of the fake service. */
  static async open(
    budgetLimit = 10_000,
    upstreamUrl?: string,
  ): Promise<DaemonFixture> {
    const folder = await mkdtemp(join(tmpdir(), 'box-'));
    await writeFleetKey(folder);
    const engine = await new Engine(FAST_ENGINE).listen();
    const service = await new PlainService(0).listen();
    const settings = validateValue(
      SettingsSchema,
      buildSettings(folder, {
        callers: 0,
        link: await findFreePort(),
        operators: 0,
      }),
      'settings',
    );
    invariant(settings.isOk(), 'the settings must be valid');
    const daemon = await Daemon.start(
      settings.value,
      createLogger(settings.value),
    );
    invariant(daemon.isOk(), 'the daemon must start');
    const fixture = new DaemonFixture(daemon.value, engine, service, folder);
    await fixture.declareAll(budgetLimit, upstreamUrl);
    const ready = await waitUntilReady(daemon.value, 20_000);
    invariant(ready.isOk(), 'the box must become ready');
    await fixture.waitForLatestConfig();
    return fixture;
  }

  /** Sends a request as a caller, by POST. */
  async sendCallerRequest(
    path: string,
    body: string | Uint8Array,
    headers: Record<string, string | string[]> = {},
  ): Promise<TextResponse> {
    const port = this.daemon.callerPort;
    const response = await request(`http://127.0.0.1:${port}${path}`, {
      body,
      headers: {
        authorization: `Bearer ${TEAM_KEY}`,
        'content-type': 'application/json',
        ...headers,
      },
      method: 'POST',
    });
    return {
      headers: response.headers,
      status: response.statusCode,
      text: await response.body.text(),
    };
  }

  /** Sends a request as an operator: GET without a body, POST with one. */
  async sendOperatorRequest(
    path: string,
    body?: unknown,
    key = OPERATOR_KEY,
  ): Promise<TextResponse> {
    const port = this.daemon.operatorPort;
    const response = await request(`http://127.0.0.1:${port}${path}`, {
      body: body === undefined ? null : JSON.stringify(body),
      headers: {authorization: `Bearer ${key}`},
      method: body === undefined ? 'GET' : 'POST',
    });
    return {
      headers: response.headers,
      status: response.statusCode,
      text: await response.body.text(),
    };
  }

  /** Waits until the box has adopted the latest configuration. */
  async waitForLatestConfig(): Promise<void> {
    const {text} = await this.sendOperatorRequest('/v1/status');
    const {configIndex} = JSON.parse(text).regions[0];
    const {member} = this.daemon.box;
    const isCurrent = await member.waitForConfig(configIndex, 20_000);
    invariant(isCurrent, 'the box must adopt the latest configuration');
  }

  /** Settled and reserved units of the budget. */
  async budgetUsage(): Promise<{settled: number; reserved: number}> {
    const {text} = await this.sendOperatorRequest('/v1/status');
    const [budget] = JSON.parse(text).regions[0].budgets;
    return {reserved: budget.reserved, settled: budget.settled};
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.daemon[Symbol.asyncDispose]();
    await this.engine[Symbol.asyncDispose]();
    await this.service[Symbol.asyncDispose]();
    await rm(this.folder, {recursive: true});
  }

  private async declareAll(limit: number, upstreamUrl?: string): Promise<void> {
    const declarations = buildDeclarations(
      limit,
      upstreamUrl ?? this.engine.url,
      upstreamUrl ?? this.service.url,
    );
    for (const value of declarations) {
      const declaration = validateValue(
        DeclarationSchema,
        {...value, number: 1},
        'fixture',
      );
      invariant(declaration.isOk(), 'the declarations must be valid');
      await this.declare(declaration.value);
    }
  }

  private async declare(declaration: Declaration): Promise<void> {
    for (;;) {
      const {status} = await this.sendOperatorRequest(
        '/v1/declarations',
        declaration,
      );
      if (status === 200) {
        return;
      }
      invariant(
        status === 503,
        `unexpected status ${status} for a declaration`,
      );
    }
  }
}
