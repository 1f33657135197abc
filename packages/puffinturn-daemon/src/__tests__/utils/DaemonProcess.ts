/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Runs the daemon as a process of its own, with fake upstreams on loopback ports. */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {build} from 'esbuild';
import {Engine, PlainService} from 'puffinturn-stand-in';
import {invariant} from 'shared';
import {request} from 'undici';

import type {DaemonPorts} from './DaemonFixture';
import {
  buildDeclarations,
  buildSettings,
  findFreePort,
  OPERATOR_KEY,
  TEAM_KEY,
  writeFleetKey,
} from './DaemonFixture';

const HOST = '127.0.0.1';
const BUDGET_LIMIT = 1_000_000_000;
const START_TIMEOUT_MS = 60_000;
const POLL_INTERVAL_MS = 50;

/** Lets bundled CommonJS modules load the modules of Node.js. */
const REQUIRE_BANNER =
  "import {createRequire as makeRequire} from 'node:module'; const require = makeRequire(import.meta.url);";

/** A daemon process of one control box. */
export class DaemonProcess implements AsyncDisposable {
  private child: ChildProcess | undefined;

  private constructor(
    readonly ports: DaemonPorts,
    private readonly folder: string,
    private readonly engine: Engine,
    private readonly service: PlainService,
  ) {}

  /** Builds the daemon from the sources, and starts it with the given limits. */
  static async open(limits: object): Promise<DaemonProcess> {
    const folder = await mkdtemp(join(tmpdir(), 'daemon-'));
    const ports = {
      callers: await findFreePort(),
      link: await findFreePort(),
      operators: await findFreePort(),
    };
    const daemon = new DaemonProcess(
      ports,
      folder,
      await new Engine().listen(),
      await new PlainService(0).listen(),
    );
    await writeFleetKey(folder);
    const settings = buildSettings(folder, ports, limits);
    await writeFile(daemon.settingsFile, JSON.stringify(settings));
    await build({
      banner: {js: REQUIRE_BANNER},
      bundle: true,
      entryPoints: ['packages/puffinturn-daemon/src/main.ts'],
      format: 'esm',
      logLevel: 'warning',
      outfile: daemon.program,
      platform: 'node',
      target: 'node20',
      tsconfig: 'tsconfig.json',
    });
    daemon.spawn();
    try {
      await daemon.declareAll();
      await daemon.awaitReady();
    } catch (error) {
      await daemon[Symbol.asyncDispose]();
      throw error;
    }
    return daemon;
  }

  /** ID of the process that was started last. */
  get pid(): number {
    const pid = this.child?.pid;
    invariant(pid !== undefined, 'the daemon process was not started');
    return pid;
  }

  /** Starts the process anew, after a kill if it still runs. */
  async restart(): Promise<void> {
    await this.kill();
    this.spawn();
    await this.awaitReady();
  }

  /** Sends a request for a completion; returns the status. */
  async complete(): Promise<number> {
    const response = await request(
      `http://${HOST}:${this.ports.callers}/v1/chat/completions`,
      {
        body: JSON.stringify({
          max_tokens: 2,
          messages: [{content: 'hello', role: 'user'}],
          model: 'model-1',
        }),
        headers: {
          authorization: `Bearer ${TEAM_KEY}`,
          'content-type': 'application/json',
        },
        method: 'POST',
      },
    );
    await response.body.dump();
    return response.statusCode;
  }

  /** Reads the status as an operator; returns the HTTP status. */
  async readStatus(): Promise<number> {
    const response = await request(`${this.operatorUrl}/v1/status`, {
      headers: {authorization: `Bearer ${OPERATOR_KEY}`},
    });
    await response.body.dump();
    return response.statusCode;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.kill();
    await this.engine[Symbol.asyncDispose]();
    await this.service[Symbol.asyncDispose]();
    await rm(this.folder, {force: true, recursive: true});
  }

  private get settingsFile(): string {
    return join(this.folder, 'settings.json');
  }

  private get program(): string {
    return join(this.folder, 'daemon.mjs');
  }

  private get operatorUrl(): string {
    return `http://${HOST}:${this.ports.operators}`;
  }

  private spawn(): void {
    this.child = spawn(process.execPath, [this.program, this.settingsFile], {
      stdio: ['ignore', 'ignore', 'inherit'],
    });
  }

  private async awaitReady(): Promise<void> {
    await this.poll('the daemon is ready', async () => {
      const url = `http://${HOST}:${this.ports.callers}/readyz`;
      const response = await request(url);
      await response.body.dump();
      return response.statusCode === 200;
    });
  }

  private async kill(): Promise<void> {
    const {child} = this;
    if (child?.exitCode === null && child.signalCode === null) {
      const exited = new Promise((resolve) => child.once('exit', resolve));
      child.kill('SIGKILL');
      await exited;
    }
  }

  private async declareAll(): Promise<void> {
    const {engine, service} = this;
    const all = buildDeclarations(BUDGET_LIMIT, engine.url, service.url);
    for (const declaration of all) {
      await this.poll(`${declaration.name} is declared`, async () => {
        const response = await request(`${this.operatorUrl}/v1/declarations`, {
          body: JSON.stringify({...declaration, number: 1}),
          headers: {authorization: `Bearer ${OPERATOR_KEY}`},
          method: 'POST',
        });
        await response.body.dump();
        return response.statusCode === 200;
      });
    }
  }

  private async poll(
    condition: string,
    check: () => Promise<boolean>,
  ): Promise<void> {
    const deadline = Date.now() + START_TIMEOUT_MS;
    while (!(await check().catch(() => false))) {
      invariant(Date.now() < deadline, `timed out before ${condition}`);
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }
}
