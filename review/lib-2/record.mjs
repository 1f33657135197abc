/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Runs a script's case within its time, and writes what happened to `record.txt`. */
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';

/** Exit codes of a script. */
export const RESULT = {broken: 1, held: 0, notRun: 2};

const MAX_RUN_MS = 115_000;

/** Whether the disruption of the case is played. */
export const hasTrouble = process.env.TROUBLE !== '0';

class Record {
  #lines = [];
  #startedAt = Date.now();

  /** Adds a line, and prints it. */
  note(text) {
    console.log(this.list(text));
  }

  /** Adds a line; `at` is its time, Unix ms. */
  list(text, at = Date.now()) {
    const seconds = ((at - this.#startedAt) / 1_000).toFixed(3);
    const line = `${seconds.padStart(8)} ${text}`;
    this.#lines.push({at, line});
    return line;
  }

  write(folder) {
    const lines = this.#lines.sort((a, b) => a.at - b.at).map(({line}) => line);
    writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
  }
}

/** `play(record, onEnd)` returns a result; functions given to `onEnd` run at the end. */
export async function runCase(folder, play) {
  const record = new Record();
  const cleanups = [];
  let isEnding = false;
  const end = async (code) => {
    if (!isEnding) {
      isEnding = true;
      for (const cleanup of cleanups.reverse()) {
        await cleanup();
      }
      record.write(folder);
      process.exit(code);
    }
  };
  const stop = (why) => {
    record.note(`not run: ${why}`);
    void end(RESULT.notRun);
  };
  setTimeout(() => stop('it took too long'), MAX_RUN_MS);
  process.once('SIGINT', () => stop('interrupted'));
  process.once('SIGTERM', () => stop('terminated'));
  record.note(hasTrouble ? 'with the disruption' : 'without the disruption');
  try {
    await end(await play(record, (cleanup) => cleanups.push(cleanup)));
  } catch (error) {
    stop(error.message);
  }
}
