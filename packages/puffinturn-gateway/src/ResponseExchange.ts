/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Copies responses between boxes, for retries that reach another box than the
 * first attempt. Chunks are requested by number, so late, duplicate and
 * reordered replies are harmless.
 */
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';

import type {ResponseEnd, ResponseHead} from './BufferedResponse';
import {BufferedResponse} from './BufferedResponse';
import {
  ATTACH_REPLY_BYTES,
  ATTACH_TIMEOUT_MS,
  ATTACH_WAIT_MS,
} from './GatewayConstants';
import type {RequestId, ResponseStore} from './ResponseStore';

const RESPONSE_SERVICE = 'answer';

/** Number of consecutive failed calls that are tolerated. */
const MAX_FAILED_CALLS = 2;

interface AttachRequest extends RequestId {
  readonly attempt: number;
  readonly from: number;
}

type AttachReply =
  | {readonly kind: 'absent'}
  | {
      readonly kind: 'part';
      readonly head: ResponseHead | undefined;
      readonly chunks: readonly Uint8Array[];
      /** Set if no chunks follow these. */
      readonly end: ResponseEnd | undefined;
    };

/** Dependencies of a ResponseExchange. */
export interface ResponseExchangeParts {
  readonly clock: Clock;
  readonly link: Link;
  readonly responses: ResponseStore;
}

/** Serves responses of this box to other boxes and copies theirs. */
export class ResponseExchange implements Disposable {
  private readonly registration: Disposable;

  constructor(private readonly parts: ResponseExchangeParts) {
    this.registration = parts.link.register(RESPONSE_SERVICE, (body) =>
      this.handleAttach(body as AttachRequest),
    );
  }

  [Symbol.dispose](): void {
    this.registration[Symbol.dispose]();
  }

  /**
   * Copies the response of another box. Undefined if that box does not have it
   * or the first call fails.
   */
  async attach(
    box: string,
    id: RequestId,
    attempt: number,
  ): Promise<BufferedResponse | undefined> {
    const response = new BufferedResponse(attempt, true);
    const isAttached = await this.copyChunks(box, id, response);
    if (!isAttached) {
      return undefined;
    }
    void this.copyRemainingChunks(box, id, response);
    return response;
  }

  private async copyRemainingChunks(
    box: string,
    id: RequestId,
    response: BufferedResponse,
  ): Promise<void> {
    let failedCalls = 0;
    while (response.end === undefined) {
      failedCalls = (await this.copyChunks(box, id, response))
        ? 0
        : failedCalls + 1;
      if (failedCalls > MAX_FAILED_CALLS) {
        response.abortController.abort();
        response.finish({
          failure: {
            kind: 'outcome_unknown',
            message: `${box} could not be reached any more`,
            outcome: 'unknown',
            retryAfterMs: 1_000,
            status: 504,
          },
          kind: 'failed',
        });
      }
    }
  }

  private async copyChunks(
    box: string,
    id: RequestId,
    response: BufferedResponse,
  ): Promise<boolean> {
    const {attempt, chunkCount: from} = response;
    const result = await this.parts.link.call(
      box,
      RESPONSE_SERVICE,
      {...id, attempt, from} satisfies AttachRequest,
      ATTACH_TIMEOUT_MS,
    );
    const reply = result.isOk() ? (result.value as AttachReply) : undefined;
    if (reply?.kind !== 'part' || from !== response.chunkCount) {
      return false;
    }
    if (reply.head !== undefined) {
      response.setHead(reply.head);
    }
    for (const chunk of reply.chunks) {
      await response.append(chunk);
    }
    if (reply.end !== undefined) {
      response.finish(reply.end);
    }
    return true;
  }

  private async handleAttach(request: AttachRequest): Promise<AttachReply> {
    const response = this.parts.responses.find(request, request.attempt);
    if (response === undefined || !response.isRetained) {
      return {kind: 'absent'};
    }
    const timer = new AbortController();
    const deadline = this.parts.clock
      .sleep(ATTACH_WAIT_MS, timer.signal)
      .then(() => timer.abort());
    while (
      response.chunkCount <= request.from &&
      response.end === undefined &&
      !timer.signal.aborted
    ) {
      await Promise.race([response.waitForChange(), deadline]);
    }
    timer.abort();
    return createReply(response, request.from);
  }
}

function createReply(response: BufferedResponse, from: number): AttachReply {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  let index = from;
  while (index < response.chunkCount && bytes < ATTACH_REPLY_BYTES) {
    const chunk = response.chunkAt(index);
    if (chunk !== undefined) {
      chunks.push(chunk);
      bytes += chunk.length;
    }
    index += 1;
  }
  const end = index >= response.chunkCount ? response.end : undefined;
  return {chunks, end, head: response.head, kind: 'part'};
}
