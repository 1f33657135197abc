/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Polls the platform's list of boxes and upstreams. The list may be stale, so it
 * is only a hint: leaving upstreams get no new requests, and boxes listed as gone
 * are suspected sooner. A failed poll keeps the previous list.
 */
import {validateValue} from 'puffinturn-settings';
import type {Clock} from 'shared';
import {readJsonBody, TaskGroup} from 'shared';
import {request} from 'undici';
import {z} from 'zod';

const POLL_MS = 1_000;
/** Time for the head, and between two chunks of the body. */
const REQUEST_TIMEOUT_MS = 2_000;
const MAX_LIST_BYTES = 32 * 1024 * 1024;
const HTTP_OK = 200;

const ListSchema = z.object({
  members: z
    .array(
      z.object({name: z.string(), state: z.enum(['live', 'leaving', 'gone'])}),
    )
    .max(100_000),
});

/** Polls the list until it is disposed. */
export class PlatformListPoller implements AsyncDisposable {
  private goneNames: ReadonlySet<string> = new Set();
  private readonly tasks = new TaskGroup();

  constructor(
    private readonly url: string,
    private readonly clock: Clock,
    private readonly onLeaving: (names: ReadonlySet<string>) => void,
  ) {
    this.tasks.start((signal) => this.pollUntilAborted(signal));
  }

  /** Whether the latest list has a member in state `gone`. */
  isGone(name: string): boolean {
    return this.goneNames.has(name);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async pollUntilAborted(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.poll();
      await this.clock.sleep(POLL_MS, signal);
    }
  }

  /** Reads the list; undefined if there is no response or it has another status. */
  private async fetchList(): Promise<unknown> {
    const response = await request(this.url, {
      bodyTimeout: REQUEST_TIMEOUT_MS,
      headersTimeout: REQUEST_TIMEOUT_MS,
    }).catch(() => undefined);
    if (response === undefined) {
      return undefined;
    }
    const body = await readJsonBody(response.body, MAX_LIST_BYTES);
    return response.statusCode === HTTP_OK
      ? body.unwrapOr(undefined)
      : undefined;
  }

  private async poll(): Promise<void> {
    const body = await this.fetchList();
    const list = validateValue(ListSchema, body, this.url);
    if (list.isErr()) {
      return;
    }
    const namesInState = (state: string): ReadonlySet<string> =>
      new Set(
        list.value.members
          .filter((member) => member.state === state)
          .map(({name}) => name),
      );
    this.goneNames = namesInState('gone');
    this.onLeaving(new Set([...namesInState('leaving'), ...this.goneNames]));
  }
}
