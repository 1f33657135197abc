/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Keeps copies of origins at control boxes, and asks these for them. */
import type {Link} from 'puffinturn-wire';
import {hash32} from 'shared';

import type {FoundOrigin, OriginLookup} from './Lookup';
import {askForOrigin} from './OriginCalls';
import {CONTROL_COPIES} from './StreamConstants';
import type {ServiceVersionList} from './StreamMessages';

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
  /** Spreads the edges over the control boxes. */
  private readonly rank: number;

  constructor(private readonly parts: ControlCopiesParts) {
    this.rank = hash32(parts.self.box);
  }

  /**
   * Control boxes in the order in which this edge prefers them, reachable ones first. The
   * first CONTROL_COPIES get its origins.
   */
  get preferred(): readonly string[] {
    const boxes = this.parts.controlBoxes();
    const first = boxes.slice(0, CONTROL_COPIES);
    const others = boxes.slice(CONTROL_COPIES);
    const start = this.rank % Math.max(1, first.length);
    return [...first.slice(start), ...first.slice(0, start), ...others];
  }

  /** Asks all control boxes; calls `onFound` for an origin, `onVersions` for each list. */
  async ask(
    query: OriginLookup,
    onFound: (found: FoundOrigin) => void,
    onVersions: (versions: readonly string[]) => void,
  ): Promise<ControlReplies> {
    const boxes = this.parts.controlBoxes();
    const replies = await askForOrigin(
      this.parts.link,
      boxes,
      query,
      onFound,
      ({list}) => list && onVersions(list.versions),
    );
    const lists = replies.flatMap(({list}) => list ?? []);
    const controlBoxes = Math.max(
      boxes.length,
      ...lists.map((list) => list.controlBoxes),
    );
    // Any so many of all control boxes include one with a copy.
    const needed = Math.max(1, controlBoxes - CONTROL_COPIES + 1);
    return {
      asked: boxes.length,
      isSure: replies.filter(({isComplete}) => isComplete).length >= needed,
      replies: replies.length,
      versions: longest(lists),
    };
  }
}

/** The longest list: all are current, and versions are removed late. */
function longest(
  lists: readonly ServiceVersionList[],
): readonly string[] | undefined {
  return lists
    .map(({versions}) => versions)
    .sort((a, b) => b.length - a.length)[0];
}
