/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Keeps copies of origins at control boxes, and asks these for them. */
import type {Link} from 'puffinturn-wire';
import {hash32} from 'shared';

import type {FoundOrigin, OriginQuery} from './Lookup';
import {LOOKUP} from './Lookup';
import {CONTROL_COPIES, FIND_TIMEOUT_MS} from './StreamConstants';
import type {FindReply, FindRequest} from './StreamMessages';
import {STREAM_SERVICE} from './StreamMessages';

/** Dependencies of ControlCopies. */
export interface ControlCopiesParts {
  readonly link: Link;
  readonly self: {readonly box: string};
  /** Known control boxes; reachable ones come first. */
  readonly controlBoxes: () => readonly string[];
}

/** Replies of control boxes, none of which had the origin. */
export interface ControlReplies {
  readonly asked: number;
  readonly replies: number;
  /** Whether a copy of the origin would have been among them. */
  readonly isSure: boolean;
  /** The versions of the service; undefined if no box that follows the quorum replied. */
  readonly versions: readonly string[] | undefined;
}

/** Places copies at control boxes, and looks them up. */
export class ControlCopies {
  constructor(private readonly parts: ControlCopiesParts) {}

  /**
   * Control boxes in the order in which this edge prefers them, reachable ones first. The
   * first CONTROL_COPIES get its origins.
   */
  get preferred(): readonly string[] {
    const {controlBoxes, self} = this.parts;
    const boxes = controlBoxes();
    const reachable = boxes.slice(0, CONTROL_COPIES);
    const others = boxes.slice(CONTROL_COPIES);
    const start = hash32(self.box) % Math.max(1, reachable.length);
    return [...reachable.slice(start), ...reachable.slice(0, start), ...others];
  }

  /** Asks all control boxes; calls `onFound` for an origin, `onVersions` for each list. */
  async ask(
    query: OriginQuery,
    onFound: (found: FoundOrigin) => void,
    onVersions: (versions: readonly string[]) => void,
  ): Promise<ControlReplies> {
    const boxes = this.parts.controlBoxes();
    let controlBoxes = boxes.length;
    let completeReplies = 0;
    let replies = 0;
    let versions: readonly string[] | undefined;
    const calls = boxes.map(async (box) => {
      const reply = await this.askBox(box, query);
      if (reply === undefined) {
        return;
      }
      replies += 1;
      completeReplies += reply.isComplete ? 1 : 0;
      const origin = reply.origin ?? undefined;
      if (origin !== undefined) {
        const ageMs = reply.ageMs ?? 0;
        onFound({ageMs, kind: LOOKUP.found, origin, source: box});
      }
      const list = reply.list ?? undefined;
      if (list !== undefined) {
        controlBoxes = Math.max(controlBoxes, list.controlBoxes);
        versions = longer(versions, list.versions);
        onVersions(list.versions);
      }
    });
    await Promise.all(calls);
    // Any so many of all control boxes include one with a copy.
    const needed = Math.max(1, controlBoxes - CONTROL_COPIES + 1);
    return {
      asked: boxes.length,
      isSure: completeReplies >= needed,
      replies,
      versions,
    };
  }

  private async askBox(
    box: string,
    {key, service}: OriginQuery,
  ): Promise<FindReply | undefined> {
    const request: FindRequest = {key, service};
    const reply = await this.parts.link.call(
      box,
      STREAM_SERVICE.find,
      request,
      FIND_TIMEOUT_MS,
    );
    return reply.isOk() ? (reply.value as FindReply) : undefined;
  }
}

/** The longer list: both are current, and versions are removed late. */
function longer(
  a: readonly string[] | undefined,
  b: readonly string[],
): readonly string[] {
  return a !== undefined && a.length > b.length ? a : b;
}
