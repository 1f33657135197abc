/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Estimates which upstreams have which prompt prefixes cached, from the requests of this
 * box and from cache events, which may be late or lost.
 */
import {LRUCache} from 'lru-cache';
import xxhash from 'xxhash-wasm';

import {
  MAX_PREFIX_BLOCKS,
  PREFIX_BLOCK_LENGTH,
  PREFIX_INDEX_CAPACITY,
  RENDEZVOUS_BLOCK_INDEX,
  RENDEZVOUS_CACHED_SHARES,
} from './RoutingConstants';
import type {Upstream} from './Upstream';

const {h64ToString} = await xxhash();

/** Hashes of the blocks of a prompt; each also covers the blocks before it. */
export function hashPromptBlocks(prompt: string): string[] {
  const blocks: string[] = [];
  let previousHash = '';
  const blockCount = Math.floor(prompt.length / PREFIX_BLOCK_LENGTH);
  for (
    let index = 0;
    index < Math.min(blockCount, MAX_PREFIX_BLOCKS);
    index += 1
  ) {
    const start = index * PREFIX_BLOCK_LENGTH;
    const block = prompt.slice(start, start + PREFIX_BLOCK_LENGTH);
    previousHash = h64ToString(previousHash + block);
    blocks.push(previousHash);
  }
  return blocks;
}

/** First upstreams of the rendezvous order for the start of the prompt. */
function rendezvousHolders(
  candidates: readonly Upstream[],
  blockHashes: readonly string[],
): Upstream[] {
  const startHash =
    blockHashes[Math.min(RENDEZVOUS_BLOCK_INDEX, blockHashes.length - 1)] ?? '';
  return candidates
    .map((upstream) => ({
      hash: h64ToString(startHash + upstream.name),
      upstream,
    }))
    .sort((a, b) => (a.hash < b.hash ? -1 : 1))
    .slice(0, RENDEZVOUS_CACHED_SHARES.length)
    .map(({upstream}) => upstream);
}

/** Index from prompt blocks to the upstreams that probably have them cached. */
export class PrefixIndex {
  private readonly holdersByBlock: LRUCache<string, Set<string>>;
  private readonly nextSequences = new Map<string, number>();

  constructor(capacity = PREFIX_INDEX_CAPACITY) {
    this.holdersByBlock = new LRUCache({max: capacity});
  }

  /**
   * Share of a prompt that each candidate probably has cached. For a prompt that is not
   * in the index, rendezvous hashing lets all boxes select the same upstreams without
   * communication.
   */
  cachedShares(
    candidates: readonly Upstream[],
    blockHashes: readonly string[],
  ): Map<Upstream, number> {
    const shares = new Map<Upstream, number>();
    if (blockHashes.length === 0) {
      return shares;
    }
    rendezvousHolders(candidates, blockHashes).forEach((upstream, rank) =>
      shares.set(upstream, RENDEZVOUS_CACHED_SHARES[rank] ?? 0),
    );
    const holders = blockHashes.map((block) => this.holdersByBlock.get(block));
    for (const candidate of candidates) {
      const {name} = candidate;
      const firstMiss = holders.findIndex((names) => names?.has(name) !== true);
      const cachedBlocks = firstMiss === -1 ? blockHashes.length : firstMiss;
      const share = cachedBlocks / blockHashes.length;
      if (share > (shares.get(candidate) ?? 0)) {
        shares.set(candidate, share);
      }
    }
    return shares;
  }

  /** Records that an upstream has processed a prompt. */
  recordPrompt(upstream: string, blockHashes: readonly string[]): void {
    for (const block of blockHashes) {
      const names = this.holdersByBlock.get(block) ?? new Set();
      this.holdersByBlock.set(block, names.add(upstream));
    }
  }

  /** Applies cache evictions; a gap in the sequence numbers removes the upstream. */
  applyCacheEvents(
    upstream: string,
    firstSequence: number,
    removedBlocks: readonly string[],
    nextSequence: number,
  ): void {
    const expectedSequence = this.nextSequences.get(upstream);
    if (expectedSequence !== undefined && expectedSequence !== firstSequence) {
      this.removeUpstream(upstream);
    }
    this.nextSequences.set(upstream, nextSequence);
    for (const block of removedBlocks) {
      this.holdersByBlock.get(block)?.delete(upstream);
    }
  }

  /** Removes an upstream from all blocks. */
  removeUpstream(upstream: string): void {
    for (const names of this.holdersByBlock.values()) {
      names.delete(upstream);
    }
  }
}
