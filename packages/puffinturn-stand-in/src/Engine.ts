/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * A fake model engine with continuous batching, a bounded prefix cache, request
 * priorities, delayed load reports and orders with fencing tokens. Token N of each
 * response is `tN `, so that a caller can detect missing or repeated tokens.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import {LRUCache} from 'lru-cache';

import {sendJson, StandInServer} from './StandInServer';

/** Speed and capacity of an engine. */
export interface EngineProfile {
  /** Maximum number of requests in a batch. */
  readonly slots: number;
  /** Base duration of a step, ms. */
  readonly stepMs: number;
  /** Time that each request in the batch adds to a step, ms. */
  readonly stepPerRequestMs: number;
  /** Prefill time of an uncached prompt token, ms. */
  readonly prefillMsPerToken: number;
  /** Capacity of the prefix cache, prompt blocks. */
  readonly cacheBlocks: number;
  /** Delay of load reports, ms. */
  readonly loadLagMs: number;
  /** Whether orders with a stale fencing token are rejected. */
  readonly checksFences: boolean;
}

/** The profile of an engine of medium speed. */
export const DEFAULT_PROFILE: EngineProfile = {
  cacheBlocks: 2_000,
  checksFences: true,
  loadLagMs: 500,
  prefillMsPerToken: 0.1,
  slots: 16,
  stepMs: 10,
  stepPerRequestMs: 0.5,
};

const CHARACTERS_PER_BLOCK = 512;
const BYTES_PER_TOKEN = 4;
const CACHED_PREFILL_COST_RATIO = 0.02;
const DEFAULT_MAX_TOKENS = 16;

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
  readonly firstTokenIndex: number;
  readonly maxTokens: number;
  readonly priority: number;
  /** Time at which the prefill ends, ms. */
  prefillEndsAt: number;
  generatedTokens: number;
  text: string;
  isDisconnected: boolean;
  /** Number of tokens after which the connection is closed. */
  readonly dropAfterTokens: number;
}

interface Order {
  readonly fence: number;
  readonly kind: string;
  readonly model?: string;
}

/** A fake model engine. */
export class Engine extends StandInServer {
  /** Number of requests that entered a batch. */
  startedRequests = 0;
  /** Total number of generated tokens. */
  generatedTokens = 0;
  /** Total number of prompt tokens found in the prefix cache. */
  cachedTokens = 0;
  /** Total number of prompt tokens. */
  promptTokens = 0;
  private readonly waiting: Sequence[] = [];
  private readonly running: Sequence[] = [];
  private readonly cache: LRUCache<string, true>;
  private readonly reports: {at: number; running: number; waiting: number}[] =
    [];
  private readonly models = new Set<string>();
  private highestFence = 0;
  private isStepping = false;

  constructor(private readonly profile: EngineProfile = DEFAULT_PROFILE) {
    super();
    this.cache = new LRUCache({max: Math.max(1, profile.cacheBlocks)});
  }

  protected override async handleRequest(
    request: IncomingMessage,
    body: string,
    response: ServerResponse,
  ): Promise<void> {
    switch (request.url) {
      case '/v1/chat/completions':
        return this.handleCompletion(body, true, response);
      case '/v1/completions':
        return this.handleCompletion(body, false, response);
      case '/orders':
        return this.handleOrder(JSON.parse(body) as Order, response);
      case '/stats':
        return sendJson(response, 200, this.stats());
      default:
        return sendJson(response, 404, {error: {message: 'no such path'}});
    }
  }

  private stats() {
    const {
      cachedTokens,
      models,
      promptTokens,
      startedRequests,
      generatedTokens,
    } = this;
    return {
      cachedTokens,
      models: [...models],
      promptTokens,
      running: this.running.length,
      started: startedRequests,
      tokens: generatedTokens,
      waiting: this.waiting.length,
    };
  }

