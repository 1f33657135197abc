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
import {ChunkCollector} from 'shared';

import {
  EventStreamSplitter,
  partialEventLength,
} from '../connections/EventStreamSplitter';
import type {UpstreamResponse} from '../connections/UpstreamResponse';
import {MAX_BUFFERED_RESPONSE_BYTES} from '../EdgeConstants';
import type {CallerRequest} from './CallerRequest';
import {isEndToEndHeader} from './CallerRequest';
import type {PartialEvents} from './PartialEvents';
import {ResponseBodyWriter} from './ResponseBodyWriter';

/** Outcomes of relaying a response. */
export const RELAY_OUTCOME = {
  /** The response was incomplete, discarded or of the wrong type; a retry is possible. */
  incomplete: 'broken',
  /** The request ended before the response did. */
  cancelled: 'stopped',
  /** The complete response was relayed. */
  complete: 'whole',
} as const;

/** An outcome of relaying a response. */
export type RelayOutcome = (typeof RELAY_OUTCOME)[keyof typeof RELAY_OUTCOME];

/** Relays the responses of one or more attempts to one caller. */
export abstract class ResponseRelay {
  /** Number of events relayed so far. */
  eventCount = 0;
  /** Whether the response head was sent to the caller. */
  hasStarted = false;
  /** Size of an incomplete event at the end of the last response, bytes. */
  partialEventBytes = 0;
  /** Called when an event is longer than this edge holds. */
  onEventTooLong: () => void = () => undefined;
  /** Called at the first event of each response. */
  onFirstEvent: () => void = () => undefined;
  protected isCancelled = false;
  protected readonly bodyWriter: ResponseBodyWriter;

  constructor(
    protected readonly caller: CallerRequest,
    private readonly onFirstByte: () => void,
  ) {
    this.bodyWriter = new ResponseBodyWriter(caller.response);
  }

  /** Whether responses are relayed event by event. */
  get hasEventStream(): boolean {
    return false;
  }

  /** ID of the last relayed event, from which another upstream can resume. */
  get lastEventId(): string | undefined {
    return undefined;
  }

  /** Relays one response. `discard` reads it without sending it, ahead of a retry. */
  abstract relay(
    response: UpstreamResponse,
    discard: boolean,
  ): Promise<RelayOutcome>;

  /** Stops relaying because the request has ended. */
  cancel(): void {
    this.isCancelled = true;
  }

  protected writeHead(
    response: UpstreamResponse,
    contentLength?: number,
  ): void {
    const {rawHeaders, headers} = response;
    const forwardedHeaders: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
      const name = rawHeaders[index] ?? '';
      const isContentLength = name.toLowerCase() === 'content-length';
      if (!isContentLength && isEndToEndHeader(name, headers.connection)) {
        forwardedHeaders.push(name, rawHeaders[index + 1] ?? '');
      }
    }
    if (contentLength !== undefined) {
      forwardedHeaders.push('Content-Length', String(contentLength));
    }
    if (this.caller.closesConnection) {
      forwardedHeaders.push('Connection', 'close');
    }
    this.hasStarted = true;
    this.onFirstByte();
    this.bodyWriter.writeHead(response.statusCode, forwardedHeaders);
  }
}

/** Buffers a response until it is complete; long responses are streamed. */
export class BufferedRelay extends ResponseRelay {
  override relay(
    response: UpstreamResponse,
    discard: boolean,
  ): Promise<RelayOutcome> {
    return new Promise((resolve) => {
      const {bodilessLength, isBodiless} = response;
      const reader = new BufferedBody(response, this.bodyWriter, (length) =>
        this.writeHead(response, isBodiless ? bodilessLength : length),
      );
      response.setReader({
        onEnd: (isComplete) => {
          if (this.isCancelled) {
            resolve(RELAY_OUTCOME.cancelled);
          } else if (!isComplete || discard) {
            resolve(RELAY_OUTCOME.incomplete);
          } else {
            reader.finish();
            resolve(RELAY_OUTCOME.complete);
          }
        },
        onData: (chunk) => {
          // Nobody gets a response that is discarded, or whose request has ended.
          if (!discard && !this.isCancelled) {
            reader.append(chunk);
          }
        },
      });
    });
  }
}

/** A response body, buffered up to a size limit and streamed beyond it. */
class BufferedBody {
  private readonly chunks = new ChunkCollector();
  private isStreaming = false;

