/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Command that prints the history of one request. */
import type {ExitCode} from './ExitCodes';
import {EXIT} from './ExitCodes';
import type {Output} from './Output';
import type {LogLine} from './RequestHistory';
import {buildRequestHistory, readLogs} from './RequestHistory';
import {formatTimeOfDay} from './TimeOfDay';

/** Fields with a column of their own, or that are not shown. */
const COLUMN_FIELDS: ReadonlySet<string> = new Set([
  'box',
  'event',
  'level',
  'time',
]);

/** Prints the history of a request, read from a folder of log files. */
export async function showRequestHistory(
  request: string,
  folder: string,
  output: Output,
): Promise<ExitCode> {
  const history = await readLogs(folder).andThen((lines) =>
    buildRequestHistory(lines, request),
  );
  return history.match(
    (lines) => {
      const head = ['time', 'box', 'event', 'what'];
      output.print(lines, head, lines.map(toRow));
      return EXIT.ok;
    },
    ({message}) => {
      output.printError(message);
      return EXIT.failed;
    },
  );
}

function toRow(line: LogLine): string[] {
  const details = Object.entries(line)
    .filter(([name]) => !COLUMN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  return [formatTimeOfDay(line.time), line.box, line.event, details.join(' ')];
}
