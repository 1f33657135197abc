/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Upper bounds of the tokens of a prompt: one token per byte at first, then the
 * smallest observed ratio of bytes to tokens with a margin. A charge never
 * exceeds the reserve, so a wrong ratio cannot overspend a budget.
 */

const MIN_SAMPLES = 200;
const RATIO_MARGIN = 0.8;
/** The ratio of shorter prompts is not representative. */
const MIN_PROMPT_BYTES = 200;

/** Estimates the ratio of bytes to tokens of one pool. */
export class PromptTokenBound {
  private sampleCount = 0;
  private minBytesPerToken = Infinity;

  /** Adds the size of a prompt and the tokens that an upstream counted. */
  addSample(bytes: number, tokens: number): void {
    if (bytes < MIN_PROMPT_BYTES || tokens === 0) {
      return;
    }
    this.sampleCount += 1;
    this.minBytesPerToken = Math.min(this.minBytesPerToken, bytes / tokens);
  }

  /** Maximum number of tokens of a prompt. */
  maxTokens(bytes: number): number {
    const bytesPerToken =
      this.sampleCount < MIN_SAMPLES
        ? 1
        : Math.max(1, this.minBytesPerToken * RATIO_MARGIN);
    return Math.ceil(bytes / bytesPerToken);
  }
}
