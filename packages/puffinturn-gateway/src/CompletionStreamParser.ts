/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Parses the event stream of a completion. */
import type {EventSourceMessage} from 'eventsource-parser';
import {createParser} from 'eventsource-parser';

import {MAX_EVENT_LENGTH} from './GatewayConstants';

/** Token usage reported by an upstream. */
export interface Usage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

/** One event of the stream. */
export type StreamEvent =
  | {readonly kind: 'done'}
  | {readonly kind: 'text'; readonly data: string; readonly text: string}
  | {readonly kind: 'usage'; readonly usage: Usage};

interface ChunkBody {
  readonly choices?: readonly {
    readonly delta?: {readonly content?: string | null};
    readonly text?: string;
  }[];
  readonly usage?: {
    readonly completion_tokens?: number;
    readonly prompt_tokens?: number;
  } | null;
}

const DONE_MARKER = '[DONE]';

/** Extracts the `usage` object; undefined if it is missing or invalid. */
function extractUsage(body: ChunkBody): Usage | undefined {
  const {completion_tokens: completion, prompt_tokens: prompt} =
    body.usage ?? {};
  return Number.isSafeInteger(completion) && Number.isSafeInteger(prompt)
    ? {completionTokens: completion ?? 0, promptTokens: prompt ?? 0}
    : undefined;
}

/** Parses the usage in a response body; undefined if it has none. */
export function parseUsage(text: string): Usage | undefined {
  const body = parseChunk(text);
  return body && extractUsage(body);
}

/** Parses bytes into events incrementally. */
export class CompletionStreamParser {
  private readonly decoder = new TextDecoder();
  private events: StreamEvent[] = [];
  private isTooLong = false;
  private readonly parser = createParser({
    maxBufferSize: MAX_EVENT_LENGTH,
    onError: ({type}) => {
      this.isTooLong ||= type === 'max-buffer-size-exceeded';
    },
    onEvent: (message) => this.handleMessage(message),
  });

  /** Whether an event is longer than is held; nothing may be pushed after it. */
  get hasTooLongEvent(): boolean {
    return this.isTooLong;
  }

  /** Adds bytes and returns the events that they complete. */
  push(bytes: Uint8Array): StreamEvent[] {
    this.parser.feed(this.decoder.decode(bytes, {stream: true}));
    const {events} = this;
    this.events = [];
    return events;
  }

  private handleMessage({data}: EventSourceMessage): void {
    if (data === DONE_MARKER) {
      this.events.push({kind: 'done'});
      return;
    }
    const body = parseChunk(data);
    if (body === undefined) {
      return;
    }
    const usage = extractUsage(body);
    if (usage !== undefined) {
      this.events.push({kind: 'usage', usage});
    }
    const choice = body.choices?.[0];
    if (choice !== undefined) {
      const text = choice.delta?.content ?? choice.text ?? '';
      this.events.push({data, kind: 'text', text});
    }
  }
}

function parseChunk(data: string): ChunkBody | undefined {
  try {
    return JSON.parse(data) as ChunkBody;
  } catch {
    return undefined;
  }
}
