/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Responses of this box by request: in progress and retained. */
import {LRUCache} from 'lru-cache';
import type {Clock} from 'shared';

import type {BufferedResponse} from './BufferedResponse';
import {MAX_RETAINED_RESPONSE_BYTES} from './GatewayConstants';

/** Identifies a request across boxes. */
export interface RequestId {
  readonly team: string;
  readonly key: string;
}

function storeKey({key, team}: RequestId): string {
  return `${team}\n${key}`;
}

/** Stores responses for retries, up to a size and an age. */
export class ResponseStore {
  private readonly active = new Map<string, BufferedResponse>();
  private readonly retained: LRUCache<string, BufferedResponse>;

  constructor(clock: Clock, retentionMs: number) {
    this.retained = new LRUCache({
      maxSize: MAX_RETAINED_RESPONSE_BYTES,
      perf: clock,
      sizeCalculation: ({byteLength}) => byteLength + 1,
      ttl: retentionMs,
      ttlResolution: 0,
    });
  }

  /** Number of responses in progress. */
  get activeCount(): number {
    return this.active.size;
  }

  /** The response of an attempt, if it is stored here. */
  find(id: RequestId, attempt: number): BufferedResponse | undefined {
    const key = storeKey(id);
    const response = this.active.get(key) ?? this.retained.get(key);
    return response?.attempt === attempt ? response : undefined;
  }

  /** Adds a response in progress. */
  add(id: RequestId, response: BufferedResponse): void {
    this.active.set(storeKey(id), response);
  }

  /** Retains a response of another box, unless the attempt is stored already. */
  retain(id: RequestId, response: BufferedResponse): void {
    if (this.find(id, response.attempt) === undefined) {
      this.retained.set(storeKey(id), response);
    }
  }

  /** Aborts all responses in progress, when the process stops. */
  abortAll(): void {
    for (const response of this.active.values()) {
      response.abortController.abort();
    }
  }

  /** Removes a response from those in progress and retains it if required. */
  finish(id: RequestId, response: BufferedResponse): void {
    const key = storeKey(id);
    if (this.active.get(key) === response) {
      this.active.delete(key);
    }
    if (response.isRetained) {
      this.retained.set(key, response);
    }
  }
}
