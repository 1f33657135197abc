/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The platform's list of boxes and upstreams. It lags, so it is a hint: a
 * leaving upstream gets no new work, and a box that is gone is suspected
 * sooner. An absent list changes nothing.
 */
import {checkValue} from 'puffinturn-settings';
import type {Clock} from 'shared';
import {TaskGroup} from 'shared';
import {request} from 'undici';
import {z} from 'zod';

const POLL_MS = 1_000;
const REQUEST_TIMEOUT_MS = 2_000;

const ListSchema = z.object({
  members: z
    .array(
      z.object({name: z.string(), state: z.enum(['live', 'leaving', 'gone'])}),
    )
    .max(100_000),
});

/** Polls the list until disposed. */
export class PlatformList implements AsyncDisposable {
  private gone: ReadonlySet<string> = new Set();
  private readonly tasks = new TaskGroup();

  constructor(
    private readonly url: string,
    private readonly clock: Clock,
    private readonly onLeaving: (names: ReadonlySet<string>) => void,
  ) {
    this.tasks.start((signal) => this.run(signal));
  }

  /** Whether the list calls a member gone. */
  isGone(name: string): boolean {
    return this.gone.has(name);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.tasks[Symbol.asyncDispose]();
  }

  private async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.poll();
      await this.clock.sleep(POLL_MS, signal);
    }
  }

  private async poll(): Promise<void> {
    const body: unknown = await request(this.url, {
      bodyTimeout: REQUEST_TIMEOUT_MS,
      headersTimeout: REQUEST_TIMEOUT_MS,
    })
      .then((answer) => answer.body.json())
      .catch(() => undefined);
    const list = checkValue(ListSchema, body, this.url);
    if (list.isErr()) {
      return;
    }
    const named = (state: string): ReadonlySet<string> =>
      new Set(
        list.value.members
          .filter((member) => member.state === state)
          .map(({name}) => name),
      );
    this.gone = named('gone');
    this.onLeaving(new Set([...named('leaving'), ...this.gone]));
  }
}
