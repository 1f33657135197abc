/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Remembers which version of a service began each stream, at the box that serves it and
 * at two others. A caller resumes its stream at any box, most often because the one that
 * served it has died.
 */
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';

import type {StoredOrigin} from './OriginTable';
import {OriginTable} from './OriginTable';
import type {ReplicaSelectorParts} from './ReplicaSelector';
import {ReplicaSelector} from './ReplicaSelector';
import {
  FIND_TIMEOUT_MS,
  MAX_ORIGINS_PER_MESSAGE,
  REMOTE_COPIES,
  STORE_TIMEOUT_MS,
} from './StreamConstants';
import type {FindReply, FindRequest, StoreRequest} from './StreamMessages';
import {STREAM_SERVICE} from './StreamMessages';
import type {KeyedOrigin, StreamOrigin} from './StreamOrigin';

/** Dependencies of StreamOrigins. */
export interface StreamOriginsParts extends ReplicaSelectorParts {
  readonly clock: Clock;
  readonly link: Link;
  /** How long origins are kept, ms; longer than a stream is served and resumed. */
  readonly lifetimeMs: () => number;
}

/** Results of a lookup. */
export const LOOKUP = {
  /** Enough boxes replied to be sure that the stream was not replicated. */
  absent: 'absent',
  found: 'found',
  /** Some boxes replied, but none has the origin. */
  unknown: 'unknown',
  /** No other box replied. */
  unreachable: 'unreachable',
} as const;

/** The result of the lookup of an origin. */
export type Lookup =
  | {
      readonly kind: typeof LOOKUP.found;
      readonly origin: StreamOrigin;
      readonly ageMs: number;
      /** Box that had the origin. */
      readonly source: string;
    }
  | {
      readonly kind: Exclude<
        (typeof LOOKUP)[keyof typeof LOOKUP],
        typeof LOOKUP.found
      >;
    };

/** Replies of the candidates of one region, none of which had the origin. */
interface RegionReplies {
  readonly asked: number;
  readonly replies: number;
  /** Whether a replica of the origin would have been among them. */
  readonly isSure: boolean;
}

/** Stores, replicates and finds the origins of streams. */
export class StreamOrigins implements Disposable {
  /** Origins of streams that this box serves. */
  private readonly own: OriginTable;
  /** Origins of streams that other boxes serve. */
  private readonly replicated: OriginTable;
  private readonly selector: ReplicaSelector;
  /** Origins to be sent, by box. */
  private readonly outboxes = new Map<string, KeyedOrigin[]>();
  private readonly startedAt: number;
  private readonly registrations: readonly Disposable[];

  constructor(private readonly parts: StreamOriginsParts) {
    const {clock, lifetimeMs, link} = parts;
    this.startedAt = clock.now();
    this.own = new OriginTable(clock, lifetimeMs);
    this.replicated = new OriginTable(clock, lifetimeMs);
    this.selector = new ReplicaSelector(parts);
    this.registrations = [
      link.register(STREAM_SERVICE.store, async (body) => {
        for (const origin of (body as StoreRequest).origins) {
          this.replicated.store(origin);
        }
      }),
      link.register(STREAM_SERVICE.find, async (body) =>
        this.reply((body as FindRequest).key),
      ),
    ];
  }

  /** Number of origins held for other boxes. */
  get replicaCount(): number {
    return this.replicated.size;
  }

  /** Remembers the origin of a stream at this box only. */
  remember(origin: KeyedOrigin): void {
    this.own.store(origin);
  }

  /** Remembers the origin of a stream at this box, and sends it to others. */
  replicate(origin: KeyedOrigin): void {
    this.remember(origin);
    this.send(origin);
  }

  /** Sends the origins of all streams of a service that this box serves to others. */
  replicateService(service: string): number {
    const origins = this.own.ofService(service);
    for (const origin of origins) {
      this.send(origin);
    }
    return origins.length;
  }

  /** Looks an origin up at this box, then at the boxes that may hold it. */
  async find(key: string): Promise<Lookup> {
    const local = this.findHere(key);
    return local === undefined
      ? this.findElsewhere(key)
      : this.found(local, this.parts.self.box);
  }

  [Symbol.dispose](): void {
    for (const registration of this.registrations) {
      registration[Symbol.dispose]();
    }
  }

  /** Asks the candidates of all regions at once; the first origin decides. */
  private findElsewhere(key: string): Promise<Lookup> {
    const regions = this.selector.selectByRegion(key);
    return new Promise((resolve) => {
      const asked = regions.map((boxes) =>
        this.askRegion(key, boxes, (lookup) => resolve(lookup)),
      );
      void Promise.all(asked).then((replies) =>
        resolve({kind: combineReplies(replies)}),
      );
    });
  }

