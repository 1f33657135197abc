/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The command that lists the limits that upstreams name. */
import type {ExitCode} from './ExitCodes';
import {EXIT} from './ExitCodes';
import {readLogs} from './Explanation';
import {limitsIn} from './Limits';
import type {Output} from './Output';
import {timeOfDay} from './TimeOfDay';

/** Prints the limits that hold at the end of the logs in a folder. */
export async function showLimits(
  folder: string,
  output: Output,
): Promise<ExitCode> {
  const lines = await readLogs(folder);
  return lines.map(limitsIn).match(
    (limits) => {
      const head = ['upstream', 'a second', 'heard at', 'known by'];
      const rows = limits.map(({boxes, perSecond, time, upstream}) => {
        return [upstream, perSecond, timeOfDay(time), boxes.join(' ')];
      });
      output.show(limits, head, rows);
      return EXIT.ok;
    },
    ({message}) => {
      output.problem(message);
      return EXIT.failed;
    },
  );
}