  private handleOrder(order: Order, response: ServerResponse): void {
    const isStale = order.fence < this.highestFence;
    if (isStale && this.profile.checksFences) {
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

  private async handleCompletion(
    text: string,
    chat: boolean,
    response: ServerResponse,
  ): Promise<void> {
    const {faults} = this;
    this.writeLoadHeaders(response);
    if (faults.leaving) {
      response.setHeader('puffinturn-leaving', 'true');
      response.setHeader('puffinturn-not-run', 'true');
      return sendJson(response, 503, {error: {message: 'leaving'}});
    }
    if (this.shouldInjectFault(faults.dropBefore)) {
      response.destroy();
      return;
    }
    if (this.shouldInjectFault(faults.fail)) {
      return sendJson(response, 500, {error: {message: 'broken'}});
    }
    if (faults.hang) {
      return;
    }
    const body = JSON.parse(text) as CompletionRequest;
    const sequence = this.createSequence(body, chat, response);
    response.on('close', () => (sequence.isDisconnected = true));
    this.waiting.push(sequence);
    this.waiting.sort((a, b) => a.priority - b.priority);
    if (!this.isStepping) {
      this.isStepping = true;
      void this.runBatchLoop();
    }
  }

  private createSequence(
    body: CompletionRequest,
    chat: boolean,
    response: ServerResponse,
  ): Sequence {
    const prompt = chat
      ? JSON.stringify(body.messages ?? [])
      : (body.prompt ?? '');
    const lastText = String(
      body.messages?.at(-1)?.content ?? body.prompt ?? '',
    );
    const isContinuation = body.continue_final_message === true || !chat;
    const previousTokens = isContinuation
      ? (lastText.match(/\bt\d+ /g)?.length ?? 0)
      : 0;
    return {
      body,
      chat,
      dropAfterTokens: this.shouldInjectFault(this.faults.dropAfter)
        ? 3
        : Infinity,
      firstTokenIndex: previousTokens,
      generatedTokens: 0,
      isDisconnected: false,
      maxTokens: body.max_tokens ?? DEFAULT_MAX_TOKENS,
      prefillEndsAt: 0,
      priority: body.priority ?? 5,
      promptTokens: Math.ceil(Buffer.byteLength(prompt) / BYTES_PER_TOKEN),
      response,
      text: '',
    };
  }

  /** Runs steps while there are requests; each generates one token per request. */
  private async runBatchLoop(): Promise<void> {
    const {profile} = this;
    let nextStepAt = performance.now();
    while (this.running.length + this.waiting.length > 0) {
      this.fillBatch();
      const batchSize = this.running.length;
      const stepDurationMs =
        profile.stepMs + profile.stepPerRequestMs * batchSize;
      nextStepAt = Math.max(
        nextStepAt + stepDurationMs,
        performance.now() - stepDurationMs,
      );
      const delayMs = nextStepAt - performance.now();
      await new Promise((resolve) => setTimeout(resolve, Math.max(0, delayMs)));
      this.runStep();
    }
    this.isStepping = false;
  }

  private fillBatch(): void {
    while (this.running.length < this.profile.slots) {
      const next = this.waiting.shift();
      if (next === undefined) {
        return;
      }
      if (!next.isDisconnected) {
        this.startPrefill(next);
        this.running.push(next);
        this.startedRequests += 1;
      }
    }
  }

  private startPrefill(sequence: Sequence): void {
    const {body, promptTokens} = sequence;
    const prompt = body.prompt ?? JSON.stringify(body.messages ?? []);
    const blocks = Math.floor(prompt.length / CHARACTERS_PER_BLOCK);
    let cachedBlocks = 0;
    for (let block = 1; block <= blocks; block += 1) {
      const prefix = prompt.slice(0, block * CHARACTERS_PER_BLOCK);
      if (this.cache.get(prefix) === true && cachedBlocks === block - 1) {
        cachedBlocks = block;
      }
      this.cache.set(prefix, true);
    }
    const cachedRatio = blocks === 0 ? 0 : cachedBlocks / blocks;
    const tokensToCompute =
      promptTokens * (1 - cachedRatio * (1 - CACHED_PREFILL_COST_RATIO));
    this.cachedTokens += Math.round(promptTokens * cachedRatio);
    this.promptTokens += promptTokens;
    sequence.prefillEndsAt =
      performance.now() +
      tokensToCompute * this.profile.prefillMsPerToken +
      this.faults.slowMs;
  }

  private runStep(): void {
    const now = performance.now();
    for (const sequence of [...this.running]) {
      if (sequence.isDisconnected) {
        this.removeFromBatch(sequence);
      } else if (sequence.prefillEndsAt <= now) {
        this.generateToken(sequence);
      }
    }
  }

  private generateToken(sequence: Sequence): void {
    const {body, response} = sequence;
    const token = `t${sequence.firstTokenIndex + sequence.generatedTokens} `;
    sequence.generatedTokens += 1;
    sequence.text += token;
    this.generatedTokens += 1;
    if (sequence.generatedTokens > sequence.dropAfterTokens) {
      response.destroy();
      this.removeFromBatch(sequence);
      return;
    }
    if (body.stream === true) {
      if (!response.headersSent) {
        response.writeHead(200, {'content-type': 'text/event-stream'});
      }
      response.write(`data: ${formatChunk(sequence, token)}\n\n`);
    }
    if (sequence.generatedTokens >= sequence.maxTokens) {
      this.finish(sequence);
    }
  }

  private finish(sequence: Sequence): void {
    const {body, response} = sequence;
    this.removeFromBatch(sequence);
    if (body.stream === true) {
      const usage = JSON.stringify({choices: [], usage: tokenUsage(sequence)});
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
      usage: tokenUsage(sequence),
    });
  }

  private removeFromBatch(sequence: Sequence): void {
    const index = this.running.indexOf(sequence);
    if (index >= 0) {
      this.running.splice(index, 1);
    }
  }

  /** Sets the load headers to the load of `loadLagMs` ago. */
  private writeLoadHeaders(response: ServerResponse): void {
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
    const isHidden = this.faults.hidesLoad;
    const report = reports[0];
    response.setHeader(
      'puffinturn-running',
      String(isHidden ? 0 : (report?.running ?? 0)),
    );
    response.setHeader(
      'puffinturn-waiting',
      String(isHidden ? 0 : (report?.waiting ?? 0)),
    );
  }
}

function tokenUsage({generatedTokens, promptTokens}: Sequence) {
  return {
    completion_tokens: generatedTokens,
    prompt_tokens: promptTokens,
    total_tokens: generatedTokens + promptTokens,
  };
}

function formatChunk({body, chat}: Sequence, token: string): string {
  const choice = chat ? {delta: {content: token}} : {text: token};
  return JSON.stringify({
    choices: [{...choice, index: 0}],
    model: body.model,
    object: chat ? 'chat.completion.chunk' : 'text_completion',
  });
}
