/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The final outcome of a request: the response to its caller and the cause. */
import {RETRY_AFTER_BUSY_S} from '../EdgeConstants';
import type {CallerRequest} from './CallerRequest';

/** Records the first outcome of a request; later ones do not change its cause. */
export class RequestOutcome {
  private finalCause: string | undefined;

  constructor(private readonly caller: CallerRequest) {}

  /** Whether the request has ended. */
  get hasEnded(): boolean {
    return this.finalCause !== undefined;
  }

  /** Cause of the end; empty while the request is open. */
  get cause(): string {
    return this.finalCause ?? '';
  }

  /** Ends the request without sending an error response. */
  end(cause: string): void {
    this.finalCause ??= cause;
  }

  /** Ends the request with an error response. */
  reject(status: number, cause: string, retryAfterS?: number): void {
    this.end(cause);
    this.caller.sendError(status, cause, retryAfterS);
  }

  /**
   * Ends a request that can't be retried any more. `Retry-After` is sent only if the
   * request was certainly not executed.
   */
  fail(
    cause: string,
    mayHaveRun: boolean,
    retryAfterS = RETRY_AFTER_BUSY_S,
  ): void {
    if (this.caller.response.headersSent) {
      this.end(cause);
      this.caller.abortResponse();
    } else if (mayHaveRun) {
      this.reject(502, cause);
    } else {
      this.reject(503, cause, retryAfterS);
    }
  }
}
