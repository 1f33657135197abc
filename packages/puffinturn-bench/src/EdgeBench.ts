/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** `bench -- edge`: processor time that requests cost an edge process. */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {readFile} from 'node:fs/promises';
import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {connect} from 'node:net';

import {invariant} from 'shared';
import {request} from 'undici';

import type {EdgeProcessSettings, EdgeProcessUpstream} from './EdgeProcess';
import {
  BENCH_HEADERS,
  BENCH_HOST,
  BENCH_KEY,
  PARTS_HEADER,
  PLAIN_SERVICE,
  READY_PATH,
  STREAM_SERVICE,
  TOKENS_HEADER,
} from './EdgeProcess';
import type {PathRow} from './PathBench';
import {freePorts, pause} from './ProcessFleet';
import {Quantiles, roundHundredths} from './Quantiles';

/** Processor time of a process, ms. */
interface ProcessorTime {
  readonly userMs: number;
  readonly systemMs: number;
}

/** What one load took. */
interface LoadFigures {
  readonly count: number;
  readonly used: ProcessorTime;
  readonly seconds: number;
  readonly first: Quantiles;
  readonly memoryMb: number;
}

/** Node's options for an edge, as the edges of an installation have them. */
const EDGE_OPTIONS = [
  '--max-lazy',
  '--max-old-space-size=160',
  '--max-semi-space-size=2',
];

const HOST = '127.0.0.1';
const UPSTREAMS = 4;
const CALLERS = 40;
const EVENTS = 30;
const EVENT_PAUSE_MS = 5;
/** Time for the compiler to settle; streams come at some 200 a second. */
const WARM_SECONDS = 5;
const READY_POLL_MS = 50;
/** One tick of `/proc/PID/stat`, ms. */
const TICK_MS = 10;
const PAGE_KB = 4;
const END_OF_CHUNKS = '0\r\n\r\n';

/** Runs all measurements of one edge. */
export async function benchEdge(seconds: number): Promise<PathRow[]> {
  await using upstreams = await EdgeUpstreams.open();
  await using edge = await MeasuredEdge.open(upstreams.all);
  const idle = await edge.measure(() => pause(seconds * 1_000));
  await edge.load(STREAM_SERVICE, WARM_SECONDS);
  await edge.load(PLAIN_SERVICE, WARM_SECONDS);
  const streams = await edge.load(STREAM_SERVICE, seconds);
  const plain = await edge.load(PLAIN_SERVICE, seconds);
  return [
    rowOf(`edge: processor time a stream of ${EVENTS} events, ms`, streams),
    rowOf('edge: processor time a plain request, ms', plain),
    {
      added: 'no caller, no control box',
      box: roundHundredths(totalMs(idle) / seconds),
      direct: '',
      measure: 'edge: processor time an idle second, ms',
    },
  ];
}

function rowOf(measure: string, figures: LoadFigures): PathRow {
  const {count, first, memoryMb, seconds, used} = figures;
  const rate = Math.round(count / seconds);
  const system = roundHundredths(used.systemMs / count);
  const p50 = roundHundredths(first.at(50));
  const p99 = roundHundredths(first.at(99));
  return {
    added: `${system} of it in the system, ${rate}/s, first byte p50 ${p50} p99 ${p99} ms, ${memoryMb} MB`,
    box: Math.round((1_000 * totalMs(used)) / count) / 1_000,
    direct: '',
    measure,
  };
}

function totalMs({systemMs, userMs}: ProcessorTime): number {
  return systemMs + userMs;
}

/** Upstreams of both services, in this process. */
class EdgeUpstreams implements AsyncDisposable {
  private constructor(
    private readonly servers: readonly Server[],
    readonly all: readonly EdgeProcessUpstream[],
  ) {}

  static async open(): Promise<EdgeUpstreams> {
    const servers: Server[] = [];
    const all: EdgeProcessUpstream[] = [];
    for (const service of [STREAM_SERVICE, PLAIN_SERVICE]) {
      for (let number = 1; number <= UPSTREAMS; number += 1) {
        const server = serverOf(service);
        await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
        const {port} = server.address() as AddressInfo;
        const id = `${service}-${number}`;
        servers.push(server);
        all.push({address: `${HOST}:${port}`, id, service});
      }
    }
    return new EdgeUpstreams(servers, all);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const server of this.servers) {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    }
  }
}

function serverOf(service: string): Server {
  const server = createServer((incoming, response) => {
    incoming.resume();
    const {requestId, seal} = BENCH_HEADERS;
    response.setHeader(requestId, String(incoming.headers[requestId]));
    response.setHeader(seal, 'seal');
    if (service === PLAIN_SERVICE) {
      response.end('plain answer');
      return;
    }
    response.setHeader('Content-Type', 'text/event-stream');
    let event = 0;
    const timer = setInterval(() => {
      event += 1;
      response.write(`id: ${event}\ndata: event ${event}\n\n`);
      if (event === EVENTS) {
        clearInterval(timer);
        response.end();
      }
    }, EVENT_PAUSE_MS);
    response.once('close', () => clearInterval(timer));
  });
  return server;
}

