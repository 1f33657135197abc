/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Sends the requests of the measurements. */
import {Agent, request} from 'undici';

import {LatencyHistogram} from './LatencyHistogram';
import {TEAM_KEY} from './ProcessFleet';

/** HTTP client for up to 4,000 concurrent streams. */
export const LOAD_AGENT = new Agent({
  bodyTimeout: 60_000,
  connections: 4_000,
  headersTimeout: 60_000,
});

/** Results of a run of streams. */
export interface StreamResult {
  readonly firstToken: LatencyHistogram;
  readonly tokens: number;
  readonly completedStreams: number;
  readonly elapsedSeconds: number;
}

/** Status, outcome and error code of a response. */
export interface ResponseSummary {
  readonly status: number;
  readonly outcome: string;
  readonly code: string;
}

const HEADERS = {
  authorization: `Bearer ${TEAM_KEY}`,
  'content-type': 'application/json',
};

function buildChatBody(tokens: number, stream: boolean): string {
  return JSON.stringify({
    max_tokens: tokens,
    messages: [{content: 'where is slot 12 of aisle 4?', role: 'user'}],
    model: 'model',
    stream,
  });
}

/** Streams one completion; returns its tokens, or undefined if cut off. */
export async function streamCompletion(
  url: string,
  tokens: number,
  firstToken: LatencyHistogram,
): Promise<number | undefined> {
  const startedAt = performance.now();
  const response = await request(`${url}/v1/chat/completions`, {
    body: buildChatBody(tokens, true),
    dispatcher: LOAD_AGENT,
    headers: HEADERS,
    method: 'POST',
  });
  let isFirstChunk = true;
  let lastBytes = '';
  for await (const chunk of response.body) {
    if (isFirstChunk) {
      firstToken.record(performance.now() - startedAt);
      isFirstChunk = false;
    }
    lastBytes = chunk.toString().slice(-32);
  }
  return lastBytes.includes('[DONE]') ? tokens : undefined;
}

/** Keeps `concurrency` streams open for the given time. */
export async function runStreams(
  url: string,
  concurrency: number,
  tokensPerStream: number,
  seconds: number,
): Promise<StreamResult> {
  const firstToken = new LatencyHistogram();
  const startedAt = performance.now();
  const endsAt = startedAt + seconds * 1_000;
  let completedStreams = 0;
  const runCaller = async (): Promise<void> => {
    while (performance.now() < endsAt) {
      const receivedTokens = await streamCompletion(
        url,
        tokensPerStream,
        firstToken,
      );
      completedStreams += receivedTokens === undefined ? 0 : 1;
    }
  };
  await Promise.all(Array.from({length: concurrency}, runCaller));
  return {
    firstToken,
    elapsedSeconds: (performance.now() - startedAt) / 1_000,
    tokens: completedStreams * tokensPerStream,
    completedStreams,
  };
}

/** Requests a completion of one token, without streaming. */
export async function requestCompletion(url: string): Promise<ResponseSummary> {
  return postJson(`${url}/v1/chat/completions`, buildChatBody(1, false));
}

/** Sends an order to the stand-in service. */
export async function placeOrder(
  url: string,
  order: string,
): Promise<ResponseSummary> {
  return postJson(`${url}/services/orders/place`, JSON.stringify({order}));
}

async function postJson(url: string, body: string): Promise<ResponseSummary> {
  const response = await request(url, {
    body,
    dispatcher: LOAD_AGENT,
    headers: HEADERS,
    method: 'POST',
  }).catch(() => undefined);
  const text = await response?.body.text().catch(() => undefined);
  if (response === undefined || text === undefined) {
    return {code: 'broken', outcome: 'unknown', status: 0};
  }
  const {error} = JSON.parse(text) as {error?: {code?: string}};
  return {
    code: error?.code ?? 'ok',
    outcome: String(response.headers['puffinturn-outcome'] ?? 'unknown'),
    status: response.statusCode,
  };
}
