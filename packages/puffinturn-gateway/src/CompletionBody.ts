/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Request bodies of `/v1/chat/completions` and `/v1/completions`. */
import type {Result} from 'neverthrow';
import {validateValue} from 'puffinturn-settings';
import {z} from 'zod';

import type {GatewayFailure} from './GatewayFailure';
import {createFailure} from './GatewayFailure';

const MAX_REQUESTED_TOKENS = 10_000_000;

const TokensSchema = z.int().min(1).max(MAX_REQUESTED_TOKENS).nullish();

const CommonSchema = z.looseObject({
  max_completion_tokens: TokensSchema,
  max_tokens: TokensSchema,
  model: z.string().min(1).max(200),
  /** The reserve covers the cost of one choice only. */
  n: z.literal(1, 'only one choice a request').nullish(),
  stream: z.boolean().nullish(),
  stream_options: z
    .looseObject({include_usage: z.boolean().nullish()})
    .nullish(),
});

const ChatSchema = CommonSchema.extend({
  messages: z
    .array(z.looseObject({content: z.unknown(), role: z.string()}))
    .min(1),
});

const TextSchema = CommonSchema.extend({prompt: z.string()});

/** A validated completion request. */
export interface CompletionBody {
  readonly kind: 'chat' | 'text';
  readonly fields: Readonly<Record<string, unknown>>;
  readonly model: string;
  readonly stream: boolean;
  readonly includeUsage: boolean;
  /** Requested completion tokens; 0 if not specified. */
  readonly maxTokens: number;
  /** Number of chat messages. */
  readonly messages: number;
  /** Text of the prompt, used for prefix hashes. */
  readonly prompt: string;
  /** Size of all text that is part of the prompt, bytes. */
  readonly promptBytes: number;
}

/** Validates a parsed body. */
export function validateCompletion(
  value: unknown,
  kind: 'chat' | 'text',
): Result<CompletionBody, GatewayFailure> {
  const checked =
    kind === 'chat'
      ? validateValue(ChatSchema, value, 'body')
      : validateValue(TextSchema, value, 'body');
  return checked
    .mapErr(({message}) => createFailure('bad_request', message))
    .map((fields) => {
      const messages = (fields as {messages?: unknown[]}).messages ?? [];
      const extraFields = [
        fields.tools,
        fields.functions,
        fields.response_format,
      ];
      const prompt =
        'prompt' in fields ? String(fields.prompt) : JSON.stringify(messages);
      const extraText = JSON.stringify(
        extraFields.filter((item) => item !== undefined && item !== null),
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

/** The body for an upstream, always with a limit on completion tokens. */
export function formatUpstreamBody(
  body: CompletionBody,
  maxTokens: number,
  priority: number,
): string {
  const {max_completion_tokens: _replaced, ...fields} = body.fields;
  return JSON.stringify({
    ...fields,
    max_tokens: maxTokens,
    priority,
    ...(body.stream ? {stream_options: {include_usage: true}} : {}),
  });
}

/** The body that continues an interrupted stream after `text`. */
export function formatContinuationBody(
  body: CompletionBody,
  text: string,
  maxTokens: number,
  priority: number,
): string {
  const {fields, kind} = body;
  const continuation =
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
  const continuedBody = {...body, fields: {...fields, ...continuation}};
  return formatUpstreamBody(continuedBody, maxTokens, priority);
}
