/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The platform's list of members, which shows changes late. */
import type {IncomingMessage, ServerResponse} from 'node:http';

import {sendJson, StandInServer} from './StandInServer';

/** A member as the list shows it. */
export interface ListedMember {
  readonly name: string;
  readonly state: 'gone' | 'leaving' | 'live';
}

/** See the module comment. */
export class PlatformStandIn extends StandInServer {
  private shown: readonly ListedMember[] = [];

  constructor(private readonly lagMs = 2_000) {
    super();
  }

  /** Changes the list; callers see it after the lag. */
  set(members: readonly ListedMember[]): void {
    setTimeout(() => (this.shown = members), this.lagMs).unref();
  }

  protected override async answer(
    request: IncomingMessage,
    body: string,
    response: ServerResponse,
  ): Promise<void> {
    if (request.method === 'PUT') {
      this.set((JSON.parse(body) as {members: ListedMember[]}).members);
    }
    sendJson(response, 200, {members: this.shown});
  }
}
