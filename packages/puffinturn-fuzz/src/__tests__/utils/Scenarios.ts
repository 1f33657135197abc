/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Steps for scenario tests, and timelines in the text form of golden files. */
import type {Mode} from '../../FakeUpstreams';
import type {RunReport, Step} from '../../index';
import {ENGINE_URLS} from '../../Step';

/** Event kinds that the text form leaves out. */
const OMITTED_EVENT_KINDS = new Set([
  'box-registered',
  'config-changed',
  'started',
]);

/** Creates a step that sends a request. */
export function requestStep(
  box: string,
  name: string,
  request: 'marked' | 'stream' | 'unkeyed',
  afterMs = 500,
): Step {
  const kind = 'request';
  return {afterMs, box, kind, leavesAfterMs: null, name, request} as Step;
}

/** Creates steps that set the mode of all engines. */
export function setEngineModes(mode: Mode, afterMs = 0): Step[] {
  return ENGINE_URLS.map((url) => ({afterMs, kind: 'upstream', mode, url}));
}

/** Formats the events of all boxes, then the outcomes of callers, without ids and times. */
export function formatTimeline({timeline, attempts}: RunReport): string {
  const events = timeline
    .filter(({kind}) => !OMITTED_EVENT_KINDS.has(kind))
    .map(({box, detail = '', kind, request = '', upstream = ''}) =>
      [box, kind, request.replace(/name-\d+/, 'KEY'), upstream, detail]
        .filter((field) => field !== '')
        .join(' '),
    );
  const outcomes = attempts.map(({billed, code, name, outcome, isComplete}) =>
    `${name}: ${outcome ?? 'no answer'} ${code ?? ''} ${isComplete === true ? 'whole' : ''} ${billed ?? ''}`
      .replace(/ +/g, ' ')
      .trimEnd(),
  );
  return [...events, '', ...outcomes].join('\n');
}
