/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** How a replica reaches the others. */
import type {ResultAsync} from 'neverthrow';
import type {Failure} from 'shared';

import type {LogRequest, ReplicaId} from './LogMessages';

/** The message may or may not have arrived. */
export type LogLinkFailure = Failure<'unreachable'>;

/** Sends one message to the box of a replica and waits for its answer. */
export abstract class LogLink {
  abstract call(
    to: ReplicaId,
    request: LogRequest,
    timeoutMs: number,
  ): ResultAsync<unknown, LogLinkFailure>;
}

/** The state that the log keeps equal on all replicas. */
export abstract class Machine {
  /** Applies a record. Must depend on nothing but state, record and index. */
  abstract apply(record: unknown, index: number): unknown;

  /** The whole state as bytes. */
  abstract snapshot(): Uint8Array;

  /** Replaces the whole state. */
  abstract restore(bytes: Uint8Array): void;
}
