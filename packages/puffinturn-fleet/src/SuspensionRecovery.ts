/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Recovery of a box after its host was suspended. */
import type {DecisionLog} from 'puffinturn-decisions';
import type {Link} from 'puffinturn-wire';

/** Dependencies of the recovery. */
export interface SuspensionRecoveryParts {
  readonly link: Link;
  readonly log: DecisionLog;
}

/** Logs the suspension and reopens the links to other boxes, which may be half-open. */
export function recoverFromSuspension(
  {link, log}: SuspensionRecoveryParts,
  suspendedMs: number,
): void {
  const detail = `suspended for ${Math.round(suspendedMs)} ms`;
  log.note({detail, event: 'process-changed', phase: 'woke'});
  link.resetConnections();
}
