/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The parts of prompts that one upstream is taken to keep in its memory, since
 * this edge sent them there lately. A part counts only behind the same parts.
 */
import {LRUCache} from 'lru-cache';

import type {PromptPart} from './CallerDialect';

/** Chains remembered for each upstream. */
const MAX_CHAINS = 512;

/** See the module comment. */
export class KeptPrefixes {
  private readonly chains = new LRUCache<string, true>({max: MAX_CHAINS});

  /** Notes that a prompt was read. */
  sent(parts: readonly PromptPart[]): void {
    let chain = '';
    for (const {id} of parts) {
      chain += `,${id}`;
      this.chains.set(chain, true);
    }
  }

  /** Tokens at the start of a prompt that need not be read again. */
  keptOf(parts: readonly PromptPart[]): number {
    let chain = '';
    let tokens = 0;
    for (const part of parts) {
      chain += `,${part.id}`;
      if (!this.chains.has(chain)) {
        break;
      }
      tokens += part.tokens;
    }
    return tokens;
  }
}
