/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The time until an upstream's first word, and the tokens that it must read
 * before: what is open there is counted meanwhile, and the time is measured.
 */
import type {Clock} from 'shared';

import type {PromptPart} from '../callers/CallerDialect';
import type {Placement} from './UpstreamChoice';

/** See the module comment; made as a request is sent. */
export class PromptReading {
  private readonly startedAt: number;
  /** Tokens that the upstream must read before the first event. */
  private readonly tokens: number;
  /** Tokens of this edge's prompts before it. */
  private readonly ahead: number;

  constructor(
    private readonly clock: Clock,
    private readonly placement: Placement,
    private readonly prompt: readonly PromptPart[],
  ) {
    const {copiedTokens, upstream} = placement;
    const all = prompt.reduce((sum, {tokens}) => sum + tokens, 0);
    const kept = upstream.prefixes.keptOf(prompt) + copiedTokens;
    this.tokens = Math.max(0, all - kept);
    this.ahead = upstream.pendingTokens;
    this.startedAt = clock.now();
    upstream.pendingTokens += this.tokens;
  }

  /** Tokens to be read before the first word, those of prompts ahead included. */
  get unread(): number {
    return this.ahead + this.tokens;
  }

  /** Ends it; an upstream that answered has shown how fast it is. */
  end(answered: boolean): void {
    const {upstream} = this.placement;
    upstream.pendingTokens -= this.tokens;
    if (answered) {
      const tookMs = this.clock.now() - this.startedAt;
      upstream.answerTime.measured(tookMs);
      upstream.speed.measured(this.ahead + this.tokens, tookMs);
      upstream.prefixes.sent(this.prompt);
    }
  }
}
