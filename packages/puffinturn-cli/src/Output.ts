/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Prints results as tables or as JSON. */
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

  /** Prints `value` in JSON mode, and the table otherwise. */
  print(
    value: unknown,
    head: readonly string[],
    rows: readonly Cell[][],
  ): void {
    if (this.json) {
      this.printJson(value);
    } else {
      this.writeLine(formatTable(head, rows));
    }
  }

  /** Prints `value` as JSON in both modes. */
  printJson(value: unknown): void {
    this.writeLine(stringify(value, null, 2) ?? 'null');
  }

  /** Prints a line of text, except in JSON mode. */
  printInfo(text: string): void {
    if (!this.json) {
      this.writeLine(text);
    }
  }

  /** Prints a message to standard error. */
  printError(text: string): void {
    process.stderr.write(`${text}\n`);
  }

  /** Prints the reason of a failure and returns the exit code for it. */
  fail(message: string): ExitCode {
    this.printError(message);
    return EXIT.failed;
  }

  private writeLine(text: string): void {
    process.stdout.write(`${text}\n`);
  }
}

function formatTable(head: readonly string[], rows: readonly Cell[][]): string {
  const table = new Table({
    chars: PLAIN_BORDERS,
    head: [...head],
    style: {border: [], head: [], 'padding-left': 0, 'padding-right': 0},
  });
  table.push(...rows.map((row) => row.map(String)));
  return table.toString();
}
