/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * An engine in virtual time for routing experiments: one loop that makes one
 * token a step for each request of its batch, computes prompts first, and
 * caches prompt blocks in bounded memory.
 */
import {LRUCache} from 'lru-cache';
import type {Clock} from 'shared';

/** How fast an engine is. */
export interface VirtualProfile {
  readonly slots: number;
  readonly stepMs: number;
  readonly stepPerRequestMs: number;
  /** Time for one uncached prompt block, ms. */
  readonly blockMs: number;
  readonly cacheBlocks: number;
}

/** One request at an engine. */
export interface VirtualRequest {
  readonly prefix: readonly string[];
  readonly tokens: number;
  readonly priority: number;
  readonly onFirstToken: () => void;
  /** Told of every token with the time since the one before, ms. */
  readonly onToken: (gapMs: number) => void;
  /** Told once, at the end; false when the engine failed. */
  readonly onEnd: (whole: boolean) => void;
}

/** Prompt work between two steps at most, as a share of a step. */
const CHUNK_SHARE = 0.6;

interface Running {
  readonly request: VirtualRequest;
  prefillMs: number;
  made: number;
  lastAt: number;
  cancelled: boolean;
}

/** See the module comment. */
export class VirtualEngine {
  /** Multiplies all times. */
  slowness = 1;
  /** Tokens made in all. */
  tokens = 0;
  /** Blocks of prompts found in the cache, and in all. */
  cachedBlocks = 0;
  blocks = 0;
  dead = false;
  private readonly waiting: Running[] = [];
  private running: Running[] = [];
  private readonly cache: LRUCache<string, true>;
  private looping = false;

  constructor(
    private readonly clock: Clock,
    private readonly profile: VirtualProfile,
  ) {
    this.cache = new LRUCache({max: profile.cacheBlocks});
  }

  /** Requests in the batch and in the queue. */
  get load(): {running: number; waiting: number} {
    return {running: this.running.length, waiting: this.waiting.length};
  }

  /** Takes a request; the result cancels it. */
  submit(request: VirtualRequest): () => void {
    const entry: Running = {
      cancelled: false,
      lastAt: 0,
      made: 0,
      prefillMs: 0,
      request,
    };
    if (this.dead) {
      request.onEnd(false);
      return () => undefined;
    }
    this.waiting.push(entry);
    this.waiting.sort((a, b) => a.request.priority - b.request.priority);
    if (!this.looping) {
      this.looping = true;
      void this.loop();
    }
    return () => (entry.cancelled = true);
  }

  /** Dies: every request breaks off. */
  kill(): void {
    this.dead = true;
    const all = [...this.running, ...this.waiting.splice(0)];
    this.running = [];
    for (const {request} of all) {
      request.onEnd(false);
    }
  }

  private async loop(): Promise<void> {
    while (!this.dead && this.running.length + this.waiting.length > 0) {
      this.fill();
      const prefillMs = this.running.reduce(
        (sum, entry) => sum + entry.prefillMs,
        0,
      );
      const {stepMs, stepPerRequestMs} = this.profile;
      // Prompts are computed in chunks between steps and slow the batch down.
      const chunkMs = Math.min(prefillMs, stepMs * CHUNK_SHARE);
      const length = stepMs + stepPerRequestMs * this.running.length + chunkMs;
      await this.clock.sleep(length * this.slowness);
      this.computePrompts(chunkMs);
      this.makeTokens();
    }
    this.looping = false;
  }

  private fill(): void {
    while (this.running.length < this.profile.slots) {
      const next = this.waiting.shift();
      if (next === undefined) {
        return;
      }
      if (!next.cancelled) {
        next.prefillMs = this.prefillOf(next.request.prefix);
        this.running.push(next);
      }
    }
  }

  private prefillOf(prefix: readonly string[]): number {
    const missing = prefix.findIndex((block) => !this.cache.get(block));
    const cached = missing === -1 ? prefix.length : missing;
    for (const block of prefix) {
      this.cache.set(block, true);
    }
    this.cachedBlocks += cached;
    this.blocks += prefix.length;
    return (prefix.length - cached + 1) * this.profile.blockMs;
  }

  private computePrompts(chunkMs: number): void {
    let left = chunkMs;
    for (const entry of this.running) {
      const done = Math.min(left, entry.prefillMs);
      entry.prefillMs -= done;
      left -= done;
    }
  }

  private makeTokens(): void {
    const now = this.clock.now();
    const staying: Running[] = [];
    for (const entry of this.running) {
      if (entry.cancelled) {
        continue;
      }
      if (entry.prefillMs <= 0) {
        this.makeToken(entry, now);
      }
      if (entry.made < entry.request.tokens) {
        staying.push(entry);
      } else {
        entry.request.onEnd(true);
      }
    }
    this.running = staying;
  }

  private makeToken(entry: Running, now: number): void {
    entry.made += 1;
    this.tokens += 1;
    if (entry.made === 1) {
      entry.request.onFirstToken();
    } else {
      entry.request.onToken(now - entry.lastAt);
    }
    entry.lastAt = now;
  }
}
