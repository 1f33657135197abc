/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Tells responses whose connection was reset from complete ones. undici takes both an end
 * and a reset of the connection for the end of a response without a length.
 */
import type {Socket} from 'node:net';

import type {Agent, Dispatcher} from 'undici';
import {buildConnector} from 'undici';

import {ResponseHandler} from './ResponseHandler';

/**
 * Fails responses that undici completes because of a reset. It does so while the socket
 * emits the event that reports the reset.
 */
export class ResetDetection {
  /** Whether a socket is emitting the event that reports its reset. */
  private isReportingReset = false;

  /** An agent whose requests fail if their connection is reset. */
  wrap(agent: Agent): Dispatcher {
    return agent.compose(
      (dispatch) => (options, handler) =>
        dispatch(
          options,
          new ResettableHandler(handler, () => this.isReportingReset),
        ),
    );
  }

  /** A connector for the agent whose sockets are watched. */
  createConnector(timeoutMs: number): buildConnector.connector {
    const connect = buildConnector({timeout: timeoutMs});
    return (options, callback) => {
      connect(options, (...result) => {
        if (result[0] === null) {
          this.watch(result[1]);
        }
        callback(...result);
      });
    };
  }

  /** Listens before undici does. */
  private watch(socket: Socket): void {
    socket.on('error', () => this.reportReset());
    socket.on('end', () => {
      // After a partial read a reset is reported as an end; the socket then has no peer.
      if (socket.remoteAddress === undefined) {
        this.reportReset();
      }
    });
  }

  private reportReset(): void {
    this.isReportingReset = true;
    queueMicrotask(() => (this.isReportingReset = false));
  }
}

/** Reports the end of a response as an error while a reset is reported. */
class ResettableHandler extends ResponseHandler {
  constructor(
    handler: Dispatcher.DispatchHandler,
    private readonly isReset: () => boolean,
  ) {
    super(handler);
  }

  onResponseEnd(
    controller: Dispatcher.DispatchController,
    trailers: Parameters<
      NonNullable<Dispatcher.DispatchHandler['onResponseEnd']>
    >[1],
  ): void {
    if (this.isReset()) {
      const error = new Error('the connection was reset');
      this.handler.onResponseError?.(controller, error);
    } else {
      this.handler.onResponseEnd?.(controller, trailers);
    }
  }
}
