/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Joins the decision lines of all processes into the history of one request:
 * its own lines, and what was decided shortly before about the upstreams that it
 * was sent to, its team's tokens, and the box that served it.
 */
import {readdir, readFile} from 'node:fs/promises';
import {join} from 'node:path';

import type {Result} from 'neverthrow';
import {err, ok, ResultAsync} from 'neverthrow';
import type {Failure} from 'shared';
import {describeError} from 'shared';

/** One line of a log, as far as it is used here. */
export interface LogLine {
  /** When it was written, ms since the epoch. */
  readonly time: number;
  readonly box: string;
  readonly event: string;
  readonly request?: string;
  readonly upstream?: string;
  /** Upstreams that had no permit left for the request. */
  readonly heldBackBy?: readonly string[];
  readonly team?: string;
}

/** Why there is no history. */
export type ExplainFailure = Failure<'no-such-request'> | Failure<'unreadable'>;

/** How long before a request lines about its surroundings count, ms. */
const BEFORE_MS = 10_000;

/** Events about the box that served the request. */
const BOX_EVENTS: ReadonlySet<string> = new Set([
  'backlog-changed',
  'configuration-adopted',
  'dependency-changed',
  'process-changed',
  'step-aside-decided',
]);

/** Reads the lines of every file in a folder. */
export function readLogs(
  folder: string,
): ResultAsync<LogLine[], ExplainFailure> {
  const reading = async (): Promise<LogLine[]> => {
    const names = await readdir(folder);
    const texts = await Promise.all(
      names.sort().map((name) => readFile(join(folder, name), 'utf8')),
    );
    return texts.flatMap((text) => text.split('\n').flatMap(parseLine));
  };
  return ResultAsync.fromPromise(reading(), (error) => ({
    kind: 'unreadable',
    message: describeError(error),
  }));
}

/** The line, or nothing where the text is no decision. */
function parseLine(text: string): LogLine[] {
  const start = text.indexOf('{');
  if (start < 0) {
    return [];
  }
  try {
    const line = JSON.parse(text.slice(start)) as Partial<LogLine>;
    const whole =
      typeof line.time === 'number' &&
      typeof line.box === 'string' &&
      typeof line.event === 'string';
    return whole ? [line as LogLine] : [];
  } catch {
    return [];
  }
}

/** The history of a request, in order of time. */
export function explain(
  lines: readonly LogLine[],
  request: string,
): Result<LogLine[], ExplainFailure> {
  const own = lines.filter((line) => line.request === request);
  const [first] = own;
  if (first === undefined) {
    const message = `no line names ${request}; plain successes are sampled`;
    return err({kind: 'no-such-request', message});
  }
  const end = Math.max(...own.map(({time}) => time));
  const upstreams = new Set(
    own.flatMap(({heldBackBy = [], upstream}) => [
      ...(upstream === undefined ? [] : [upstream]),
      ...heldBackBy,
    ]),
  );
  const teams = new Set(own.flatMap(({team}) => team ?? []));
  const concerns = (line: LogLine): boolean =>
    (line.upstream !== undefined && upstreams.has(line.upstream)) ||
    (line.team !== undefined &&
      teams.has(line.team) &&
      line.box === first.box) ||
    (line.box === first.box && BOX_EVENTS.has(line.event));
  const around = lines.filter((line) => {
    const near = line.time <= end && line.time >= end - BEFORE_MS;
    return near && line.request === undefined && concerns(line);
  });
  return ok([...around, ...own].sort((a, b) => a.time - b.time));
}
