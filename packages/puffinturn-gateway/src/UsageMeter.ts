/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Measures the token usage of one request and computes its charge. */
import type {Usage} from './CompletionStreamParser';
import {parseUsage} from './CompletionStreamParser';
import type {PromptTokenBound} from './PromptTokenBound';
import type {RequestPlan} from './RequestPlan';

const HTTP_OK = 200;

/** Token usage of one request, including continuations of its response. */
export class UsageMeter {
  /** The text delivered so far. */
  text = '';
  /** Number of non-empty text events, a lower bound of completion tokens. */
  textEventCount = 0;
  private promptTokens: number | undefined;
  private completionTokens = 0;

  constructor(
    private readonly plan: RequestPlan,
    private readonly promptTokenBound: PromptTokenBound,
  ) {}

  /** Adds delivered text. */
  addText(text: string): void {
    this.textEventCount += text === '' ? 0 : 1;
    this.text += text;
  }

  /** Adds the usage that an upstream reported. */
  addUsage({completionTokens, promptTokens}: Usage): void {
    // A continuation counts the text already delivered as prompt, so only the
    // first report has the tokens of the original prompt.
    this.promptTokens ??= promptTokens;
    this.completionTokens = Math.max(this.textEventCount, completionTokens);
    const bytes = this.plan.request.completion?.promptBytes ?? 0;
    this.promptTokenBound.addSample(bytes, this.promptTokens);
  }

  /** Reported usage; bounds where the upstream reported nothing. */
  currentUsage(): Usage {
    return {
      completionTokens: Math.max(this.textEventCount, this.completionTokens),
      promptTokens: this.promptTokens ?? this.plan.promptTokens,
    };
  }

  /** Cost of the usage, at most the reserve; budget units. */
  computeCharge(): number {
    const {reserve, target} = this.plan;
    if (target.kind === 'service') {
      return target.spec.callPrice;
    }
    const {completionTokens, promptTokens} = this.currentUsage();
    const {completion, prompt} = target.spec.price;
    const cost = promptTokens * prompt + completionTokens * completion;
    return Math.max(0, Math.min(reserve, cost));
  }

  /** Cost of a complete response that was not streamed; budget units. */
  computeBodyCharge(status: number, body: Buffer): number {
    if (this.plan.target.kind === 'service') {
      return this.computeCharge();
    }
    if (status !== HTTP_OK) {
      return 0;
    }
    const usage = parseUsage(body.toString());
    if (usage === undefined) {
      return this.plan.reserve;
    }
    this.addUsage(usage);
    return this.computeCharge();
  }
}
