/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Calls between boxes: one message, one answer. */
import type {ResultAsync} from 'neverthrow';
import type {Failure} from 'shared';

/** Why a call has no answer. */
export type LinkFailure =
  /** Never sent: the peer has certainly not seen the message. */
  | Failure<'not-sent'>
  /** Sent, but no answer came; the peer may have acted on it. */
  | Failure<'no-answer'>
  /** The peer answered that its handler failed. */
  | Failure<'peer-failed'>;

/** Answers calls for one service. */
export type Handler = (body: unknown, from: string) => Promise<unknown>;

/** The connections of one box to all others. */
export abstract class Link {
  private readonly handlers = new Map<string, Handler>();

  /** Sends `body` to a service of another box (or of this one). */
  abstract call(
    box: string,
    service: string,
    body: unknown,
    timeoutMs: number,
  ): ResultAsync<unknown, LinkFailure>;

  /** Answers calls to `service` until the result is disposed. */
  register(service: string, handler: Handler): Disposable {
    this.handlers.set(service, handler);
    return {[Symbol.dispose]: () => void this.handlers.delete(service)};
  }

  /**
   * Ends the connections to all other boxes; each is made anew when it is needed.
   * Calls that are open on them fail.
   */
  redial(): void {}

  /** Bytes sent to each box since the start, where the link counts them. */
  sentByPeer(): ReadonlyMap<string, number> {
    return new Map();
  }

  /** Runs the handler of a service; undefined when there is none. */
  protected dispatch(
    service: string,
    body: unknown,
    from: string,
  ): Promise<unknown> | undefined {
    return this.handlers.get(service)?.(body, from);
  }
}
