/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * One of three runners of a service gets into trouble: on the streams that it sends, bytes
 * follow that never end an event, in chunks of one byte. The processes that read them answer
 * nobody for seconds.
 */
import {Deployment, FRONTEND_PORT, sleep, until} from '../lib-2/deployment.mjs';
import {
  answerPlain,
  answerStream,
  CONFIGURATION,
  HOST,
  Ingress,
  keptConnections,
  KEY,
  listResults,
  PLAIN_DEADLINE_MS,
  send,
  sendSteadily,
  STREAM_DEADLINE_MS,
} from '../lib-2/load.mjs';
import {call, Operator, Runner, untilReady} from '../lib-2/parties.mjs';
import {hasTrouble, RESULT, runCase} from '../lib-2/record.mjs';

const EDGES = 2;
/** Rates of the sheet for all edges together. */
const PLAIN_PER_S = 19;
const STREAMS_PER_S = 19;
/** Clients give a stream up after a gap of four times its objective. */
const MAX_GAP_MS = 3_200;
const PLAIN_TIMEOUT_MS = 2_000;
const CALM_MS = 6_000;
const TROUBLE_MS = 12_000;
/** CONFIG: no answer half a second after the time-out, to eight or more and over a half. */
const LATE_MS = 500;
const MIN_LATE = 8;
const LATE_SHARE = 0.5;

/** Bytes without the end of an event, as fast as they are taken, until the caller closes. */
function sendWithoutEnd(socket) {
  const block = '1\r\nx\r\n'.repeat(10_000);
  const write = () => {
    while (!socket.destroyed && socket.write(block)) {
      // The socket takes more.
    }
  };
  socket.on('drain', write);
  write();
}

async function play(record, onEnd) {
  const deployment = await Deployment.create({controls: 3, edges: EDGES});
  onEnd(() => deployment.dispose());
  deployment.start();
  const operator = new Operator(deployment, record);
  await operator.apply({
    ...CONFIGURATION,
    routes: CONFIGURATION.routes.map((route) =>
      route.service === 'order-desk'
        ? {...route, timeoutMs: PLAIN_TIMEOUT_MS}
        : route,
    ),
  });
  let isInTrouble = false;
  let spoiltStreams = 0;
  const answerInTrouble = async (run, {socket}, response) => {
    await sleep(100);
    response.setHeader('Content-Type', 'text/event-stream');
    response.flushHeaders();
    const first = 1 + Number(run.headers['last-event-id'] ?? 0);
    for (let id = first; id <= 60 && !socket.destroyed; id += 1) {
      if (isInTrouble) {
        spoiltStreams += 1;
        sendWithoutEnd(socket);
        return;
      }
      response.write(`id: ${id}\ndata: ${'w'.repeat(40)}\n\n`);
      await sleep(20);
    }
    response.end();
  };
  const zones = ['pdx-a', 'sea-b', 'spk-c'];
  const runners = ['order-desk', 'puffin-pool'].flatMap((service, group) =>
    zones.map((zone, index) => {
      const isPool = service === 'puffin-pool';
      const answer = !isPool
        ? answerPlain
        : index === 0
          ? answerInTrouble
          : answerStream;
      const host = `${deployment.network}.${101 + 10 * group + index}`;
      return new Runner(deployment, {
        answer,
        host,
        service,
        slots: isPool ? 64 : 6,
        zone,
      });
    }),
  );
  for (const runner of runners) {
    await runner.start();
    onEnd(() => runner.stop());
  }
  await untilReady(deployment);
  for (const {ip} of deployment.edges) {
    for (const path of ['/lab-handoff/probe', '/rx-review/probe']) {
      await until('requests are served', async () => {
        const headers = {
          'Attempt-Id': `p${Date.now()}`,
          Credential: KEY,
          Host: HOST,
        };
        const answer = await call(ip, FRONTEND_PORT, {headers, path}).catch(
          () => undefined,
        );
        return answer?.status === 200;
      });
    }
  }
  let isOver = false;
  for (const edge of deployment.edges) {
    void edge.exit.then(({code, signal}) => {
      if (!isOver) {
        record.note(`${edge.name} ended by itself: ${signal ?? code}`);
      }
    });
  }
  const agents = deployment.edges.map(keptConnections);
  const ingress = new Ingress(deployment.edges, agents);
  const plain = [];
  const streams = [];
  const load = Promise.all([
    sendSteadily({
      create: (index) => {
        const at = ingress.place(index % EDGES);
        return send(deployment.edges[at].ip, agents[at], {
          attempt: `order${index}`,
          body: '{}',
          headers: {'Deadline-Ms': String(PLAIN_DEADLINE_MS)},
          method: 'POST',
          path: `/order-status/${index}`,
          timeoutMs: PLAIN_DEADLINE_MS,
        });
      },
      isOver: () => isOver,
      perSecond: PLAIN_PER_S,
      results: plain,
    }),
    sendSteadily({
      create: (index) => {
        const at = ingress.place(index % EDGES);
        return send(deployment.edges[at].ip, agents[at], {
          attempt: `review${index}`,
          body: '{}',
          headers: {
            'Deadline-Ms': String(STREAM_DEADLINE_MS),
            Model: 'm',
            'Prompt-Prefix': `5c1e07a2:800,${(index + 4_096).toString(16)}:410`,
            'Token-Usage': '1210,300',
          },
          maxGapMs: MAX_GAP_MS,
          method: 'POST',
          path: `/rx-review/${index}`,
          timeoutMs: STREAM_DEADLINE_MS,
        });
      },
      isOver: () => isOver,
      perSecond: STREAMS_PER_S,
      results: streams,
    }),
  ]);
  await sleep(CALM_MS);
  if (hasTrouble) {
    isInTrouble = true;
    record.note(
      'one runner of puffin-pool sends events without end from now on',
    );
  }
  await sleep(TROUBLE_MS);
  isOver = true;
  await load;
  ingress.stop();
  const unanswered = plain.filter(({tookMs}) => tookMs > PLAIN_TIMEOUT_MS);
  const late = unanswered.filter(
    ({tookMs}) => tookMs > PLAIN_TIMEOUT_MS + LATE_MS,
  );
  listResults(record, plain, runners);
  listResults(record, streams, runners);
  record.note(`${spoiltStreams} streams carried bytes without end`);
  record.note(
    `${unanswered.length} plain requests had no answer at their time-out, ${late.length} none ${LATE_MS} ms later`,
  );
  const isBroken =
    late.length >= MIN_LATE && late.length > unanswered.length * LATE_SHARE;
  return isBroken ? RESULT.broken : RESULT.held;
}

await runCase(import.meta.dirname, play);
