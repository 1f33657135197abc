/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {IncomingMessage, ServerResponse} from 'node:http';

import {sendJson, StandInServer} from './StandInServer';

/** A member of the platform's list. */
export interface ListedMember {
  readonly name: string;
  readonly state: 'gone' | 'leaving' | 'live';
}

/** The member list of the platform; changes become visible after a delay. */
export class PlatformStandIn extends StandInServer {
  private visibleMembers: readonly ListedMember[] = [];

  constructor(private readonly delayMs = 2_000) {
    super();
  }

  /** Replaces the list; the change becomes visible after `delayMs`. */
  setMembers(members: readonly ListedMember[]): void {
    setTimeout(() => (this.visibleMembers = members), this.delayMs).unref();
  }

  protected override async handleRequest(
    request: IncomingMessage,
    body: string,
    response: ServerResponse,
  ): Promise<void> {
    if (request.method === 'PUT') {
      this.setMembers((JSON.parse(body) as {members: ListedMember[]}).members);
    }
    sendJson(response, 200, {members: this.visibleMembers});
  }
}
