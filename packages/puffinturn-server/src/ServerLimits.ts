/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Limits of HTTP servers on what their clients may take up of a machine. */
import * as z from 'zod';

/** Limits of one HTTP server. */
export interface ServerLimits {
  /** Connections that are open at the same time. */
  readonly maxConnections: number;
  /** Memory for the bodies of all requests together, bytes. */
  readonly maxHeldBytes: number;
  /** Requests of one connection that wait for the response to an earlier one. */
  readonly maxPipelinedRequests: number;
  /** Time without a byte after which an unfinished body is refused, ms. */
  readonly maxBodyPauseMs: number;
  /** Time without progress after which a response that its client doesn't read is cut, ms. */
  readonly maxUnreadMs: number;
}

/** What a process may use of its machine. */
export interface MachineLimits {
  readonly memoryMb: number;
  readonly descriptors: number;
}

/** Parts of a machine that one HTTP server may use for its clients. */
export interface ServerShares {
  /** Part of the memory that the process leaves, for bodies. */
  readonly bodyMemory: number;
  /** Part of the same for connections and the heads of their requests. */
  readonly connectionMemory: number;
  /** Part of the descriptors for connections. */
  readonly descriptors: number;
}

/**
 * Shares of a server that forwards requests: each of its connections may need another one
 * to an upstream.
 */
export const FORWARDING_SHARES: ServerShares = {
  bodyMemory: 0.25,
  connectionMemory: 0.25,
  descriptors: 0.4,
};

/** Shares of a server whose requests carry whole documents. */
export const DOCUMENT_SHARES: ServerShares = {
  bodyMemory: 0.35,
  connectionMemory: 0.25,
  descriptors: 0.4,
};

/** Schema of the limits as settings; those that are not set depend on the machine. */
export const ClientLimitsSchema = z.object({
  maxBodyPauseMs: z.int().min(1_000).default(30_000),
  maxConnections: z.int().min(1).optional(),
  maxHeldBytes: z.int().min(1_024).optional(),
  maxPipelinedRequests: z.int().min(0).default(8),
  maxUnreadMs: z.int().min(1_000).default(120_000),
});

/** Limits of clients, as settings. */
export type ClientLimits = z.output<typeof ClientLimitsSchema>;

/** Limits of clients where no setting replaces what depends on the machine. */
const DEFAULT_CLIENT_LIMITS: ClientLimits = ClientLimitsSchema.parse({});

/** Limits of a server that answers checks: its requests have no bodies. */
export const CHECK_LIMITS: ServerLimits = {
  ...DEFAULT_CLIENT_LIMITS,
  maxConnections: 64,
  maxHeldBytes: 0,
};

/** Memory of a connection whose head is as long as the server reads, bytes. */
const CONNECTION_BYTES = 80 * 1_024;

/**
 * Memory of the process without clients, and of buffers that were dropped but not collected
 * yet: the runtime lets them grow to half of its heap's limit.
 */
const PROCESS_MB = 150;

/** Least part of the memory that is shared out, on small machines. */
const MIN_SHARED_PART = 0.2;

const BYTES_PER_MB = 1_024 * 1_024;

/** Derives the limits of a server from its machine, but for those that are set. */
export function deriveServerLimits(
  {descriptors, memoryMb}: MachineLimits,
  shares: ServerShares,
  clientLimits = DEFAULT_CLIENT_LIMITS,
): ServerLimits {
  const sharedMb = Math.max(memoryMb - PROCESS_MB, MIN_SHARED_PART * memoryMb);
  const memoryBytes = sharedMb * BYTES_PER_MB;
  const connectionBytes = shares.connectionMemory * memoryBytes;
  const derivedConnections = Math.min(
    shares.descriptors * descriptors,
    connectionBytes / CONNECTION_BYTES,
  );
  return {
    ...clientLimits,
    maxConnections:
      clientLimits.maxConnections ?? Math.floor(derivedConnections),
    maxHeldBytes:
      clientLimits.maxHeldBytes ?? Math.floor(shares.bodyMemory * memoryBytes),
  };
}
