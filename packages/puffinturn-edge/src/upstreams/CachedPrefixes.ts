/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Prompt prefixes that an upstream is assumed to have cached. */
import {LRUCache} from 'lru-cache';

import type {PromptPart} from '../callers/CallerProtocol';

/** Maximum number of prefixes tracked per upstream. */
const MAX_PREFIXES = 512;

/** The start of a prompt up to and including one of its parts. */
interface Prefix {
  /** Ids of the parts, joined by commas. */
  readonly key: string;
  /** Total tokens of the parts. */
  readonly tokens: number;
}

/** Prefixes of each prompt, so that they are built only once. */
const prefixesByParts = new WeakMap<readonly PromptPart[], readonly Prefix[]>();

/**
 * Least recently used prefixes of the prompts that this edge sent to one upstream. A part
 * is assumed to be cached only if all parts before it are the same.
 */
export class CachedPrefixes {
  private readonly cachedKeys = new LRUCache<string, true>({max: MAX_PREFIXES});

  /** Records that the upstream has processed a prompt. */
  recordPrompt(parts: readonly PromptPart[]): void {
    for (const {key} of prefixesOf(parts)) {
      this.cachedKeys.set(key, true);
    }
  }

  /** Number of tokens at the start of a prompt that are assumed to be cached. */
  cachedTokens(parts: readonly PromptPart[]): number {
    let cachedTokens = 0;
    for (const {key, tokens} of prefixesOf(parts)) {
      if (!this.cachedKeys.has(key)) {
        break;
      }
      cachedTokens = tokens;
    }
    return cachedTokens;
  }
}

function prefixesOf(parts: readonly PromptPart[]): readonly Prefix[] {
  const cached = prefixesByParts.get(parts);
  if (cached !== undefined) {
    return cached;
  }
  const ids: string[] = [];
  let tokens = 0;
  const prefixes = parts.map((part): Prefix => {
    ids.push(part.id);
    tokens += part.tokens;
    return {key: ids.join(','), tokens};
  });
  prefixesByParts.set(parts, prefixes);
  return prefixes;
}
