/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Prefill of one prompt, from sending the request to the first response event. */
import type {Clock} from 'shared';

import type {PromptPart} from '../callers/CallerProtocol';
import type {Placement} from './LoadBalancer';

/**
 * Counts the pending tokens of a prompt at its upstream and measures the time to the first
 * event. Create it when the request is sent.
 */
export class PromptPrefill {
  private readonly startedAt: number;
  /** Prompt tokens that the upstream must process before the first event. */
  private readonly uncachedTokens: number;
  /** Pending tokens of this edge's earlier prompts at the upstream. */
  private readonly queuedTokens: number;

  constructor(
    private readonly clock: Clock,
    private readonly placement: Placement,
    private readonly prompt: readonly PromptPart[],
  ) {
    const {copiedTokens, upstream} = placement;
    const promptTokens = prompt.reduce((sum, {tokens}) => sum + tokens, 0);
    const cachedTokens =
      upstream.cachedPrefixes.cachedTokens(prompt) + copiedTokens;
    this.uncachedTokens = Math.max(0, promptTokens - cachedTokens);
    this.queuedTokens = upstream.pendingTokens;
    this.startedAt = clock.now();
    upstream.pendingTokens += this.uncachedTokens;
  }

  /** Tokens to process before the first event, including those of earlier prompts. */
  get tokensToFirstEvent(): number {
    return this.queuedTokens + this.uncachedTokens;
  }

  /** Releases the pending tokens and, if the upstream responded, records its speed. */
  finish(hasResponse: boolean): void {
    const {upstream} = this.placement;
    upstream.pendingTokens -= this.uncachedTokens;
    if (hasResponse) {
      const durationMs = this.clock.now() - this.startedAt;
      upstream.responseTime.recordDuration(durationMs);
      upstream.prefillSpeed.recordPrefill(
        this.queuedTokens + this.uncachedTokens,
        durationMs,
      );
      upstream.cachedPrefixes.recordPrompt(this.prompt);
    }
  }
}
