/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Structured logs, by tslog: lines for changes of state only. */
import type {Settings} from 'puffinturn-settings';
import {Logger} from 'tslog';

const LEVELS = {debug: 2, error: 5, info: 3, warn: 4} as const;

/** The process's log; secrets never reach it, masked names are a safeguard. */
export function makeLog({box, logs}: Settings): Logger<unknown> {
  return new Logger({
    stack: {capture: 'off'},
    mask: {keys: ['authorization', 'key', 'password', 'secret']},
    minLevel: LEVELS[logs.level],
    name: box,
    type: logs.format,
  });
}
