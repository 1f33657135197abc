/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Upper bounds of a prompt's tokens. One byte makes at most one token; after
 * enough answers a pool's own smallest ratio is used with a margin. A charge
 * never exceeds what was reserved, so a wrong ratio cannot overspend.
 */

const MIN_OBSERVATIONS = 200;
const MARGIN = 0.8;
/** Short prompts say little about the ratio. */
const MIN_PROMPT_BYTES = 200;

/** Learned bytes per token of one pool. */
export class PromptBound {
  private observations = 0;
  private smallestRatio = Infinity;

  /** Notes the tokens that an upstream counted for a prompt. */
  observe(bytes: number, tokens: number): void {
    if (bytes < MIN_PROMPT_BYTES || tokens === 0) {
      return;
    }
    this.observations += 1;
    this.smallestRatio = Math.min(this.smallestRatio, bytes / tokens);
  }

  /** Tokens of a prompt at most. */
  tokens(bytes: number): number {
    const ratio =
      this.observations < MIN_OBSERVATIONS
        ? 1
        : Math.max(1, this.smallestRatio * MARGIN);
    return Math.ceil(bytes / ratio);
  }
}
