/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Answers of this box by request: those being made and those kept. */
import {LRUCache} from 'lru-cache';
import type {Clock} from 'shared';

import type {Answer} from './Answer';
import {KEPT_ANSWERS_BYTES} from './GatewayConstants';

/** Identifies a request across boxes. */
export interface RequestId {
  readonly team: string;
  readonly key: string;
}

function idOf({key, team}: RequestId): string {
  return `${team}\n${key}`;
}

/** See the module comment. */
export class AnswerStore {
  private readonly running = new Map<string, Answer>();
  private readonly kept: LRUCache<string, Answer>;

  constructor(clock: Clock, keepMs: number) {
    this.kept = new LRUCache({
      maxSize: KEPT_ANSWERS_BYTES,
      perf: clock,
      sizeCalculation: ({bytes}) => bytes + 1,
      ttl: keepMs,
      ttlResolution: 0,
    });
  }

  /** Requests whose answer is being made. */
  get size(): number {
    return this.running.size;
  }

  /** The answer to an attempt, if it is or was made here. */
  find(id: RequestId, attempt: number): Answer | undefined {
    const name = idOf(id);
    const answer = this.running.get(name) ?? this.kept.get(name);
    return answer?.attempt === attempt ? answer : undefined;
  }

  /** Adds an answer that is about to be made. */
  add(id: RequestId, answer: Answer): void {
    this.running.set(idOf(id), answer);
  }

  /** Keeps an answer that was made elsewhere, unless one is here. */
  keep(id: RequestId, answer: Answer): void {
    if (this.find(id, answer.attempt) === undefined) {
      this.kept.set(idOf(id), answer);
    }
  }

  /** Gives up every answer that is being made, as when the process ends. */
  abandonAll(): void {
    for (const answer of this.running.values()) {
      answer.abandoned.abort();
    }
  }

  /** Moves an answer that has ended to the kept ones. */
  finish(id: RequestId, answer: Answer): void {
    const name = idOf(id);
    if (this.running.get(name) === answer) {
      this.running.delete(name);
    }
    if (answer.keeps) {
      this.kept.set(name, answer);
    }
  }
}
