/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Asks an engine for its load, on one of the connections kept to it. */
import {get} from 'node:http';

import type {CallerDialect} from './CallerDialect';
import type {EdgeRunner} from './EdgeRunner';

/** Longest time for a report, ms; a longer wait is worse than not knowing. */
const REPORT_MS = 40;

/** Largest report, bytes. */
const MAX_REPORT_BYTES = 64 * 1024;

/** Asks once; what came of it is noted at the runner. */
export async function probeLoad(
  runner: EdgeRunner,
  {reportOf, reportPath}: CallerDialect,
): Promise<void> {
  const body = await fetchReport(runner, reportPath);
  const report = body === undefined ? undefined : reportOf(body);
  if (report === undefined) {
    runner.load.silent();
  } else {
    runner.load.reported(report);
  }
}

function fetchReport(
  {agent, host, port}: EdgeRunner,
  path: string,
): Promise<string | undefined> {
  return new Promise((resolve) => {
    const request = get({agent, host, path, port}, (answer) => {
      const chunks: Buffer[] = [];
      let length = 0;
      answer.on('data', (chunk: Buffer) => {
        length += chunk.length;
        chunks.push(chunk);
        if (length > MAX_REPORT_BYTES) {
          request.destroy();
        }
      });
      answer.on('end', () => {
        const whole = answer.complete && answer.statusCode === 200;
        resolve(whole ? Buffer.concat(chunks).toString() : undefined);
      });
      answer.on('error', () => resolve(undefined));
    });
    const timer = setTimeout(() => request.destroy(), REPORT_MS);
    request.on('error', () => resolve(undefined));
    request.on('close', () => {
      clearTimeout(timer);
      resolve(undefined);
    });
  });
}
