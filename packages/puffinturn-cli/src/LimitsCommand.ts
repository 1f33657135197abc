/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Command that lists the rate limits reported by upstreams. */
import type {ExitCode} from './ExitCodes';
import {EXIT} from './ExitCodes';
import {findCurrentLimits} from './Limits';
import type {Output} from './Output';
import {readLogs} from './RequestHistory';
import {formatTimeOfDay} from './TimeOfDay';

/** Prints the limits in force at the end of the logs in a folder. */
export async function showLimits(
  folder: string,
  output: Output,
): Promise<ExitCode> {
  const lines = await readLogs(folder);
  return lines.map(findCurrentLimits).match(
    (limits) => {
      const head = ['upstream', 'a second', 'heard at', 'known by'];
      const rows = limits.map(({boxes, perSecond, time, upstream}) => {
        return [upstream, perSecond, formatTimeOfDay(time), boxes.join(' ')];
      });
      output.print(limits, head, rows);
      return EXIT.ok;
    },
    ({message}) => {
      output.printError(message);
      return EXIT.failed;
    },
  );
}
