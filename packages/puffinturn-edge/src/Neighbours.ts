/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Edges look after the next ones in a ring over all edges, region by region and
 * hall by hall, so that few greetings cross between regions, and a region that has
 * lost all it knew is still reached. One that was restarted while the core can't be
 * reached knows nothing to serve from; its neighbours notice and hand it the
 * configuration, the upstreams and the list of boxes. Costs two short calls a turn,
 * whatever the fleet's size.
 */
import type {BoxRecord, GreetReply, HandOver, Regions} from 'puffinturn-fleet';
import {FLEET_SERVICE} from 'puffinturn-fleet';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';
import {DisposableList, TaskGroup} from 'shared';

/**
 * How often the neighbours are greeted while the core can't be reached, ms: a
 * small part of the time that a restart takes.
 */
const GREET_EVERY_MS = 500;

/** The same in all calm, ms; a restarted edge then has all from the core. */
const GREET_CALM_MS = 4_000;

/** How often to look which of both holds, ms. */
const LOOK_MS = 1_000;

/** Longest time for the answer to a greeting, ms. */
const GREET_MS = 150;

/** Longest time for a hand-over, ms; it can be some hundred kilobytes. */
const HAND_OVER_MS = 1_000;

/** Edges that each one looks after; two, so that one may be down as well. */
const NEIGHBOURS = 2;

/** What Neighbours are made of. */
export interface NeighboursParts {
  readonly self: BoxRecord;
  readonly regions: Regions;
  readonly clock: Clock;
  readonly link: Link;
  /** The other edges. */
  readonly edges: () => readonly BoxRecord[];
  /** Whether the core can be reached. */
  readonly inTouch: () => boolean;
  /** Whether this edge has nothing to serve from and can't reach the core. */
  readonly needsState: () => boolean;
  /** What to hand over; undefined while there is nothing. */
  readonly state: () => HandOver | undefined;
  readonly take: (state: HandOver, source: string) => void;
}

/** See the module comment. */
export class Neighbours implements AsyncDisposable {
  private readonly tasks = new TaskGroup();
  private readonly handlers = new DisposableList();

  constructor(private readonly parts: NeighboursParts) {
    const {link, needsState, take} = parts;
    this.handlers.add(
      link.register(FLEET_SERVICE.greet, async (): Promise<GreetReply> => ({
        needsState: needsState(),
      })),
    );
    this.handlers.add(
      link.register(FLEET_SERVICE.handOver, async (body, from) => {
        if (needsState()) {
          take(body as HandOver, from);
        }
        return null;
      }),
    );
    this.tasks.start((signal) => this.greet(signal));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.handlers[Symbol.dispose]();
    await this.tasks[Symbol.asyncDispose]();
  }

  private async greet(signal: AbortSignal): Promise<void> {
    const {clock, inTouch, needsState} = this.parts;
    let greetedAt = clock.now();
    while (!signal.aborted) {
      await clock.sleep(inTouch() ? LOOK_MS : GREET_EVERY_MS, signal);
      const calm = inTouch() && clock.now() - greetedAt < GREET_CALM_MS;
      if (signal.aborted || calm || needsState()) {
        continue;
      }
      greetedAt = clock.now();
      await Promise.all(this.next().map((box) => this.lookAfter(box)));
    }
  }

  private async lookAfter(box: string): Promise<void> {
    const {link, state} = this.parts;
    const answer = await link.call(box, FLEET_SERVICE.greet, null, GREET_MS);
    const found = state();
    if (answer.isErr() || found === undefined) {
      return;
    }
    if ((answer.value as GreetReply).needsState) {
      await link.call(box, FLEET_SERVICE.handOver, found, HAND_OVER_MS);
    }
  }

  /** The edges that follow this one in the ring. */
  private next(): readonly string[] {
    const {edges, regions, self} = this.parts;
    const boxes = new Map(
      edges().map((edge) => [placeOf(edge, regions), edge.box]),
    );
    const ring = [...boxes.keys()].sort();
    const own = placeOf(self, regions);
    const following = [
      ...ring.filter((place) => place > own),
      ...ring.filter((place) => place < own),
    ];
    return following
      .slice(0, NEIGHBOURS)
      .flatMap((place) => boxes.get(place) ?? []);
  }
}

/** Orders edges region by region and hall by hall. */
function placeOf({box, hall}: BoxRecord, regions: Regions): string {
  const region = regions.several ? `${regions.regionOf(hall)} ` : '';
  return `${region}${hall} ${box}`;
}
