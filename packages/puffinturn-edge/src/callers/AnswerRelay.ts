/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Relays upstream responses to the caller. Short responses are buffered until complete.
 * Event streams are relayed event by event, and may continue with the response of
 * another upstream after a failure.
 */
import {EventCutter} from '../connections/EventStream';
import type {UpstreamAnswer} from '../connections/UpstreamAnswer';
import {WHOLE_ANSWER_BYTES} from '../EdgeConstants';
import {ResponseBodyWriter} from './CallerBody';
import type {CallerRequest} from './CallerRequest';
import {concatChunks, passesOn} from './CallerRequest';

/** Outcomes of relaying a response. */
export const RELAY = {
  /** The response was incomplete, discarded or of the wrong type; a retry is possible. */
  broken: 'broken',
  /** The request ended before the response did. */
  stopped: 'stopped',
  /** The complete response was relayed. */
  whole: 'whole',
} as const;

/** An outcome of relaying a response. */
export type RelayEnd = (typeof RELAY)[keyof typeof RELAY];

/** Relays the responses of one or more attempts to one caller. */
export abstract class AnswerRelay {
  /** Number of events relayed so far. */
  events = 0;
  /** Whether the response head was sent to the caller. */
  begun = false;
  protected isStopped = false;
  protected readonly bodyWriter: ResponseBodyWriter;

  constructor(
    protected readonly caller: CallerRequest,
    private readonly onFirstByte: () => void,
  ) {
    this.bodyWriter = new ResponseBodyWriter(caller.response);
  }

  /** ID of the last relayed event, from which another upstream can resume. */
  get lastEventId(): string | undefined {
    return undefined;
  }

  /** Relays one response. `discard` reads it without sending it, ahead of a retry. */
  abstract pass(response: UpstreamAnswer, discard: boolean): Promise<RelayEnd>;

  /** Stops relaying because the request has ended. */
  stop(): void {
    this.isStopped = true;
  }

  protected writeHead(response: UpstreamAnswer, contentLength?: number): void {
    const {rawHeaders, headers} = response;
    const forwardedHeaders: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
      const name = rawHeaders[index] ?? '';
      const isContentLength = name.toLowerCase() === 'content-length';
      if (!isContentLength && passesOn(name, headers.connection)) {
        forwardedHeaders.push(name, rawHeaders[index + 1] ?? '');
      }
    }
    if (contentLength !== undefined) {
      forwardedHeaders.push('Content-Length', String(contentLength));
    }
    if (this.caller.closing) {
      forwardedHeaders.push('Connection', 'close');
    }
    this.begun = true;
    this.onFirstByte();
    this.bodyWriter.writeHead(response.statusCode, forwardedHeaders);
  }
}

/** Buffers a response until it is complete; long responses are streamed. */
export class WholeRelay extends AnswerRelay {
  override pass(response: UpstreamAnswer, discard: boolean): Promise<RelayEnd> {
    return new Promise((resolve) => {
      const reader = new BufferedBody(response, this.bodyWriter, (length) =>
        this.writeHead(response, length),
      );
      response.read({
        ended: (isComplete) => {
          if (this.isStopped) {
            resolve(RELAY.stopped);
          } else if (!isComplete || discard) {
            resolve(RELAY.broken);
          } else {
            reader.finish();
            resolve(RELAY.whole);
          }
        },
        take: (chunk) => reader.append(chunk, !discard && !this.isStopped),
      });
    });
  }
}

/** A response body, buffered up to a size limit and streamed beyond it. */
class BufferedBody {
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  private isStreaming = false;

  constructor(
    private readonly response: UpstreamAnswer,
    private readonly bodyWriter: ResponseBodyWriter,
    private readonly sendHead: (length?: number) => void,
  ) {}

  append(chunk: Buffer, mayStream: boolean): void {
    if (this.isStreaming) {
      this.bodyWriter.write(chunk, this.response);
      return;
    }
    this.bufferedBytes += chunk.length;
    this.chunks.push(chunk);
    if (this.bufferedBytes > WHOLE_ANSWER_BYTES && mayStream) {
      this.isStreaming = true;
      this.sendHead();
      this.bodyWriter.write(Buffer.concat(this.chunks), this.response);
      this.chunks = [];
    }
  }

  finish(): void {
    if (!this.isStreaming) {
      this.sendHead(this.bufferedBytes);
    }
    this.bodyWriter.end(concatChunks(this.chunks));
  }
}

/** Relays an event stream, one complete event at a time. */
export class StreamRelay extends AnswerRelay {
  private readonly eventSplitter = new EventCutter();
  private isHeadSent = false;

  override get lastEventId(): string | undefined {
    return this.isHeadSent ? this.eventSplitter.lastId : undefined;
  }

  override pass(response: UpstreamAnswer): Promise<RelayEnd> {
    // Drops a partial event left over from the previous upstream.
    this.eventSplitter.takeRest();
    const isStream =
      response.statusCode === 200 &&
      response.headers['content-type']?.startsWith('text/event-stream') ===
        true;
    if (!isStream) {
      response.drop();
      return Promise.resolve(RELAY.broken);
    }
    return new Promise((resolve) => {
      response.read({
        ended: (isComplete) => resolve(this.handleEnd(response, isComplete)),
        take: (chunk) => this.handleChunk(response, chunk),
      });
    });
  }

  private handleChunk(response: UpstreamAnswer, chunk: Buffer): void {
    if (this.isStopped) {
      return;
    }
    const {bytes, events} = this.eventSplitter.push(chunk);
    if (bytes.length === 0) {
      return;
    }
    this.events += events;
    this.sendHead(response);
    this.bodyWriter.write(bytes, response);
  }

  private handleEnd(response: UpstreamAnswer, isComplete: boolean): RelayEnd {
    if (this.isStopped) {
      return RELAY.stopped;
    }
    if (!isComplete) {
      return RELAY.broken;
    }
    this.sendHead(response);
    this.bodyWriter.end(this.eventSplitter.takeRest());
    return RELAY.whole;
  }

  private sendHead(response: UpstreamAnswer): void {
    if (!this.isHeadSent) {
      this.isHeadSent = true;
      this.writeHead(response);
    }
  }
}
