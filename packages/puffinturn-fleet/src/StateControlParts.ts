/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** What the controls of all parts of the replicated state depend on. */
import type {DecisionLog} from 'puffinturn-decisions';
import type {Replica} from 'puffinturn-log';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';

import type {FleetMachine} from './FleetMachine';
import type {LeaderCalls} from './LeaderCalls';

/** Dependencies of the control of a part of the replicated state at a control box. */
export interface StateControlParts {
  readonly clock: Clock;
  readonly leader: LeaderCalls;
  readonly link: Link;
  readonly log: DecisionLog;
  readonly machine: FleetMachine;
  readonly replica: Replica;
}
