/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * A runner as a process of its own, so that it can be killed. Its answers have neither a
 * length nor chunks and end with their connection. It takes orders from its parent:
 * `leave` has it report `draining` and end after its time, as before a planned end.
 */
import {writeSync} from 'node:fs';

import {sleep} from './fleet.mjs';
import {buildBody, buildEvents} from './payloads.mjs';
import {Runner} from './runner.mjs';

const {controls, drainMs, pauseMs, ...options} = JSON.parse(process.argv[2]);

function tell(message) {
  writeSync(1, `${JSON.stringify(message)}\n`);
}

const fleet = {controls: controls.map((ip) => ({ip}))};
const runner = new Runner(fleet, options);
let isLeaving = false;

runner.run = async (run, request) => {
  const {attempt} = run;
  const {socket} = request;
  tell({attempt, event: 'runs'});
  const isStream = options.engine === true;
  const whole = isStream ? buildEvents(attempt) : buildBody(attempt);
  // The first part of a stream ends behind one of its events.
  const middle = isStream
    ? whole.indexOf('\n\n', whole.length / 2) + 2
    : Math.floor(whole.length / 2);
  await sleep(options.workMs);
  const head = [
    'HTTP/1.1 200 OK',
    `Attempt-Id: ${attempt}`,
    `Server-Seal: seal-${runner.id}`,
    ...(isStream ? ['Content-Type: text/event-stream'] : []),
    ...(isLeaving ? ['Server-Leaving: 1'] : []),
    'Connection: close',
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n${whole.slice(0, middle)}`);
  await sleep(pauseMs);
  tell({attempt, bytes: middle, event: 'half'});
  await sleep(pauseMs);
  socket.end(whole.slice(middle));
  tell({attempt, bytes: whole.length, event: 'whole'});
};

process.stdin.on('data', async () => {
  isLeaving = true;
  const isAcknowledged = await runner.report('draining');
  tell({event: 'leaving', isAcknowledged});
  await sleep(drainMs + 1_500);
  await runner.deregister();
  tell({event: 'ended'});
  process.exit(0);
});
process.stdin.on('end', () => process.exit(0));

await runner.start();
tell({event: 'started', id: runner.id});
