/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Counts what one request has used and prices it. */
import type {Usage} from './CompletionStream';
import {parseUsage} from './CompletionStream';
import type {Plan} from './Plan';
import type {PromptBound} from './PromptBound';

const HTTP_OK = 200;

/** Grows while an answer is delivered; continuations add to it. */
export class Bill {
  /** The text delivered so far. */
  text = '';
  /** Events with text so far; at least as many tokens were made. */
  chunks = 0;
  private promptTokens: number | undefined;
  private completionTokens = 0;

  constructor(
    private readonly plan: Plan,
    private readonly promptBound: PromptBound,
  ) {}

  /** Notes text that is passed on. */
  addText(text: string): void {
    this.chunks += text === '' ? 0 : 1;
    this.text += text;
  }

  /** Notes the tokens that an upstream counted. */
  addUsage({completionTokens, promptTokens}: Usage): void {
    // A continuation counts the text before it as prompt; the first call's
    // prompt is what was asked.
    this.promptTokens ??= promptTokens;
    this.completionTokens = Math.max(this.chunks, completionTokens);
    const bytes = this.plan.request.completion?.promptBytes ?? 0;
    this.promptBound.observe(bytes, this.promptTokens);
  }

  /** Tokens used as far as known: bounds where nothing was counted. */
  usage(): Usage {
    return {
      completionTokens: Math.max(this.chunks, this.completionTokens),
      promptTokens: this.promptTokens ?? this.plan.promptTokens,
    };
  }

  /** Cost of what was used, never above the reserve; budget units. */
  charge(): number {
    const {reserve, target} = this.plan;
    if (target.kind === 'service') {
      return target.spec.callPrice;
    }
    const {completionTokens, promptTokens} = this.usage();
    const {completion, prompt} = target.spec.price;
    const cost = promptTokens * prompt + completionTokens * completion;
    return Math.max(0, Math.min(reserve, cost));
  }

  /** Cost of a whole answer that was not streamed; budget units. */
  chargeForBody(status: number, body: Buffer): number {
    if (this.plan.target.kind === 'service') {
      return this.charge();
    }
    if (status !== HTTP_OK) {
      return 0;
    }
    const usage = parseUsage(body.toString());
    if (usage === undefined) {
      return this.plan.reserve;
    }
    this.addUsage(usage);
    return this.charge();
  }
}
