/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The bodies of `/v1/chat/completions` and `/v1/completions`. */
import type {Result} from 'neverthrow';
import {checkValue} from 'puffinturn-settings';
import {z} from 'zod';

import type {GatewayFailure} from './GatewayFailure';
import {gatewayFailure} from './GatewayFailure';

const MAX_REQUESTED_TOKENS = 10_000_000;

const TokensSchema = z.int().min(1).max(MAX_REQUESTED_TOKENS).nullish();

const SharedSchema = z.looseObject({
  max_completion_tokens: TokensSchema,
  max_tokens: TokensSchema,
  model: z.string().min(1).max(200),
  /** Each further choice would cost as much again. */
  n: z.literal(1, 'only one choice a request').nullish(),
  stream: z.boolean().nullish(),
  stream_options: z
    .looseObject({include_usage: z.boolean().nullish()})
    .nullish(),
});

const ChatSchema = SharedSchema.extend({
  messages: z
    .array(z.looseObject({content: z.unknown(), role: z.string()}))
    .min(1),
});

const TextSchema = SharedSchema.extend({prompt: z.string()});

/** A completion request after its check. */
export interface CompletionBody {
  readonly kind: 'chat' | 'text';
  readonly fields: Readonly<Record<string, unknown>>;
  readonly model: string;
  readonly stream: boolean;
  readonly includeUsage: boolean;
  /** Completion tokens asked for; 0 when not given. */
  readonly maxTokens: number;
  readonly messages: number;
  /** What the prefix of the prompt is hashed from. */
  readonly prompt: string;
  /** Bytes that can become prompt tokens. */
  readonly promptBytes: number;
}

/** Checks a parsed body. */
export function checkCompletion(
  value: unknown,
  kind: 'chat' | 'text',
): Result<CompletionBody, GatewayFailure> {
  const checked =
    kind === 'chat'
      ? checkValue(ChatSchema, value, 'body')
      : checkValue(TextSchema, value, 'body');
  return checked
    .mapErr(({message}) => gatewayFailure('bad_request', message))
    .map((fields) => {
      const messages = (fields as {messages?: unknown[]}).messages ?? [];
      const extras = [fields.tools, fields.functions, fields.response_format];
      const prompt =
        'prompt' in fields ? String(fields.prompt) : JSON.stringify(messages);
      const extraText = JSON.stringify(
        extras.filter((item) => item !== undefined && item !== null),
      );
      return {
        fields,
        includeUsage: fields.stream_options?.include_usage === true,
        kind,
        maxTokens: fields.max_completion_tokens ?? fields.max_tokens ?? 0,
        messages: messages.length,
        model: fields.model,
        prompt,
        promptBytes: Buffer.byteLength(prompt) + Buffer.byteLength(extraText),
        stream: fields.stream === true,
      };
    });
}

/** The body to send upstream: the bound on tokens is always set. */
export function upstreamBody(
  body: CompletionBody,
  maxTokens: number,
  priority: number,
): string {
  const {max_completion_tokens: _former, ...fields} = body.fields;
  return JSON.stringify({
    ...fields,
    max_tokens: maxTokens,
    priority,
    ...(body.stream ? {stream_options: {include_usage: true}} : {}),
  });
}

/** The body that goes on where a stream broke off after `text`. */
export function continuationBody(
  body: CompletionBody,
  text: string,
  maxTokens: number,
  priority: number,
): string {
  const {fields, kind} = body;
  const continued =
    kind === 'text'
      ? {prompt: `${String(fields.prompt)}${text}`}
      : {
          add_generation_prompt: false,
          continue_final_message: true,
          messages: [
            ...(fields.messages as unknown[]),
            {content: text, role: 'assistant'},
          ],
        };
  const whole = {...body, fields: {...fields, ...continued}};
  return upstreamBody(whole, maxTokens, priority);
}
