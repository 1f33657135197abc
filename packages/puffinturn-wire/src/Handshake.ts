/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Mutual authentication with the shared fleet key. Each side sends a nonce and
 * then an HMAC over both nonces and names, which prevents replay of a proof.
 */
import type {KeyObject} from 'node:crypto';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';

import {WIRE_VERSION} from './WireConstants';

const NONCE_BYTES = 32;

/** First message on a connection, sent by both sides. */
export interface Hello {
  readonly version: number;
  readonly box: string;
  readonly nonce: Uint8Array;
}

/** Second message on a connection, sent by both sides. */
export interface Proof {
  readonly mac: Uint8Array;
}

/** Creates the hello of this box, with a random nonce. */
export function makeHello(box: string): Hello {
  return {box, nonce: randomBytes(NONCE_BYTES), version: WIRE_VERSION};
}

/** Computes the proof that `prover` sends to `verifier`. */
export function makeProof(
  key: KeyObject,
  prover: Hello,
  verifier: Hello,
  role: 'caller' | 'callee',
): Proof {
  const mac = createHmac('sha256', key)
    .update(`puffinturn ${role} ${prover.version}\n`)
    .update(`${prover.box}\n${verifier.box}\n`)
    .update(prover.nonce)
    .update(verifier.nonce)
    .digest();
  return {mac};
}

/** Compares two proofs in constant time to prevent timing attacks. */
export function proofsEqual(a: Proof, b: Proof): boolean {
  return a.mac.length === b.mac.length && timingSafeEqual(a.mac, b.mac);
}

/** Whether a value is a well-formed hello of this protocol version. */
export function isHello(value: unknown): value is Hello {
  const hello = value as Hello | null;
  return (
    typeof hello === 'object' &&
    hello !== null &&
    hello.version === WIRE_VERSION &&
    typeof hello.box === 'string' &&
    hello.nonce instanceof Uint8Array &&
    hello.nonce.length === NONCE_BYTES
  );
}

/** Whether a value is a well-formed proof; does not verify the MAC. */
export function isProof(value: unknown): value is Proof {
  const proof = value as Proof | null;
  return (
    typeof proof === 'object' &&
    proof !== null &&
    proof.mac instanceof Uint8Array
  );
}
