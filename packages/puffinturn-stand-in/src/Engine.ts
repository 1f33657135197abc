/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * A small model engine: batches continuously, caches prompt prefixes in
 * bounded memory, honours priorities, reports its load with a lag, and takes
 * fenced orders. The n-th token of every answer is `tN `, so that anybody can
 * tell a whole answer from a damaged one.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import {LRUCache} from 'lru-cache';

import {sendJson, StandInServer} from './StandInServer';

/** How fast an engine is and what it holds. */
export interface EngineProfile {
  /** Requests in one batch at most. */
  readonly slots: number;
  /** Time of one step with one request, ms. */
  readonly stepMs: number;
  /** Time that each further request adds to a step, ms. */
  readonly stepPerRequestMs: number;
  /** Time for one uncached prompt token, ms. */
  readonly prefillMsPerToken: number;
  /** Blocks of prompt that the cache holds. */
  readonly cacheBlocks: number;
  /** Age of load reports, ms. */
  readonly loadLagMs: number;
  /** Whether orders with an old fence are refused. */
  readonly checksFences: boolean;
}

/** An engine of medium speed. */
export const DEFAULT_PROFILE: EngineProfile = {
  cacheBlocks: 2_000,
  checksFences: true,
  loadLagMs: 500,
  prefillMsPerToken: 0.1,
  slots: 16,
  stepMs: 10,
  stepPerRequestMs: 0.5,
};

const BLOCK_CHARACTERS = 512;
const BYTES_PER_TOKEN = 4;
const CACHED_PREFILL_SHARE = 0.02;
const DEFAULT_TOKENS = 16;

interface CompletionRequest {
  readonly model?: string;
  readonly messages?: readonly {readonly content?: unknown}[];
  readonly prompt?: string;
  readonly max_tokens?: number;
  readonly stream?: boolean;
  readonly priority?: number;
  readonly continue_final_message?: boolean;
}

interface Sequence {
  readonly body: CompletionRequest;
  readonly chat: boolean;
  readonly response: ServerResponse;
  readonly promptTokens: number;
  readonly firstToken: number;
  readonly wanted: number;
  readonly priority: number;
  /** When the prompt is computed, ms. */
  readyAt: number;
  made: number;
  text: string;
  gone: boolean;
  /** Tokens after which the connection is dropped. */
  readonly dropAfter: number;
}

interface Order {
  readonly fence: number;
  readonly kind: string;
  readonly model?: string;
}

/** See the module comment. */
export class Engine extends StandInServer {
  /** Requests that began to run. */
  started = 0;
  /** Tokens made in all, for measuring wasted work. */
  tokens = 0;
  /** Prompt tokens that were found in the cache. */
  cachedTokens = 0;
  /** Prompt tokens in all. */
  promptTokens = 0;
  private readonly waiting: Sequence[] = [];
  private readonly running: Sequence[] = [];
  private readonly cache: LRUCache<string, true>;
  private readonly reports: {at: number; running: number; waiting: number}[] =
    [];
  private readonly models = new Set<string>();
  private highestFence = 0;
  private stepping = false;

  constructor(private readonly profile: EngineProfile = DEFAULT_PROFILE) {
    super();
    this.cache = new LRUCache({max: Math.max(1, profile.cacheBlocks)});
  }

  protected override async answer(
    request: IncomingMessage,
    body: string,
    response: ServerResponse,
  ): Promise<void> {
    switch (request.url) {
      case '/v1/chat/completions':
        return this.complete(body, true, response);
      case '/v1/completions':
        return this.complete(body, false, response);
      case '/orders':
        return this.order(JSON.parse(body) as Order, response);
      case '/stats':
        return sendJson(response, 200, this.stats());
      default:
        return sendJson(response, 404, {error: {message: 'no such path'}});
    }
  }

  private stats() {
    const {cachedTokens, models, promptTokens, started, tokens} = this;
    return {
      cachedTokens,
      models: [...models],
      promptTokens,
      running: this.running.length,
      started,
      tokens,
      waiting: this.waiting.length,
    };
  }

  private order(order: Order, response: ServerResponse): void {
    const stale = order.fence < this.highestFence;
    if (stale && this.profile.checksFences) {
      sendJson(response, 409, {error: {message: 'an old fence'}});
      return;
    }
    this.highestFence = Math.max(this.highestFence, order.fence);
    if (order.model !== undefined && order.kind === 'load') {
      this.models.add(order.model);
    } else if (order.model !== undefined) {
      this.models.delete(order.model);
    }
    sendJson(response, 200, {models: [...this.models]});
  }

  private async complete(
    text: string,
    chat: boolean,
    response: ServerResponse,
  ): Promise<void> {
    const {faults} = this;
    this.writeLoad(response);
    if (faults.leaving) {
      response.setHeader('puffinturn-leaving', 'true');
      response.setHeader('puffinturn-not-run', 'true');
      return sendJson(response, 503, {error: {message: 'leaving'}});
    }
    if (this.strikes(faults.dropBefore)) {
      response.destroy();
      return;
    }
    if (this.strikes(faults.fail)) {
      return sendJson(response, 500, {error: {message: 'broken'}});
    }
    if (faults.hang) {
      return;
    }
    const body = JSON.parse(text) as CompletionRequest;
    const sequence = this.sequenceOf(body, chat, response);
    response.on('close', () => (sequence.gone = true));
    this.waiting.push(sequence);
    this.waiting.sort((a, b) => a.priority - b.priority);
    if (!this.stepping) {
      this.stepping = true;
      void this.runSteps();
    }
  }

