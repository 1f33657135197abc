/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** What every box of a fleet does once its machine has been suspended. */
import type {DecisionLog} from 'puffinturn-decisions';
import type {Link} from 'puffinturn-wire';

/** What a wake-up needs of the box. */
export interface WakeUpParts {
  readonly link: Link;
  readonly log: DecisionLog;
}

/** Says so, and makes the connections to other boxes anew: they may have ended unheard. */
export function wakeUp({link, log}: WakeUpParts, missedMs: number): void {
  const detail = `suspended for ${Math.round(missedMs)} ms`;
  log.note({detail, event: 'process-changed', phase: 'woke'});
  link.redial();
}
