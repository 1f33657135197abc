/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Prints results as tables for people or as JSON for programs. */
import Table from 'cli-table3';
import stringify from 'safe-stable-stringify';

import type {ExitCode} from './ExitCodes';
import {EXIT} from './ExitCodes';

const PLAIN_BORDERS = {
  bottom: '',
  'bottom-left': '',
  'bottom-mid': '',
  'bottom-right': '',
  left: '',
  'left-mid': '',
  mid: '',
  'mid-mid': '',
  middle: '  ',
  right: '',
  'right-mid': '',
  top: '',
  'top-left': '',
  'top-mid': '',
  'top-right': '',
};

/** A cell of a table. */
export type Cell = boolean | number | string;

/** Writes to standard output and standard error. */
export class Output {
  constructor(private readonly json: boolean) {}

  /** Prints `value` as JSON, or the table when people read it. */
  show(value: unknown, head: readonly string[], rows: readonly Cell[][]): void {
    if (this.json) {
      this.showJson(value);
    } else {
      this.line(tableOf(head, rows));
    }
  }

  /** Prints JSON in either mode. */
  showJson(value: unknown): void {
    this.line(stringify(value, null, 2) ?? 'null');
  }

  /** Prints a line that only people read. */
  note(text: string): void {
    if (!this.json) {
      this.line(text);
    }
  }

  /** Prints a problem. */
  problem(text: string): void {
    process.stderr.write(`${text}\n`);
  }

  /** Prints why a command failed and gives its exit code. */
  fail(message: string): ExitCode {
    this.problem(message);
    return EXIT.failed;
  }

  private line(text: string): void {
    process.stdout.write(`${text}\n`);
  }
}

function tableOf(head: readonly string[], rows: readonly Cell[][]): string {
  const table = new Table({
    chars: PLAIN_BORDERS,
    head: [...head],
    style: {border: [], head: [], 'padding-left': 0, 'padding-right': 0},
  });
  table.push(...rows.map((row) => row.map(String)));
  return table.toString();
}
