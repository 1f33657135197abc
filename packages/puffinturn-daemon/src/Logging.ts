/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Structured logging with tslog. */
import type {Settings} from 'puffinturn-settings';
import {Logger} from 'tslog';

const LEVELS = {debug: 2, error: 5, info: 3, warn: 4} as const;

/** Creates the logger of a process. It masks fields that could hold a secret. */
export function createLogger({box, logs}: Settings): Logger<unknown> {
  return new Logger({
    stack: {capture: 'off'},
    mask: {keys: ['authorization', 'key', 'password', 'secret']},
    minLevel: LEVELS[logs.level],
    name: box,
    type: logs.format,
  });
}