  constructor(
    private readonly response: UpstreamResponse,
    private readonly bodyWriter: ResponseBodyWriter,
    private readonly sendHead: (length?: number) => void,
  ) {}

  append(chunk: Buffer): void {
    if (this.isStreaming) {
      this.bodyWriter.write(chunk, this.response);
      return;
    }
    this.chunks.append(chunk);
    if (this.chunks.byteLength > MAX_BUFFERED_RESPONSE_BYTES) {
      this.isStreaming = true;
      this.sendHead();
      this.bodyWriter.write(this.chunks.take(), this.response);
    }
  }

  finish(): void {
    if (!this.isStreaming) {
      this.sendHead(this.chunks.byteLength);
    }
    this.bodyWriter.end(this.chunks.take());
  }
}

/**
 * Relays an event stream, one complete event at a time. A stream that ends inside an event
 * is incomplete, whatever marks its end.
 */
export class EventStreamRelay extends ResponseRelay {
  private readonly eventSplitter = new EventStreamSplitter();
  private isHeadSent = false;
  /** Whether the current response has brought an event. */
  private hasEvents = false;
  /** Bytes held of the incomplete event, as counted in `partialEvents`. */
  private heldBytes = 0;
  /** Pieces of the current response until its last complete event. */
  private piecesAtLastEvent = 0;

  constructor(
    caller: CallerRequest,
    onFirstByte: () => void,
    private readonly partialEvents: PartialEvents,
  ) {
    super(caller, onFirstByte);
  }

  override get hasEventStream(): boolean {
    return true;
  }

  override get lastEventId(): string | undefined {
    return this.isHeadSent ? this.eventSplitter.lastEventId : undefined;
  }

  override relay(response: UpstreamResponse): Promise<RelayOutcome> {
    // Drops a partial event left over from the previous upstream.
    this.eventSplitter.takeRemainder();
    this.countHeldBytes();
    this.hasEvents = false;
    this.piecesAtLastEvent = 0;
    const isStream =
      response.statusCode === 200 &&
      response.headers['content-type']?.startsWith('text/event-stream') ===
        true;
    if (!isStream) {
      response.discardBody();
      return Promise.resolve(RELAY_OUTCOME.incomplete);
    }
    return new Promise((resolve) => {
      response.setReader({
        onEnd: (isComplete) => resolve(this.handleEnd(response, isComplete)),
        onData: (chunk) => this.handleChunk(response, chunk),
      });
    });
  }

  private handleChunk(response: UpstreamResponse, chunk: Buffer): void {
    if (this.isCancelled) {
      return;
    }
    const {bytes, eventCount} = this.eventSplitter.push(chunk);
    this.countHeldBytes();
    if (bytes.length > 0) {
      this.piecesAtLastEvent = response.pieceCount;
      this.sendEvents(response, bytes, eventCount);
    }
    const pieces = response.pieceCount - this.piecesAtLastEvent;
    if (this.partialEvents.isTooLong(this.heldBytes, pieces)) {
      this.onEventTooLong();
    }
  }

  private countHeldBytes(): void {
    const {heldBytes} = this.eventSplitter;
    this.partialEvents.recordSize(this.heldBytes, heldBytes);
    this.heldBytes = heldBytes;
  }

  /** Stops counting the bytes of a stream that has ended. */
  private releaseHeldBytes(): void {
    this.partialEvents.recordSize(this.heldBytes, 0);
    this.heldBytes = 0;
  }

  private sendEvents(
    response: UpstreamResponse,
    bytes: Buffer,
    eventCount: number,
  ): void {
    if (!this.hasEvents) {
      this.hasEvents = true;
      this.onFirstEvent();
    }
    this.eventCount += eventCount;
    this.sendHead(response);
    this.bodyWriter.write(bytes, response);
  }

  private handleEnd(
    response: UpstreamResponse,
    isComplete: boolean,
  ): RelayOutcome {
    this.releaseHeldBytes();
    if (this.isCancelled) {
      return RELAY_OUTCOME.cancelled;
    }
    const remainder = this.eventSplitter.takeRemainder();
    this.partialEventBytes = partialEventLength(remainder);
    if (!isComplete || this.partialEventBytes > 0) {
      return RELAY_OUTCOME.incomplete;
    }
    this.sendHead(response);
    this.bodyWriter.end(remainder);
    return RELAY_OUTCOME.complete;
  }

  private sendHead(response: UpstreamResponse): void {
    if (!this.isHeadSent) {
      this.isHeadSent = true;
      this.writeHead(response);
    }
  }
}
