/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** `bench -- edge`: CPU time per request of an edge process. */
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
import {LatencyHistogram, roundHundredths} from './LatencyHistogram';
import type {PathRow} from './PathBench';
import {findFreePorts, sleep} from './ProcessFleet';

/** CPU time of a process, ms. */
interface CpuTime {
  readonly userMs: number;
  readonly systemMs: number;
}

/** Results of one load. */
interface LoadResult {
  readonly requestCount: number;
  readonly cpuTime: CpuTime;
  readonly elapsedSeconds: number;
  readonly timeToFirstByte: LatencyHistogram;
  readonly residentMemoryMb: number;
}

/** Node.js options, as in a deployed edge. */
const EDGE_NODE_OPTIONS = [
  '--max-lazy',
  '--max-old-space-size=160',
  '--max-semi-space-size=2',
];

/** Load of an edge that has just started: few requests, so its code is not optimized. */
const COLD_SECONDS = 15;
const COLD_REQUEST_INTERVAL_MS = 150;

const HOST = '127.0.0.1';
const UPSTREAMS_PER_SERVICE = 4;
const CONCURRENT_CALLERS = 40;
const EVENTS_PER_STREAM = 30;
const EVENT_INTERVAL_MS = 5;
/** Time for the JIT compiler to optimize hot code. */
const WARM_UP_SECONDS = 5;
const READY_POLL_INTERVAL_MS = 50;
/** Unit of the CPU times in `/proc/PID/stat`. */
const CLOCK_TICK_MS = 10;
const PAGE_SIZE_KB = 4;
const FINAL_CHUNK = '0\r\n\r\n';

/** Measures an edge when started, when idle, with a low load, with streams and with plain requests. */
export async function benchEdge(seconds: number): Promise<PathRow[]> {
  await using servers = await UpstreamServers.open();
  await using edge = await EdgeUnderTest.open(servers.upstreams);
  const startCpuTime = await edge.readCpuTime();
  const coldResult = await edge.runPacedLoad(COLD_SECONDS);
  const idleCpuTime = await edge.measureCpuTime(() => sleep(seconds * 1_000));
  await edge.runLoad(STREAM_SERVICE, WARM_UP_SECONDS);
  await edge.runLoad(PLAIN_SERVICE, WARM_UP_SECONDS);
  const streamResult = await edge.runLoad(STREAM_SERVICE, seconds);
  const plainResult = await edge.runLoad(PLAIN_SERVICE, seconds);
  return [
    {
      added: `${startCpuTime.systemMs} of it in the system`,
      box: totalCpuMs(startCpuTime),
      direct: '',
      measure: 'edge: processor time a start, ms',
    },
    toRow('edge: processor time a request after a start, ms', coldResult),
    toRow(
      `edge: processor time a stream of ${EVENTS_PER_STREAM} events, ms`,
      streamResult,
    ),
    toRow('edge: processor time a plain request, ms', plainResult),
    {
      added: 'no caller, no control box',
      box: roundHundredths(totalCpuMs(idleCpuTime) / seconds),
      direct: '',
      measure: 'edge: processor time an idle second, ms',
    },
  ];
}

function toRow(measure: string, result: LoadResult): PathRow {
  const {
    requestCount,
    timeToFirstByte,
    residentMemoryMb,
    elapsedSeconds,
    cpuTime,
  } = result;
  const requestsPerSecond = Math.round(requestCount / elapsedSeconds);
  const systemMsPerRequest = roundHundredths(cpuTime.systemMs / requestCount);
  const p50 = roundHundredths(timeToFirstByte.percentile(50));
  const p99 = roundHundredths(timeToFirstByte.percentile(99));
  return {
    added: `${systemMsPerRequest} of it in the system, ${requestsPerSecond}/s, first byte p50 ${p50} p99 ${p99} ms, ${residentMemoryMb} MB`,
    box: Math.round((1_000 * totalCpuMs(cpuTime)) / requestCount) / 1_000,
    direct: '',
    measure,
  };
}

