/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The whole answers of the stand-in runners, by attempt. */

const BODY_BYTES = 800;
const EVENTS = 58;

/** The body of a plain answer. */
export function buildBody(attempt) {
  return `receipt ${attempt} `.repeat(BODY_BYTES).slice(0, BODY_BYTES);
}

/** The events of a stream. */
export function buildEvents(attempt) {
  return Array.from(
    {length: EVENTS},
    (_, index) =>
      `id: ${index + 1}\ndata: piece ${index + 1} of ${attempt}\n\n`,
  ).join('');
}
