/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Builds the history of one request from the logs of all processes: the lines
 * that name the request, and earlier lines about its upstreams, its team and the
 * box that served it.
 */
import {readdir, readFile} from 'node:fs/promises';
import {join} from 'node:path';

import type {Result} from 'neverthrow';
import {err, ok, ResultAsync} from 'neverthrow';
import type {Failure} from 'shared';
import {describeError} from 'shared';

/** A structured log line. Only the fields used here are declared. */
export interface LogLine {
  /** Time of writing, in milliseconds since the epoch. */
  readonly time: number;
  readonly box: string;
  readonly event: string;
  readonly request?: string;
  /** Request that began the stream which the request resumes. */
  readonly stream?: string;
  readonly upstream?: string;
  /** Upstreams that had no permit available for the request. */
  readonly heldBackBy?: readonly string[];
  readonly team?: string;
}

/** Reason why a history could not be built. */
export type HistoryFailure = Failure<'no-such-request'> | Failure<'unreadable'>;

/** Related lines are included from this long before the last line of a request. */
const CONTEXT_WINDOW_MS = 10_000;

/** Events about a box that can affect the requests it serves. */
const BOX_EVENTS: ReadonlySet<string> = new Set([
  'backlog-changed',
  'configuration-adopted',
  'dependency-changed',
  'process-changed',
  'step-aside-decided',
]);

/** Reads the log lines of all files in a folder; skips lines that are not JSON. */
export function readLogs(
  folder: string,
): ResultAsync<LogLine[], HistoryFailure> {
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

/** Parses one line; returns an empty list if it is not a structured log line. */
function parseLine(text: string): LogLine[] {
  const start = text.indexOf('{');
  if (start < 0) {
    return [];
  }
  try {
    const line = JSON.parse(text.slice(start)) as Partial<LogLine>;
    const isComplete =
      typeof line.time === 'number' &&
      typeof line.box === 'string' &&
      typeof line.event === 'string';
    return isComplete ? [line as LogLine] : [];
  } catch {
    return [];
  }
}

/** Returns a request and all others of the same stream, as its caller resumed it. */
function requestsOfStream(
  lines: readonly LogLine[],
  request: string,
): ReadonlySet<string> {
  const streams = new Set([request]);
  for (const line of lines) {
    if (line.request === request && line.stream !== undefined) {
      streams.add(line.stream);
    }
  }
  const requests = new Set(streams);
  for (const line of lines) {
    const {stream} = line;
    if (line.request !== undefined && stream && streams.has(stream)) {
      requests.add(line.request);
    }
  }
  return requests;
}

/** Builds the history of a request and of its stream, ordered by time. */
export function buildRequestHistory(
  lines: readonly LogLine[],
  request: string,
): Result<LogLine[], HistoryFailure> {
  const requests = requestsOfStream(lines, request);
  const requestLines = lines.filter(
    (line) => line.request !== undefined && requests.has(line.request),
  );
  const [first] = requestLines;
  if (first === undefined) {
    const message = `no line names ${request}; plain successes are sampled`;
    return err({kind: 'no-such-request', message});
  }
  const endTime = Math.max(...requestLines.map(({time}) => time));
  const upstreams = new Set(
    requestLines.flatMap(({heldBackBy = [], upstream}) => [
      ...(upstream === undefined ? [] : [upstream]),
      ...heldBackBy,
    ]),
  );
  const teams = new Set(requestLines.flatMap(({team}) => team ?? []));
  const isRelated = (line: LogLine): boolean =>
    (line.upstream !== undefined && upstreams.has(line.upstream)) ||
    (line.team !== undefined &&
      teams.has(line.team) &&
      line.box === first.box) ||
    (line.box === first.box && BOX_EVENTS.has(line.event));
  const contextLines = lines.filter((line) => {
    const isInWindow =
      line.time <= endTime && line.time >= endTime - CONTEXT_WINDOW_MS;
    return isInWindow && line.request === undefined && isRelated(line);
  });
  return ok([...contextLines, ...requestLines].sort((a, b) => a.time - b.time));
}
