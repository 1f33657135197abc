/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Simulates a model engine with continuous batching in virtual time. Each step
 * generates one token for every request whose prefill is done. Prompt blocks
 * are kept in an LRU cache.
 */
import {LRUCache} from 'lru-cache';
import type {Clock} from 'shared';

/** Speed and capacity of an engine. */
export interface EngineProfile {
  /** Maximum batch size. */
  readonly slots: number;
  readonly stepMs: number;
  readonly stepPerRequestMs: number;
  /** Prefill time of one uncached prompt block, ms. */
  readonly blockMs: number;
  readonly cacheBlocks: number;
}

/** A request to an engine, and callbacks for its progress. */
export interface EngineRequest {
  readonly prefix: readonly string[];
  readonly tokens: number;
  readonly priority: number;
  readonly onFirstToken: () => void;
  /** Called for every further token, with the time since the last one. */
  readonly onToken: (gapMs: number) => void;
  /** Called once at the end; false if the engine crashed. */
  readonly onEnd: (succeeded: boolean) => void;
}

/** Maximum prefill time in one step, as a share of `stepMs`. */
const MAX_PREFILL_SHARE = 0.6;

interface ActiveRequest {
  readonly request: EngineRequest;
  prefillMs: number;
  generatedTokens: number;
  lastTokenAt: number;
  isCancelled: boolean;
}

/** A simulated engine that runs a batch of requests until it crashes. */
export class SimulatedEngine {
  /** Factor on the duration of every step. */
  slowdownFactor = 1;
  /** Tokens generated for all requests. */
  generatedTokens = 0;
  /** Prompt blocks found in the cache. */
  cachedPromptBlocks = 0;
  /** Prompt blocks of all started requests. */
  promptBlocks = 0;
  hasCrashed = false;
  private readonly waiting: ActiveRequest[] = [];
  private running: ActiveRequest[] = [];
  private readonly cache: LRUCache<string, true>;
  private isStepping = false;

  constructor(
    private readonly clock: Clock,
    private readonly profile: EngineProfile,
  ) {
    this.cache = new LRUCache({max: profile.cacheBlocks});
  }

  /** Number of requests in the batch and in the queue. */
  get load(): {running: number; waiting: number} {
    return {running: this.running.length, waiting: this.waiting.length};
  }

  /** Queues a request and returns a function that cancels it. */
  submit(request: EngineRequest): () => void {
    const entry: ActiveRequest = {
      isCancelled: false,
      lastTokenAt: 0,
      generatedTokens: 0,
      prefillMs: 0,
      request,
    };
    if (this.hasCrashed) {
      request.onEnd(false);
      return () => undefined;
    }
    this.waiting.push(entry);
    this.waiting.sort((a, b) => a.request.priority - b.request.priority);
    if (!this.isStepping) {
      this.isStepping = true;
      void this.runSteps();
    }
    return () => (entry.isCancelled = true);
  }

  /** Crashes the engine and fails all its requests. */
  crash(): void {
    this.hasCrashed = true;
    const interrupted = [...this.running, ...this.waiting.splice(0)];
    this.running = [];
    for (const {request} of interrupted) {
      request.onEnd(false);
    }
  }

  private async runSteps(): Promise<void> {
    while (!this.hasCrashed && this.running.length + this.waiting.length > 0) {
      this.admitWaiting();
      const prefillMs = this.running.reduce(
        (sum, entry) => sum + entry.prefillMs,
        0,
      );
      const {stepMs, stepPerRequestMs} = this.profile;
      // Chunked prefill lengthens the step for the whole batch.
      const prefillChunkMs = Math.min(prefillMs, stepMs * MAX_PREFILL_SHARE);
      const stepLengthMs =
        stepMs + stepPerRequestMs * this.running.length + prefillChunkMs;
      await this.clock.sleep(stepLengthMs * this.slowdownFactor);
      this.advancePrefill(prefillChunkMs);
      this.generateTokens();
    }
    this.isStepping = false;
  }

  private admitWaiting(): void {
    while (this.running.length < this.profile.slots) {
      const next = this.waiting.shift();
      if (next === undefined) {
        return;
      }
      if (!next.isCancelled) {
        next.prefillMs = this.startPrefill(next.request.prefix);
        this.running.push(next);
      }
    }
  }

  /** Caches the blocks of a prompt and returns its prefill time, ms. */
  private startPrefill(prefix: readonly string[]): number {
    const firstMiss = prefix.findIndex((block) => !this.cache.get(block));
    const cachedCount = firstMiss === -1 ? prefix.length : firstMiss;
    for (const block of prefix) {
      this.cache.set(block, true);
    }
    this.cachedPromptBlocks += cachedCount;
    this.promptBlocks += prefix.length;
    return (prefix.length - cachedCount + 1) * this.profile.blockMs;
  }

  private advancePrefill(prefillChunkMs: number): void {
    let remainingMs = prefillChunkMs;
    for (const entry of this.running) {
      const spentMs = Math.min(remainingMs, entry.prefillMs);
      entry.prefillMs -= spentMs;
      remainingMs -= spentMs;
    }
  }

  private generateTokens(): void {
    const now = this.clock.now();
    const unfinished: ActiveRequest[] = [];
    for (const entry of this.running) {
      if (entry.isCancelled) {
        continue;
      }
      if (entry.prefillMs <= 0) {
        this.generateToken(entry, now);
      }
      if (entry.generatedTokens < entry.request.tokens) {
        unfinished.push(entry);
      } else {
        entry.request.onEnd(true);
      }
    }
    this.running = unfinished;
  }

  private generateToken(entry: ActiveRequest, now: number): void {
    entry.generatedTokens += 1;
    this.generatedTokens += 1;
    if (entry.generatedTokens === 1) {
      entry.request.onFirstToken();
    } else {
      entry.request.onToken(now - entry.lastTokenAt);
    }
    entry.lastTokenAt = now;
  }
}