  private sequenceOf(
    body: CompletionRequest,
    chat: boolean,
    response: ServerResponse,
  ): Sequence {
    const prompt = chat
      ? JSON.stringify(body.messages ?? [])
      : (body.prompt ?? '');
    const last = String(body.messages?.at(-1)?.content ?? body.prompt ?? '');
    const continued = body.continue_final_message === true || !chat;
    const made = continued ? (last.match(/\bt\d+ /g)?.length ?? 0) : 0;
    return {
      body,
      chat,
      dropAfter: this.strikes(this.faults.dropAfter) ? 3 : Infinity,
      firstToken: made,
      gone: false,
      made: 0,
      priority: body.priority ?? 5,
      promptTokens: Math.ceil(Buffer.byteLength(prompt) / BYTES_PER_TOKEN),
      readyAt: 0,
      response,
      text: '',
      wanted: body.max_tokens ?? DEFAULT_TOKENS,
    };
  }

  /** One step makes one token for each request in the batch. */
  private async runSteps(): Promise<void> {
    const {profile} = this;
    let due = performance.now();
    while (this.running.length + this.waiting.length > 0) {
      this.fillBatch();
      const batch = this.running.length;
      const length = profile.stepMs + profile.stepPerRequestMs * batch;
      due = Math.max(due + length, performance.now() - length);
      const pause = due - performance.now();
      await new Promise((resolve) => setTimeout(resolve, Math.max(0, pause)));
      this.step();
    }
    this.stepping = false;
  }

  private fillBatch(): void {
    while (this.running.length < this.profile.slots) {
      const next = this.waiting.shift();
      if (next === undefined) {
        return;
      }
      if (!next.gone) {
        this.prefill(next);
        this.running.push(next);
        this.started += 1;
      }
    }
  }

  private prefill(sequence: Sequence): void {
    const {body, promptTokens} = sequence;
    const prompt = body.prompt ?? JSON.stringify(body.messages ?? []);
    const blocks = Math.floor(prompt.length / BLOCK_CHARACTERS);
    let cached = 0;
    for (let at = 1; at <= blocks; at += 1) {
      const prefix = prompt.slice(0, at * BLOCK_CHARACTERS);
      if (this.cache.get(prefix) === true && cached === at - 1) {
        cached = at;
      }
      this.cache.set(prefix, true);
    }
    const share = blocks === 0 ? 0 : cached / blocks;
    const work = promptTokens * (1 - share * (1 - CACHED_PREFILL_SHARE));
    this.cachedTokens += Math.round(promptTokens * share);
    this.promptTokens += promptTokens;
    sequence.readyAt =
      performance.now() +
      work * this.profile.prefillMsPerToken +
      this.faults.slowMs;
  }

  private step(): void {
    const now = performance.now();
    for (const sequence of [...this.running]) {
      if (sequence.gone) {
        this.leave(sequence);
      } else if (sequence.readyAt <= now) {
        this.makeToken(sequence);
      }
    }
  }

  private makeToken(sequence: Sequence): void {
    const {body, response} = sequence;
    const token = `t${sequence.firstToken + sequence.made} `;
    sequence.made += 1;
    sequence.text += token;
    this.tokens += 1;
    if (sequence.made > sequence.dropAfter) {
      response.destroy();
      this.leave(sequence);
      return;
    }
    if (body.stream === true) {
      if (!response.headersSent) {
        response.writeHead(200, {'content-type': 'text/event-stream'});
      }
      response.write(`data: ${chunkOf(sequence, token)}\n\n`);
    }
    if (sequence.made >= sequence.wanted) {
      this.finish(sequence);
    }
  }

  private finish(sequence: Sequence): void {
    const {body, response} = sequence;
    this.leave(sequence);
    if (body.stream === true) {
      const usage = JSON.stringify({choices: [], usage: usageOf(sequence)});
      response.end(`data: ${usage}\n\ndata: [DONE]\n\n`);
      return;
    }
    const {chat, text} = sequence;
    const choice = chat
      ? {message: {content: text, role: 'assistant'}}
      : {text};
    sendJson(response, 200, {
      choices: [{...choice, finish_reason: 'length', index: 0}],
      model: body.model,
      object: chat ? 'chat.completion' : 'text_completion',
      usage: usageOf(sequence),
    });
  }

  private leave(sequence: Sequence): void {
    const at = this.running.indexOf(sequence);
    if (at >= 0) {
      this.running.splice(at, 1);
    }
  }

  /** Writes a load report that is as old as the profile says. */
  private writeLoad(response: ServerResponse): void {
    const now = performance.now();
    const {reports} = this;
    reports.push({
      at: now,
      running: this.running.length,
      waiting: this.waiting.length,
    });
    while ((reports[1]?.at ?? Infinity) <= now - this.profile.loadLagMs) {
      reports.shift();
    }
    const hidden = this.faults.hidesLoad;
    const report = reports[0];
    response.setHeader(
      'puffinturn-running',
      String(hidden ? 0 : (report?.running ?? 0)),
    );
    response.setHeader(
      'puffinturn-waiting',
      String(hidden ? 0 : (report?.waiting ?? 0)),
    );
  }
}

function usageOf({made, promptTokens}: Sequence) {
  return {
    completion_tokens: made,
    prompt_tokens: promptTokens,
    total_tokens: made + promptTokens,
  };
}

function chunkOf({body, chat}: Sequence, token: string): string {
  const choice = chat ? {delta: {content: token}} : {text: token};
  return JSON.stringify({
    choices: [{...choice, index: 0}],
    model: body.model,
    object: chat ? 'chat.completion.chunk' : 'text_completion',
  });
}
