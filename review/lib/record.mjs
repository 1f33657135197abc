/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Writes what was sent, answered and run to a file, with the time since the start. */
import {writeFileSync} from 'node:fs';

export class Record {
  #lines = [];
  #startedAt = Date.now();

  constructor(path) {
    this.path = path;
  }

  /** Adds a line, and prints it. */
  note(text) {
    console.log(this.list(text));
  }

  /** Adds a line. */
  list(text) {
    const seconds = ((Date.now() - this.#startedAt) / 1_000).toFixed(3);
    const line = `${seconds.padStart(8)} ${text}`;
    this.#lines.push(line);
    return line;
  }

  write() {
    writeFileSync(this.path, `${this.#lines.join('\n')}\n`);
  }
}

/** Exit codes of a case. */
export const RESULT = {broken: 1, held: 0, notRun: 2};

/** Runs a case within its time, writes its record and exits with its result. */
export async function runCase(path, maxSeconds, run) {
  const record = new Record(path);
  const timer = setTimeout(() => {
    record.note(`result: not run, more than ${maxSeconds} s`);
    record.write();
    void finish(RESULT.notRun);
  }, maxSeconds * 1_000);
  const cleanups = [];
  const finish = async (code) => {
    for (const cleanup of cleanups.reverse()) {
      await cleanup();
    }
    process.exit(code);
  };
  for (const name of ['SIGINT', 'SIGTERM']) {
    process.once(name, () => void finish(RESULT.notRun));
  }
  let code = RESULT.notRun;
  try {
    code = await run(record, (cleanup) => cleanups.push(cleanup));
  } catch (error) {
    record.note(`result: not run: ${error.message}`);
  }
  clearTimeout(timer);
  record.write();
  await finish(code);
}
