/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** A protocol with short header names, for edges under test. */
import type {
  HeaderNames,
  PromptPart,
  TokenCounts,
} from '../../callers/CallerProtocol';
import {CallerProtocol} from '../../callers/CallerProtocol';

type HeaderLookup = (name: string) => string | undefined;

/** Reads prompt parts from `x-parts: id:tokens,id:tokens`. */
export class PlainProtocol extends CallerProtocol {
  override readonly headers: HeaderNames = {
    deadline: 'x-deadline',
    expectedUpstream: 'x-upstream',
    credential: 'x-key',
    lastEventId: 'last-event-id',
    resumedRequest: 'x-resumes',
    draining: 'x-leaving',
    rateLimit: 'x-limit',
    brittleness: 'x-brittle',
    notExecuted: 'x-not-run',
    prefixSource: 'x-copy-from',
    priority: 'x-priority',
    requestId: 'x-id',
    reserved: [],
    retryAfter: 'retry-after',
    seal: 'x-seal',
    team: 'x-team',
  };

  override parseTokenCounts(): TokenCounts | undefined {
    return undefined;
  }

  override parsePromptParts(header: HeaderLookup): readonly PromptPart[] {
    const text = header('x-parts');
    return (text?.split(',') ?? []).map((part) => {
      const [id = '', tokens = '0'] = part.split(':');
      return {id, tokens: Number(tokens)};
    });
  }

  override computePriority(team: number, route: number): number {
    return team + route;
  }
}
