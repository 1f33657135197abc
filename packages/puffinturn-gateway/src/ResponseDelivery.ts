/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Delivers the response to one attempt, and bills it. */
import {MAX_STORED_RESPONSE_BYTES} from 'puffinturn-ledger';

import type {AdmittedAttempt} from './Admission';
import type {AttemptSettler} from './AttemptSettler';
import type {BufferedResponse} from './BufferedResponse';
import type {StreamEvent, Usage} from './CompletionStreamParser';
import {CompletionStreamParser} from './CompletionStreamParser';
import {JSON_CONTENT_TYPE, MAX_RESPONSE_BYTES} from './GatewayConstants';
import {OUTCOME} from './GatewayFailure';
import type {StartedCall} from './UpstreamCall';
import {readBody, readChunks} from './UpstreamCall';
import type {UsageMeter} from './UsageMeter';

const EVENT_STREAM_CONTENT_TYPE = 'text/event-stream';
const encoder = new TextEncoder();

/** Delivers what the upstreams of one attempt send; an event stream may come from several. */
export class ResponseDelivery {
  /** Bytes of event streams received so far, from all upstreams that were tried. */
  private streamedBytes = 0;

  constructor(
    private readonly settler: AttemptSettler,
    private readonly attempt: AdmittedAttempt,
    private readonly response: BufferedResponse,
    private readonly usage: UsageMeter,
  ) {}

  /** Delivers and bills the response to a call; returns whether it was complete. */
  deliver(call: StartedCall): Promise<boolean> {
    const {completion} = this.attempt.plan.request;
    const isStream =
      completion?.stream === true && call.response.status === 200;
    return isStream ? this.deliverStream(call) : this.deliverBody(call);
  }

  /** Reads the complete body, bills it, then delivers it. */
  private async deliverBody(call: StartedCall): Promise<boolean> {
    const body = await readBody(call, MAX_RESPONSE_BYTES);
    if (body === undefined) {
      return false;
    }
    const {status} = call.response;
    const contentType =
      call.response.headers['content-type'] ?? JSON_CONTENT_TYPE;
    const isRetained = body.length <= MAX_STORED_RESPONSE_BYTES;
    const billed = await this.settler.settle(
      this.attempt,
      'settled',
      this.usage.computeBodyCharge(status, body),
      isRetained ? {body, contentType, status} : undefined,
    );
    this.response.billed = billed;
    const head = {billed, contentType, outcome: OUTCOME.ran, status};
    this.response.setHead(head);
    void this.response.append(body);
    this.response.finish({kind: 'whole'});
    return true;
  }

  /** Relays events as they arrive; the end of the stream follows the billing. */
  private async deliverStream(call: StartedCall): Promise<boolean> {
    const parser = new CompletionStreamParser();
    let isDone = false;
    try {
      for await (const bytes of readChunks(call)) {
        const events = parser.push(bytes);
        isDone ||= events.some(({kind}) => kind === 'done');
        await this.relayEvents(events);
        this.streamedBytes += bytes.length;
        if (parser.hasTooLongEvent || this.streamedBytes > MAX_RESPONSE_BYTES) {
          call.abort();
          return false;
        }
      }
    } catch {
      isDone = false;
    }
    if (!isDone || this.response.abortController.signal.aborted) {
      return false;
    }
    await this.endStream();
    return true;
  }

  /** Adds up what the events report, and sends their text to the caller. */
  private async relayEvents(events: readonly StreamEvent[]): Promise<void> {
    let output = '';
    for (const event of events) {
      if (event.kind === 'text') {
        this.usage.addText(event.text);
        output += `data: ${event.data}\n\n`;
      } else if (event.kind === 'usage') {
        this.usage.addUsage(event.usage);
      }
    }
    if (output !== '') {
      this.startStream();
      await this.response.append(encoder.encode(output));
    }
  }

  private startStream(): void {
    this.response.setHead({
      billed: undefined,
      contentType: EVENT_STREAM_CONTENT_TYPE,
      outcome: OUTCOME.ran,
      status: 200,
    });
  }

  private async endStream(): Promise<void> {
    const {completion} = this.attempt.plan.request;
    const usage = this.usage.currentUsage();
    const charge = this.usage.computeCharge();
    const billed = await this.settler.settleWithTimeout(this.attempt, charge);
    this.response.billed = billed;
    this.startStream();
    let output = '';
    if (completion?.includeUsage === true) {
      output += `data: ${formatUsageChunk(completion.model, usage)}\n\n`;
    }
    output += `: billed ${billed ?? 'later'}\n\ndata: [DONE]\n\n`;
    void this.response.append(encoder.encode(output));
    this.response.finish({kind: 'whole'});
  }
}

function formatUsageChunk(model: string, usage: Usage): string {
  const {completionTokens, promptTokens} = usage;
  return JSON.stringify({
    choices: [],
    model,
    object: 'chat.completion.chunk',
    usage: {
      completion_tokens: completionTokens,
      prompt_tokens: promptTokens,
      total_tokens: completionTokens + promptTokens,
    },
  });
}
