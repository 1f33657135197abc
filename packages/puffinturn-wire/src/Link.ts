/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Request-response calls between boxes. */
import type {ResultAsync} from 'neverthrow';
import type {Failure} from 'shared';

/** Why a call failed. */
export type LinkFailure =
  /** Never sent; the peer has not processed the request. */
  | Failure<'not-sent'>
  /** Sent, but no reply arrived; the peer may have processed the request. */
  | Failure<'no-answer'>
  /** The peer replied that its handler failed. */
  | Failure<'peer-failed'>;

/** Handles the calls of one service; `from` is the name of the calling box. */
export type ServiceHandler = (body: unknown, from: string) => Promise<unknown>;

/** Sends calls to other boxes and dispatches incoming ones to handlers. */
export abstract class Link {
  private readonly handlers = new Map<string, ServiceHandler>();

  /** Calls a service of another box or of this one. */
  abstract call(
    box: string,
    service: string,
    body: unknown,
    timeoutMs: number,
  ): ResultAsync<unknown, LinkFailure>;

  /** Registers the handler of a service until the result is disposed. */
  register(service: string, handler: ServiceHandler): Disposable {
    this.handlers.set(service, handler);
    return {[Symbol.dispose]: () => void this.handlers.delete(service)};
  }

  /**
   * Closes the connections to all other boxes and fails the calls in flight on
   * them. The next call to a box reconnects.
   */
  resetConnections(): void {}

  /**
   * Lets the next call to a box use a new connection, unless something was received on the
   * current one within `quietMs`. Calls in flight are not affected.
   */
  renewConnection(_box: string, _quietMs: number): void {}

  /**
   * Whether a part of a reply of a box was received, and some of it within `quietMs`; false
   * if the link does not tell.
   */
  isReceiving(_box: string, _quietMs: number): boolean {
    return false;
  }

  /** Bytes sent to each box since start; empty if the link does not count them. */
  bytesSentByPeer(): ReadonlyMap<string, number> {
    return new Map();
  }

  /** Runs the handler of a service; returns undefined if there is none. */
  protected dispatch(
    service: string,
    body: unknown,
    from: string,
  ): Promise<unknown> | undefined {
    return this.handlers.get(service)?.(body, from);
  }
}