function totalCpuMs({systemMs, userMs}: CpuTime): number {
  return systemMs + userMs;
}

/** HTTP servers of the upstreams of both services, in this process. */
class UpstreamServers implements AsyncDisposable {
  private constructor(
    private readonly servers: readonly Server[],
    readonly upstreams: readonly EdgeProcessUpstream[],
  ) {}

  static async open(): Promise<UpstreamServers> {
    const servers: Server[] = [];
    const upstreams: EdgeProcessUpstream[] = [];
    for (const service of [STREAM_SERVICE, PLAIN_SERVICE]) {
      for (let number = 1; number <= UPSTREAMS_PER_SERVICE; number += 1) {
        const server = createUpstreamServer(service);
        await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
        const {port} = server.address() as AddressInfo;
        const id = `${service}-${number}`;
        servers.push(server);
        upstreams.push({address: `${HOST}:${port}`, id, service});
      }
    }
    return new UpstreamServers(servers, upstreams);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const server of this.servers) {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    }
  }
}

function createUpstreamServer(service: string): Server {
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
    let eventCount = 0;
    const timer = setInterval(() => {
      eventCount += 1;
      response.write(`id: ${eventCount}\ndata: event ${eventCount}\n\n`);
      if (eventCount === EVENTS_PER_STREAM) {
        clearInterval(timer);
        response.end();
      }
    }, EVENT_INTERVAL_MS);
    response.once('close', () => clearInterval(timer));
  });
  return server;
}

/** The edge process that is measured. Disposing it stops the process. */
class EdgeUnderTest implements AsyncDisposable {
  private constructor(
    private readonly child: ChildProcess,
    private readonly port: number,
  ) {}

  static async open(
    upstreams: readonly EdgeProcessUpstream[],
  ): Promise<EdgeUnderTest> {
    const [callerPort = 0, readyPort = 0, metricsPort = 0] =
      await findFreePorts(3);
    const settings: EdgeProcessSettings = {
      callerPort,
      metricsPort,
      readyPort,
      upstreams,
    };
    const program = process.argv[1] ?? '';
    // Node.js options of this process, such as --prof, apply to the edge too.
    const options = [...process.execArgv, ...EDGE_NODE_OPTIONS];
    const child = spawn(
      process.execPath,
      [...options, program, 'edge-process', JSON.stringify(settings)],
      {stdio: ['ignore', 'ignore', 'inherit', 'ipc']},
    );
    while (!(await isListening(readyPort))) {
      invariant(
        child.exitCode === null,
        `the edge process exited with code ${child.exitCode}`,
      );
      await sleep(READY_POLL_INTERVAL_MS);
    }
    return new EdgeUnderTest(child, callerPort);
  }

  /** Returns the CPU time that the edge uses while `work` runs. */
  async measureCpuTime(work: () => Promise<void>): Promise<CpuTime> {
    const before = await this.readCpuTime();
    await work();
    const after = await this.readCpuTime();
    return {
      systemMs: after.systemMs - before.systemMs,
      userMs: after.userMs - before.userMs,
    };
  }

  /** Sends streams and plain requests in turn, at regular intervals. */
  runPacedLoad(seconds: number): Promise<LoadResult> {
    return this.measureLoad(async (timeToFirstByte) => {
      const count = (seconds * 1_000) / COLD_REQUEST_INTERVAL_MS;
      const pending: Promise<void>[] = [];
      for (let number = 0; number < count; number += 1) {
        const service = number % 2 === 0 ? STREAM_SERVICE : PLAIN_SERVICE;
        pending.push(sendRequest(this.port, service, timeToFirstByte));
        await sleep(COLD_REQUEST_INTERVAL_MS);
      }
      await Promise.all(pending);
      return pending.length;
    });
  }