  /** Asks the candidates of one region; calls `onFound` if one has the origin. */
  private async askRegion(
    key: string,
    boxes: readonly string[],
    onFound: (lookup: Lookup) => void,
  ): Promise<RegionReplies> {
    const others = boxes.filter((box) => box !== this.parts.self.box);
    const isCandidate = others.length < boxes.length;
    let completeReplies = isCandidate && this.isComplete ? 1 : 0;
    let replies = 0;
    const calls = others.map(async (box) => {
      const reply = await this.askBox(box, key);
      replies += reply === undefined ? 0 : 1;
      completeReplies += reply?.isComplete === true ? 1 : 0;
      const origin = reply?.origin ?? undefined;
      if (origin !== undefined) {
        const ageMs = reply?.ageMs ?? 0;
        onFound({ageMs, kind: LOOKUP.found, origin, source: box});
      }
    });
    await Promise.all(calls);
    return {
      asked: others.length,
      // All candidates but one: the box that serves the stream may be one of them.
      isSure: completeReplies >= Math.max(1, boxes.length - 1),
      replies,
    };
  }

  private async askBox(
    box: string,
    key: string,
  ): Promise<FindReply | undefined> {
    const request: FindRequest = {key};
    const reply = await this.parts.link.call(
      box,
      STREAM_SERVICE.find,
      request,
      FIND_TIMEOUT_MS,
    );
    return reply.isOk() ? (reply.value as FindReply) : undefined;
  }

  private reply(key: string): FindReply {
    const entry = this.findHere(key);
    return {
      ageMs: entry === undefined ? undefined : this.ageMs(entry),
      isComplete: this.isComplete,
      origin: entry?.origin,
    };
  }

  private findHere(key: string): StoredOrigin | undefined {
    return this.own.find(key) ?? this.replicated.find(key);
  }

  private found(entry: StoredOrigin, source: string): Lookup {
    const {origin} = entry;
    return {ageMs: this.ageMs(entry), kind: LOOKUP.found, origin, source};
  }

  private ageMs({storedAt}: StoredOrigin): number {
    return Math.round(this.parts.clock.now() - storedAt);
  }

  /** Whether this box has run for as long as origins are kept. */
  private get isComplete(): boolean {
    const {clock, lifetimeMs} = this.parts;
    return clock.now() - this.startedAt >= lifetimeMs();
  }

  private send(origin: KeyedOrigin): void {
    for (const box of this.replicasOf(origin.key).slice(0, REMOTE_COPIES)) {
      this.enqueue(box, origin);
    }
  }

  /** Other boxes that may hold an origin, in order of preference. */
  private replicasOf(key: string): readonly string[] {
    const {box: self} = this.parts.self;
    return this.selector.select(key).filter((box) => box !== self);
  }

  /** Origins of the same iteration of the event loop share a message. */
  private enqueue(box: string, origin: KeyedOrigin): void {
    const outbox = this.outboxes.get(box);
    if (outbox !== undefined) {
      outbox.push(origin);
      return;
    }
    this.outboxes.set(box, [origin]);
    setImmediate(() => this.flush(box));
  }

  private flush(box: string): void {
    const origins = this.outboxes.get(box) ?? [];
    this.outboxes.delete(box);
    for (let at = 0; at < origins.length; at += MAX_ORIGINS_PER_MESSAGE) {
      void this.store(box, origins.slice(at, at + MAX_ORIGINS_PER_MESSAGE));
    }
  }

  /** Stores origins at a box; if it can't be reached, at the remaining candidate. */
  private async store(
    box: string,
    origins: readonly KeyedOrigin[],
  ): Promise<void> {
    const stored = await this.callStore(box, origins);
    if (stored) {
      return;
    }
    for (const origin of origins) {
      const spare = this.replicasOf(origin.key).at(REMOTE_COPIES);
      if (spare !== undefined && spare !== box) {
        await this.callStore(spare, [origin]);
      }
    }
  }

  private async callStore(
    box: string,
    origins: readonly KeyedOrigin[],
  ): Promise<boolean> {
    const request: StoreRequest = {origins};
    const reply = await this.parts.link.call(
      box,
      STREAM_SERVICE.store,
      request,
      STORE_TIMEOUT_MS,
    );
    return reply.isOk();
  }
}

function combineReplies(
  regions: readonly RegionReplies[],
): Exclude<Lookup['kind'], typeof LOOKUP.found> {
  if (regions.every(({isSure}) => isSure)) {
    return LOOKUP.absent;
  }
  const asked = regions.reduce((sum, region) => sum + region.asked, 0);
  const replies = regions.reduce((sum, region) => sum + region.replies, 0);
  return asked > 0 && replies === 0 ? LOOKUP.unreachable : LOOKUP.unknown;
}
