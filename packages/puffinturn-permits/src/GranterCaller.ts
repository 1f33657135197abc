/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Calls the boxes that grant permits or slots; skips those that did not reply lately. */
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';

import {REQUEST_TIMEOUT_MS, UNRESPONSIVE_GRANTER_MS} from './PermitConstants';

/** Dependencies of GranterCaller. */
export interface GranterCallerParts {
  readonly clock: Clock;
  readonly link: Link;
}

/** Sends requests of one service to granters. */
export class GranterCaller {
  /** When an unresponsive granter may be called again, monotonic ms, by box. */
  private readonly skippedUntil = new Map<string, number>();

  constructor(
    private readonly service: string,
    private readonly parts: GranterCallerParts,
  ) {}

  /** Returns the reply of a granter; undefined if the call failed or is skipped. */
  async call(box: string, request: unknown): Promise<unknown> {
    const {clock, link} = this.parts;
    if (clock.now() < (this.skippedUntil.get(box) ?? -Infinity)) {
      return undefined;
    }
    const reply = await link.call(
      box,
      this.service,
      request,
      REQUEST_TIMEOUT_MS,
    );
    if (reply.isErr()) {
      this.skippedUntil.set(box, clock.now() + UNRESPONSIVE_GRANTER_MS);
      return undefined;
    }
    this.skippedUntil.delete(box);
    return reply.value;
  }
}
