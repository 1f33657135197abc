/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Which upstreams probably hold which prompt prefixes. Learned from requests
 * that this box sent and from cache events, which come late and with gaps.
 */
import {LRUCache} from 'lru-cache';
import xxhash from 'xxhash-wasm';

import {
  MAX_PREFIX_BLOCKS,
  PREFIX_BLOCK_BYTES,
  PREFIX_INDEX_BLOCKS,
  PRESUMED_SHARES,
  RENDEZVOUS_BLOCK,
} from './RoutingConstants';
import type {Upstream} from './Upstream';

const {h64ToString} = await xxhash();

/** Hashes of a prompt's blocks; each covers all blocks before it too. */
export function prefixBlocks(prompt: string): string[] {
  const blocks: string[] = [];
  let former = '';
  const whole = Math.floor(prompt.length / PREFIX_BLOCK_BYTES);
  for (let at = 0; at < Math.min(whole, MAX_PREFIX_BLOCKS); at += 1) {
    const start = at * PREFIX_BLOCK_BYTES;
    const block = prompt.slice(start, start + PREFIX_BLOCK_BYTES);
    former = h64ToString(former + block);
    blocks.push(former);
  }
  return blocks;
}

/** The first upstreams by a hash of prompt start and name. */
function presumedHolders(
  candidates: readonly Upstream[],
  prefix: readonly string[],
): Upstream[] {
  const start = prefix[Math.min(RENDEZVOUS_BLOCK, prefix.length - 1)] ?? '';
  return candidates
    .map((upstream) => ({hash: h64ToString(start + upstream.name), upstream}))
    .sort((a, b) => (a.hash < b.hash ? -1 : 1))
    .slice(0, PRESUMED_SHARES.length)
    .map(({upstream}) => upstream);
}

/** See the module comment. */
export class PrefixIndex {
  private readonly holders: LRUCache<string, Set<string>>;
  private readonly sequences = new Map<string, number>();

  constructor(capacity = PREFIX_INDEX_BLOCKS) {
    this.holders = new LRUCache({max: capacity});
  }

  /**
   * Share of a prompt that each candidate probably has cached. Where nothing
   * is known, all boxes presume the same few upstreams, by rendezvous hashing
   * of the prompt's start, so that they need not tell each other.
   */
  cachedShare(
    candidates: readonly Upstream[],
    prefix: readonly string[],
  ): Map<Upstream, number> {
    const shares = new Map<Upstream, number>();
    if (prefix.length === 0) {
      return shares;
    }
    presumedHolders(candidates, prefix).forEach((upstream, rank) =>
      shares.set(upstream, PRESUMED_SHARES[rank] ?? 0),
    );
    const found = prefix.map((block) => this.holders.get(block));
    for (const candidate of candidates) {
      const {name} = candidate;
      const missing = found.findIndex((names) => names?.has(name) !== true);
      const held = missing === -1 ? prefix.length : missing;
      const share = held / prefix.length;
      if (share > (shares.get(candidate) ?? 0)) {
        shares.set(candidate, share);
      }
    }
    return shares;
  }

  /** Notes that an upstream has just computed a prompt. */
  learn(upstream: string, prefix: readonly string[]): void {
    for (const block of prefix) {
      const names = this.holders.get(block) ?? new Set();
      this.holders.set(block, names.add(upstream));
    }
  }

  /** Takes over cache events; a gap in their numbers forgets the upstream. */
  noteEvents(
    upstream: string,
    firstNumber: number,
    removed: readonly string[],
    nextNumber: number,
  ): void {
    const expected = this.sequences.get(upstream);
    if (expected !== undefined && expected !== firstNumber) {
      this.forget(upstream);
    }
    this.sequences.set(upstream, nextNumber);
    for (const block of removed) {
      this.holders.get(block)?.delete(upstream);
    }
  }

  /** Forgets all that is known of an upstream. */
  forget(upstream: string): void {
    for (const names of this.holders.values()) {
      names.delete(upstream);
    }
  }
}
