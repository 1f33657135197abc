/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Lets a retry that reached another box follow the answer on the box that
 * makes it. Chunks have numbers, so that parts that come late, twice or out of
 * order change nothing.
 */
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';

import type {AnswerEnd, AnswerHead} from './Answer';
import {Answer} from './Answer';
import type {AnswerStore, RequestId} from './AnswerStore';
import {
  ATTACH_CALL_MS,
  ATTACH_PART_BYTES,
  ATTACH_POLL_MS,
} from './GatewayConstants';

const ANSWER_SERVICE = 'answer';

/** Calls in a row without an answer before the owner counts as lost. */
const MAX_SILENT_CALLS = 2;

interface AttachRequest extends RequestId {
  readonly attempt: number;
  readonly from: number;
}

type AttachReply =
  | {readonly kind: 'absent'}
  | {
      readonly kind: 'part';
      readonly head: AnswerHead | undefined;
      readonly chunks: readonly Uint8Array[];
      /** Set when the chunks reach the end. */
      readonly end: AnswerEnd | undefined;
    };

/** What the exchange needs. */
export interface AnswerExchangeParts {
  readonly clock: Clock;
  readonly link: Link;
  readonly store: AnswerStore;
}

/** See the module comment. */
export class AnswerExchange implements Disposable {
  private readonly registration: Disposable;

  constructor(private readonly parts: AnswerExchangeParts) {
    this.registration = parts.link.register(ANSWER_SERVICE, (body) =>
      this.serve(body as AttachRequest),
    );
  }

  [Symbol.dispose](): void {
    this.registration[Symbol.dispose]();
  }

  /**
   * Copies the answer of another box into a local one. Undefined when that box
   * does not have it or cannot be reached before the head.
   */
  async attach(
    box: string,
    id: RequestId,
    attempt: number,
  ): Promise<Answer | undefined> {
    const local = new Answer(attempt, true);
    const started = await this.copyPart(box, id, local);
    if (!started) {
      return undefined;
    }
    void this.copyRest(box, id, local);
    return local;
  }

  private async copyRest(
    box: string,
    id: RequestId,
    local: Answer,
  ): Promise<void> {
    let silent = 0;
    while (local.end === undefined) {
      silent = (await this.copyPart(box, id, local)) ? 0 : silent + 1;
      if (silent > MAX_SILENT_CALLS) {
        local.abandoned.abort();
        local.finish({
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

  private async copyPart(
    box: string,
    id: RequestId,
    local: Answer,
  ): Promise<boolean> {
    const {attempt, length: from} = local;
    const answer = await this.parts.link.call(
      box,
      ANSWER_SERVICE,
      {...id, attempt, from} satisfies AttachRequest,
      ATTACH_CALL_MS,
    );
    const reply = answer.isOk() ? (answer.value as AttachReply) : undefined;
    if (reply?.kind !== 'part' || from !== local.length) {
      return false;
    }
    if (reply.head !== undefined) {
      local.start(reply.head);
    }
    for (const chunk of reply.chunks) {
      await local.append(chunk);
    }
    if (reply.end !== undefined) {
      local.finish(reply.end);
    }
    return true;
  }

  private async serve(request: AttachRequest): Promise<AttachReply> {
    const answer = this.parts.store.find(request, request.attempt);
    if (answer === undefined || !answer.keeps) {
      return {kind: 'absent'};
    }
    const stop = new AbortController();
    const deadline = this.parts.clock
      .sleep(ATTACH_POLL_MS, stop.signal)
      .then(() => stop.abort());
    while (
      answer.length <= request.from &&
      answer.end === undefined &&
      !stop.signal.aborted
    ) {
      await Promise.race([answer.wait(), deadline]);
    }
    stop.abort();
    return partFrom(answer, request.from);
  }
}

function partFrom(answer: Answer, from: number): AttachReply {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  let at = from;
  while (at < answer.length && bytes < ATTACH_PART_BYTES) {
    const chunk = answer.chunk(at);
    if (chunk !== undefined) {
      chunks.push(chunk);
      bytes += chunk.length;
    }
    at += 1;
  }
  const end = at >= answer.length ? answer.end : undefined;
  return {chunks, end, head: answer.head, kind: 'part'};
}
