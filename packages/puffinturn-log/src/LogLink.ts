/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Interfaces between a replica and its transport and state machine. */
import type {ResultAsync} from 'neverthrow';
import type {Failure} from 'shared';

import type {LogRequest, ReplicaId} from './LogMessages';

/** No reply was received. The request may or may not have been processed. */
export type LogLinkFailure = Failure<'unreachable'>;

/** Sends requests to other replicas. */
export abstract class LogLink {
  /** Sends a request to the box of a replica and waits for the reply. */
  abstract call(
    to: ReplicaId,
    request: LogRequest,
    timeoutMs: number,
  ): ResultAsync<unknown, LogLinkFailure>;
}

/** The state machine that applies committed records on every replica. */
export abstract class StateMachine {
  /**
   * Applies a committed record and returns its result. Must be deterministic:
   * the result depends only on the state, the record and its index.
   */
  abstract apply(record: unknown, index: number): unknown;

  /** Serialises the whole state. */
  abstract snapshot(): Uint8Array;

  /** Replaces the whole state by a serialised one. */
  abstract restore(bytes: Uint8Array): void;
}
