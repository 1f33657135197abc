/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Words a run's time line for golden files: no ids, no times. */
import type {Mode} from '../../FakeUpstreams';
import type {RunReport, Step} from '../../index';
import {ENGINE_URLS} from '../../Step';

/** Kinds of events that tell nothing about a story. */
const SILENT = new Set(['box-registered', 'config-changed', 'started']);

/** A step that asks for something. */
export function ask(
  box: string,
  name: string,
  request: 'marked' | 'stream' | 'unkeyed',
  afterMs = 500,
): Step {
  const kind = 'request';
  return {afterMs, box, kind, leavesAfterMs: null, name, request} as Step;
}

/** All engines behave in one way from now on. */
export function engines(mode: Mode, afterMs = 0): Step[] {
  return ENGINE_URLS.map((url) => ({afterMs, kind: 'upstream', mode, url}));
}

/** Lines of a story: what happened on each box, then what callers heard. */
export function storyOf({timeline, tries}: RunReport): string {
  const events = timeline
    .filter(({kind}) => !SILENT.has(kind))
    .map(({box, detail = '', kind, request = '', upstream = ''}) =>
      [box, kind, request.replace(/name-\d+/, 'KEY'), upstream, detail]
        .filter((part) => part !== '')
        .join(' '),
    );
  const answers = tries.map(({billed, code, name, outcome, whole}) =>
    `${name}: ${outcome ?? 'no answer'} ${code ?? ''} ${whole === true ? 'whole' : ''} ${billed ?? ''}`
      .replace(/ +/g, ' ')
      .trimEnd(),
  );
  return [...events, '', ...answers].join('\n');
}
