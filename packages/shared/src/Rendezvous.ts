/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Rendezvous hashing: assigns each key to the node with the highest weight.
 * Adding or removing a node moves only the keys of that node.
 */
/** Computes the weight of a node for a key from both hashes. */
export function rendezvousWeight(nodeHash: number, keyHash: number): number {
  let mixed = Math.imul(nodeHash ^ keyHash, 0x9e3779b1);
  mixed = Math.imul(mixed ^ (mixed >>> 15), 0x85ebca77);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae3d);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** Orders nodes by their weight for a key, the highest first. */
export function rankByRendezvous<Node extends {readonly hash: number}>(
  nodes: readonly Node[],
  keyHash: number,
): Node[] {
  return nodes
    .map((node) => ({node, weight: rendezvousWeight(node.hash, keyHash)}))
    .sort((a, b) => b.weight - a.weight)
    .map(({node}) => node);
}
