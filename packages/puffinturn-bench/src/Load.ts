/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Callers for measurements, by undici. */
import {Agent, request} from 'undici';

import {TEAM_KEY} from './ProcessFleet';
import {Quantiles} from './Quantiles';

/** Connections for up to some thousand streams. */
export const loadAgent = new Agent({
  bodyTimeout: 60_000,
  connections: 4_000,
  headersTimeout: 60_000,
});

/** What a run of streams gave. */
export interface StreamFigures {
  readonly firstToken: Quantiles;
  readonly tokens: number;
  readonly whole: number;
  readonly seconds: number;
}

/** The answer to one small request. */
export interface SmallAnswer {
  readonly status: number;
  readonly outcome: string;
  readonly code: string;
}

const HEADERS = {
  authorization: `Bearer ${TEAM_KEY}`,
  'content-type': 'application/json',
};

function chatBody(tokens: number, stream: boolean): string {
  return JSON.stringify({
    max_tokens: tokens,
    messages: [{content: 'where is slot 12 of aisle 4?', role: 'user'}],
    model: 'model',
    stream,
  });
}

/** One stream; resolves with its tokens, or undefined when not whole. */
export async function oneStream(
  url: string,
  tokens: number,
  firstToken: Quantiles,
): Promise<number | undefined> {
  const started = performance.now();
  const answer = await request(`${url}/v1/chat/completions`, {
    body: chatBody(tokens, true),
    dispatcher: loadAgent,
    headers: HEADERS,
    method: 'POST',
  });
  let first = true;
  let tail = '';
  for await (const part of answer.body) {
    if (first) {
      firstToken.add(performance.now() - started);
      first = false;
    }
    tail = part.toString().slice(-32);
  }
  return tail.includes('[DONE]') ? tokens : undefined;
}

/** Keeps some streams open for a while. */
export async function runStreams(
  url: string,
  atOnce: number,
  tokens: number,
  seconds: number,
): Promise<StreamFigures> {
  const firstToken = new Quantiles();
  const started = performance.now();
  const end = started + seconds * 1_000;
  let whole = 0;
  const caller = async (): Promise<void> => {
    while (performance.now() < end) {
      const made = await oneStream(url, tokens, firstToken);
      whole += made === undefined ? 0 : 1;
    }
  };
  await Promise.all(Array.from({length: atOnce}, caller));
  return {
    firstToken,
    seconds: (performance.now() - started) / 1_000,
    tokens: whole * tokens,
    whole,
  };
}

/** One small request without a stream. */
export async function smallRequest(url: string): Promise<SmallAnswer> {
  return send(`${url}/v1/chat/completions`, chatBody(1, false));
}

/** One order. */
export async function placeOrder(
  url: string,
  order: string,
): Promise<SmallAnswer> {
  return send(`${url}/services/orders/place`, JSON.stringify({order}));
}

async function send(url: string, body: string): Promise<SmallAnswer> {
  const answer = await request(url, {
    body,
    dispatcher: loadAgent,
    headers: HEADERS,
    method: 'POST',
  }).catch(() => undefined);
  const text = await answer?.body.text().catch(() => undefined);
  if (answer === undefined || text === undefined) {
    return {code: 'broken', outcome: 'unknown', status: 0};
  }
  const {error} = JSON.parse(text) as {error?: {code?: string}};
  return {
    code: error?.code ?? 'ok',
    outcome: String(answer.headers['puffinturn-outcome'] ?? 'unknown'),
    status: answer.statusCode,
  };
}
