/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Sends requests to the leader of the control plane through any control box, which
 * forwards them to the leader.
 */
import type {Link} from 'puffinturn-wire';

/** Maximum number of control boxes tried for one request. */
const MAX_ATTEMPTS = 3;

/** A request to the control plane. */
export interface ControlRequest {
  readonly service: string;
  readonly request: unknown;
  /** Timeout for the reply of one control box, ms. */
  readonly timeoutMs: number;
  /** Called for each control box that fails to reply. */
  readonly onUnanswered?: () => void;
}

/** A reply without grants means that the request can be repeated. */
interface GrantsReply<Grants> {
  readonly grants: Grants | null | undefined;
}

/** Returns the first reply that `isAccepted` accepts; undefined if there is none. */
export async function callControlBoxes<Reply>(
  link: Link,
  controlBoxes: readonly string[],
  {timeoutMs, onUnanswered, request, service}: ControlRequest,
  isAccepted: (reply: Reply) => boolean,
): Promise<Reply | undefined> {
  for (const box of controlBoxes.slice(0, MAX_ATTEMPTS)) {
    const result = await link.call(box, service, request, timeoutMs);
    if (result.isErr()) {
      onUnanswered?.();
      continue;
    }
    const reply = result.value as Reply;
    if (isAccepted(reply)) {
      return reply;
    }
  }
  return undefined;
}

/** Returns the grants of the first reply that has any; undefined if there is none. */
export async function requestGrants<Grants>(
  link: Link,
  controlBoxes: readonly string[],
  request: ControlRequest,
): Promise<Grants | undefined> {
  const reply = await callControlBoxes<GrantsReply<Grants>>(
    link,
    controlBoxes,
    request,
    ({grants}) => grants !== undefined && grants !== null,
  );
  return reply?.grants ?? undefined;
}