/** An edge process under measurement. Disposing it ends the process. */
class MeasuredEdge implements AsyncDisposable {
  private constructor(
    private readonly child: ChildProcess,
    private readonly port: number,
  ) {}

  static async open(
    upstreams: readonly EdgeProcessUpstream[],
  ): Promise<MeasuredEdge> {
    const [callerPort = 0, readyPort = 0, metricsPort = 0] = await freePorts(3);
    const settings: EdgeProcessSettings = {
      callerPort,
      metricsPort,
      readyPort,
      upstreams,
    };
    const program = process.argv[1] ?? '';
    // Options of this process, such as a profiler's, hold for the edge too.
    const options = [...process.execArgv, ...EDGE_OPTIONS];
    const child = spawn(
      process.execPath,
      [...options, program, 'edge-process', JSON.stringify(settings)],
      {stdio: ['ignore', 'ignore', 'inherit', 'ipc']},
    );
    while (!(await isListening(readyPort))) {
      invariant(child.exitCode === null, 'the edge process runs');
      await pause(READY_POLL_MS);
    }
    return new MeasuredEdge(child, callerPort);
  }

  /** Processor time of the edge while `work` runs, ms. */
  async measure(work: () => Promise<void>): Promise<ProcessorTime> {
    const before = await this.used();
    await work();
    const after = await this.used();
    return {
      systemMs: after.systemMs - before.systemMs,
      userMs: after.userMs - before.userMs,
    };
  }

  /** Callers, each request on a connection of its own, for some seconds. */
  async load(service: string, seconds: number): Promise<LoadFigures> {
    const first = new Quantiles();
    const began = performance.now();
    const end = began + seconds * 1_000;
    let count = 0;
    const caller = async (): Promise<void> => {
      while (performance.now() < end) {
        await askOnce(this.port, service, first);
        count += 1;
      }
    };
    const used = await this.measure(async () => {
      await Promise.all(Array.from({length: CALLERS}, caller));
    });
    const took = (performance.now() - began) / 1_000;
    const memoryMb = await this.memoryMb();
    return {count, first, memoryMb, seconds: took, used};
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const exited = new Promise((resolve) => this.child.once('exit', resolve));
    this.child.disconnect();
    await exited;
  }

  /** Time since the start of the process. */
  private async used(): Promise<ProcessorTime> {
    const stat = await readFile(`/proc/${this.child.pid}/stat`, 'utf8');
    // The fields after the name, which may hold spaces, begin with the state.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    return {
      systemMs: Number(fields[12]) * TICK_MS,
      userMs: Number(fields[11]) * TICK_MS,
    };
  }

  private async memoryMb(): Promise<number> {
    const statm = await readFile(`/proc/${this.child.pid}/statm`, 'utf8');
    return Math.round((Number(statm.split(' ')[1]) * PAGE_KB) / 1_024);
  }
}

async function isListening(port: number): Promise<boolean> {
  try {
    const answer = await request(`http://${HOST}:${port}${READY_PATH}`);
    await answer.body.dump();
    return true;
  } catch {
    return false;
  }
}

let asked = 0;

/** One request on a new connection; fails unless the answer is whole. */
function askOnce(
  port: number,
  service: string,
  first: Quantiles,
): Promise<void> {
  asked += 1;
  const began = performance.now();
  const head = headOf(service, `r-${asked}`);
  return new Promise((resolve, reject) => {
    let text = '';
    const socket = connect({host: HOST, noDelay: true, port}, () => {
      socket.write(head);
    });
    socket.setEncoding('latin1');
    socket.once('data', () => first.add(performance.now() - began));
    socket.on('data', (chunk: string) => {
      text += chunk;
      if (isWhole(text)) {
        socket.end();
      }
    });
    socket.once('error', reject);
    socket.once('close', () => {
      if (isWhole(text)) {
        resolve();
      } else {
        reject(new Error(`an answer that is not whole: ${text}`));
      }
    });
  });
}

function isWhole(text: string): boolean {
  return (
    text.startsWith('HTTP/1.1 200') &&
    (text.endsWith(END_OF_CHUNKS) || text.endsWith('plain answer'))
  );
}

function headOf(service: string, id: string): string {
  const body = 'a prompt';
  const session = asked % 50;
  const lines = [
    `POST /${service}/1?q=2 HTTP/1.1`,
    `Host: ${BENCH_HOST}`,
    `${BENCH_HEADERS.requestId}: ${id}`,
    `${BENCH_HEADERS.credential}: ${BENCH_KEY}`,
    `${BENCH_HEADERS.deadline}: 20000`,
    ...(service === STREAM_SERVICE
      ? [`${PARTS_HEADER}: aa:600,${session}:300`, `${TOKENS_HEADER}: 900,30`]
      : []),
    `Content-Length: ${body.length}`,
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}
