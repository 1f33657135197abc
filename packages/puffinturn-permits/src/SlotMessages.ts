/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Messages that boxes exchange to share the slots of an upstream. */

/** Service name of slot requests on the link between boxes. */
export const SLOT_SERVICE = 'slots';

/** Requests slots of one upstream, and reports those that the box holds. */
export interface SlotRequest {
  readonly id: string;
  readonly hall: string;
  /** Identifies the incarnation of the upstream. */
  readonly incarnationId: string;
  /** Requests that the upstream serves at a time. */
  readonly slots: number;
  /** Requests of this box at the upstream, without those that are requested now. */
  readonly held: number;
  /** Number of slots requested; 0 only reports. */
  readonly wanted: number;
  /** Requests that the upstream rejected since the last report. */
  readonly rejected: number;
  readonly isLeastUrgent: boolean;
}

/** The reply to a slot request. */
export interface SlotReply {
  readonly granted: number;
}
