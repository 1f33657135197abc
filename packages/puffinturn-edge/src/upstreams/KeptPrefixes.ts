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

import type {PromptPart} from '../callers/CallerDialect';

/** Prefixes remembered for each upstream. */
const MAX_PREFIXES = 512;

/** The start of a prompt up to and with one of its parts. */
interface Prefix {
  /** The ids of its parts. */
  readonly key: string;
  /** Tokens of all its parts. */
  readonly tokens: number;
}

/** Prefixes of prompts that were asked for, so that they are built once. */
const prefixesOfParts = new WeakMap<readonly PromptPart[], readonly Prefix[]>();

/** See the module comment. */
export class KeptPrefixes {
  private readonly kept = new LRUCache<string, true>({max: MAX_PREFIXES});

  /** Notes that a prompt was read. */
  sent(parts: readonly PromptPart[]): void {
    for (const {key} of prefixesOf(parts)) {
      this.kept.set(key, true);
    }
  }

  /** Tokens at the start of a prompt that need not be read again. */
  keptOf(parts: readonly PromptPart[]): number {
    let kept = 0;
    for (const {key, tokens} of prefixesOf(parts)) {
      if (!this.kept.has(key)) {
        break;
      }
      kept = tokens;
    }
    return kept;
  }
}

function prefixesOf(parts: readonly PromptPart[]): readonly Prefix[] {
  const known = prefixesOfParts.get(parts);
  if (known !== undefined) {
    return known;
  }
  const ids: string[] = [];
  let tokens = 0;
  const prefixes = parts.map((part): Prefix => {
    ids.push(part.id);
    tokens += part.tokens;
    return {key: ids.join(','), tokens};
  });
  prefixesOfParts.set(parts, prefixes);
  return prefixes;
}
