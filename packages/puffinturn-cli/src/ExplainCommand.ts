/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The command that tells what became of one request. */
import type {ExitCode} from './ExitCodes';
import {EXIT} from './ExitCodes';
import type {LogLine} from './Explanation';
import {explain, readLogs} from './Explanation';
import type {Output} from './Output';
import {timeOfDay} from './TimeOfDay';

const SHOWN_APART: ReadonlySet<string> = new Set([
  'box',
  'event',
  'level',
  'time',
]);

/** Prints the history of a request from the logs in a folder. */
export async function explainRequest(
  request: string,
  folder: string,
  output: Output,
): Promise<ExitCode> {
  const history = await readLogs(folder).andThen((lines) =>
    explain(lines, request),
  );
  return history.match(
    (lines) => {
      const head = ['time', 'box', 'event', 'what'];
      output.show(lines, head, lines.map(rowOf));
      return EXIT.ok;
    },
    ({message}) => {
      output.problem(message);
      return EXIT.failed;
    },
  );
}

function rowOf(line: LogLine): string[] {
  const what = Object.entries(line)
    .filter(([name]) => !SHOWN_APART.has(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  return [timeOfDay(line.time), line.box, line.event, what.join(' ')];
}