  /** Runs concurrent callers; every request uses a new connection. */
  runLoad(service: string, seconds: number): Promise<LoadResult> {
    return this.measureLoad(async (timeToFirstByte) => {
      const endsAt = performance.now() + seconds * 1_000;
      let requestCount = 0;
      const runCaller = async (): Promise<void> => {
        while (performance.now() < endsAt) {
          await sendRequest(this.port, service, timeToFirstByte);
          requestCount += 1;
        }
      };
      await Promise.all(Array.from({length: CONCURRENT_CALLERS}, runCaller));
      return requestCount;
    });
  }

  /** Measures `work`, which returns the number of requests that it sent. */
  private async measureLoad(
    work: (timeToFirstByte: LatencyHistogram) => Promise<number>,
  ): Promise<LoadResult> {
    const timeToFirstByte = new LatencyHistogram();
    const startedAt = performance.now();
    let requestCount = 0;
    const cpuTime = await this.measureCpuTime(async () => {
      requestCount = await work(timeToFirstByte);
    });
    const elapsedSeconds = (performance.now() - startedAt) / 1_000;
    const residentMemoryMb = await this.readResidentMemoryMb();
    return {
      requestCount,
      timeToFirstByte,
      residentMemoryMb,
      elapsedSeconds,
      cpuTime,
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const exited = new Promise((resolve) => this.child.once('exit', resolve));
    this.child.disconnect();
    await exited;
  }

  /** Returns the CPU time used since the start of the process. */
  async readCpuTime(): Promise<CpuTime> {
    const stat = await readFile(`/proc/${this.child.pid}/stat`, 'utf8');
    // Skips the process name, which may contain spaces.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    return {
      systemMs: Number(fields[12]) * CLOCK_TICK_MS,
      userMs: Number(fields[11]) * CLOCK_TICK_MS,
    };
  }

  private async readResidentMemoryMb(): Promise<number> {
    const statm = await readFile(`/proc/${this.child.pid}/statm`, 'utf8');
    return Math.round((Number(statm.split(' ')[1]) * PAGE_SIZE_KB) / 1_024);
  }
}

async function isListening(port: number): Promise<boolean> {
  try {
    const response = await request(`http://${HOST}:${port}${READY_PATH}`);
    await response.body.dump();
    return true;
  } catch {
    return false;
  }
}

let sentRequestCount = 0;

/** Sends one request on a new connection; rejects an incomplete response. */
function sendRequest(
  port: number,
  service: string,
  timeToFirstByte: LatencyHistogram,
): Promise<void> {
  sentRequestCount += 1;
  const startedAt = performance.now();
  const requestText = buildRequestText(service, `r-${sentRequestCount}`);
  return new Promise((resolve, reject) => {
    let received = '';
    const socket = connect({host: HOST, noDelay: true, port}, () => {
      socket.write(requestText);
    });
    socket.setEncoding('latin1');
    socket.once('data', () =>
      timeToFirstByte.record(performance.now() - startedAt),
    );
    socket.on('data', (chunk: string) => {
      received += chunk;
      if (isCompleteResponse(received)) {
        socket.end();
      }
    });
    socket.once('error', reject);
    socket.once('close', () => {
      if (isCompleteResponse(received)) {
        resolve();
      } else {
        reject(new Error(`incomplete response: ${received}`));
      }
    });
  });
}

function isCompleteResponse(received: string): boolean {
  return (
    received.startsWith('HTTP/1.1 200') &&
    (received.endsWith(FINAL_CHUNK) || received.endsWith('plain answer'))
  );
}

function buildRequestText(service: string, id: string): string {
  const body = 'a prompt';
  const sessionNumber = sentRequestCount % 50;
  const lines = [
    `POST /${service}/1?q=2 HTTP/1.1`,
    `Host: ${BENCH_HOST}`,
    `${BENCH_HEADERS.requestId}: ${id}`,
    `${BENCH_HEADERS.credential}: ${BENCH_KEY}`,
    `${BENCH_HEADERS.deadline}: 20000`,
    ...(service === STREAM_SERVICE
      ? [
          `${PARTS_HEADER}: aa:600,${sessionNumber}:300`,
          `${TOKENS_HEADER}: 900,30`,
        ]
      : []),
    `Content-Length: ${body.length}`,
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}
