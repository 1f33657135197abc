/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The end of one request: the last answer to its caller, and why it was given. */
import {RETRY_AFTER_BUSY_S} from '../EdgeConstants';
import type {CallerRequest} from './CallerRequest';

/** See the module comment. The first end counts. */
export class FinalAnswer {
  private word: string | undefined;

  constructor(private readonly caller: CallerRequest) {}

  /** Whether the request has come to its end. */
  get ended(): boolean {
    return this.word !== undefined;
  }

  /** Why it ended, in one word; empty until then. */
  get cause(): string {
    return this.word ?? '';
  }

  /** Ends the request without an answer of the edge's own. */
  end(cause: string): void {
    this.word ??= cause;
  }

  /** Answers with a failure of the edge's own. */
  refuse(status: number, cause: string, retryAfterS?: number): void {
    this.end(cause);
    this.caller.refuse(status, cause, retryAfterS);
  }

  /**
   * No further try is allowed or possible. A caller is told when to come back
   * only where the request surely has not run.
   */
  giveUp(
    cause: string,
    mayHaveRun: boolean,
    retryAfterS = RETRY_AFTER_BUSY_S,
  ): void {
    if (this.caller.response.headersSent) {
      this.end(cause);
      this.caller.response.destroy();
    } else if (mayHaveRun) {
      this.refuse(502, cause);
    } else {
      this.refuse(503, cause, retryAfterS);
    }
  }
}
