/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Asks the leader through any control box: for tokens of budgets, for requests to a new
 * version, or to take a report. Each box passes the question on to the leader that it
 * knows.
 */
import type {Link} from 'puffinturn-wire';

/** Control boxes that one question is offered to before a pause. */
const CONTROLS_TRIED = 3;

/** What is asked, and how. */
export interface ControlQuestion {
  readonly service: string;
  readonly request: unknown;
  /** Longest time for the answer of one control box, ms. */
  readonly answerMs: number;
  /** Told of each control box that does not answer. */
  readonly onSilent?: () => void;
}

/** A reply without grants means that the question may be asked again. */
interface GrantReply<Grants> {
  readonly grants: Grants | null | undefined;
}

/** The first reply of a control box that settles a question; undefined for none. */
export async function askControls<Reply>(
  link: Link,
  controls: readonly string[],
  {answerMs, onSilent, request, service}: ControlQuestion,
  settles: (reply: Reply) => boolean,
): Promise<Reply | undefined> {
  for (const control of controls.slice(0, CONTROLS_TRIED)) {
    const answer = await link.call(control, service, request, answerMs);
    if (answer.isErr()) {
      onSilent?.();
      continue;
    }
    const reply = answer.value as Reply;
    if (settles(reply)) {
      return reply;
    }
  }
  return undefined;
}

/** The first grants that one of the control boxes brings; undefined for none. */
export async function askForGrants<Grants>(
  link: Link,
  controls: readonly string[],
  question: ControlQuestion,
): Promise<Grants | undefined> {
  const reply = await askControls<GrantReply<Grants>>(
    link,
    controls,
    question,
    ({grants}) => grants !== undefined && grants !== null,
  );
  return reply?.grants ?? undefined;
}
