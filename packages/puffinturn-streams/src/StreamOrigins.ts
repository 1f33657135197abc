/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Remembers which version of a service began each stream, at the edge that serves it, at two
 * others and at control boxes. A caller resumes its stream at any edge, most often because the
 * one that served it has died.
 */
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';

import type {ControlReplies} from './ControlCopies';
import {ControlCopies} from './ControlCopies';
import type {Lookup, OriginLookup, OriginQuery} from './Lookup';
import {LOOKUP} from './Lookup';
import {askForOrigin, serveOriginCalls} from './OriginCalls';
import type {StoredOrigin} from './OriginTable';
import {OriginTable} from './OriginTable';
import type {ReplicaSelectorParts} from './ReplicaSelector';
import {ReplicaSelector} from './ReplicaSelector';
import {SharedLookups} from './SharedLookups';
import {
  CONTROL_COPIES,
  FIND_TIMEOUT_MS,
  MAX_ORIGINS,
  MAX_ORIGINS_PER_MESSAGE,
  REMOTE_COPIES,
  SECOND_FIND_TIMEOUT_MS,
  STORE_TIMEOUT_MS,
} from './StreamConstants';
import type {FindReply, FindRequest, StoreRequest} from './StreamMessages';
import {STREAM_SERVICE} from './StreamMessages';
import type {KeyedOrigin} from './StreamOrigin';

/** Dependencies of StreamOrigins. */
export interface StreamOriginsParts extends ReplicaSelectorParts {
  readonly clock: Clock;
  /** Known control boxes; reachable ones come first. */
  readonly controlBoxes: () => readonly string[];
  readonly link: Link;
  /** Revision of the registered versions that this box knows; -Infinity without any. */
  readonly versionsRevision: () => number;
  /** Whether this box may take its list of versions for complete. */
  readonly hasVersionLease: () => boolean;
  /** Time for which it could without a gap, ms; others may not reach a box in a gap. */
  readonly versionLeaseMs: () => number;
  /** How long origins are kept, ms; longer than a stream is served and resumed. */
  readonly lifetimeMs: () => number;
}

/** Replies of the candidates of one region, none of which had the origin. */
interface RegionReplies {
  readonly asked: number;
  readonly replies: number;
  /** Whether a replica of the origin would have been among them. */
  readonly isSure: boolean;
  /** The same, if boxes that may have missed copies don't count. */
  readonly hasNoGap: boolean;
  /** The newest revision of the registered versions in a reply. */
  readonly versionsRevision: number;
  /** Number of replies with a list of versions. */
  readonly lists: number;
}

/** Edges that are asked at once, by region. */
type BoxGroups = readonly (readonly string[])[];

/** What boxes that were asked once have replied. */
interface LookupRound {
  readonly lookup: Lookup;
  /** Whether boxes that were too late can't have what was looked for. */
  readonly isDecided: boolean;
}

/** Stores, replicates and finds the origins of streams. */
export class StreamOrigins implements Disposable {
  /** Origins of streams that this box serves. */
  private readonly own: OriginTable;
  /** Origins of streams that other boxes serve. */
  private readonly replicated: OriginTable;
  private readonly selector: ReplicaSelector;
  private readonly controlCopies: ControlCopies;
  /** Lookups of lists of versions, for streams without a key. */
  private readonly listLookups: SharedLookups;
  /** Origins to be sent, by box. */
  private readonly outboxes = new Map<string, KeyedOrigin[]>();
  private readonly registration: Disposable;

  constructor(private readonly parts: StreamOriginsParts) {
    const {clock, lifetimeMs, link} = parts;
    this.own = new OriginTable(clock, lifetimeMs, MAX_ORIGINS);
    this.replicated = new OriginTable(clock, lifetimeMs, MAX_ORIGINS);
    this.selector = new ReplicaSelector(parts);
    this.controlCopies = new ControlCopies(parts);
    this.listLookups = new SharedLookups(clock);
    this.registration = serveOriginCalls(link, {
      reply: (request) => this.reply(request),
      store: (origin) => this.replicated.store(origin),
    });
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

  /**
   * Looks an origin up at this box, then at the boxes that may hold it. Without a key, looks up
   * which lists of versions other edges have, once for all that ask at a time.
   */
  find(query: OriginQuery): Promise<Lookup> {
    const {key, neededListShare = 1, service} = query;
    if (key === undefined) {
      const subject = `${neededListShare} ${service}`;
      return this.listLookups.find(subject, () => this.findLists(query));
    }
    return this.findOrigin(query, key);
  }

  [Symbol.dispose](): void {
    this.registration[Symbol.dispose]();
  }

  private async findOrigin(query: OriginQuery, key: string): Promise<Lookup> {
    const local = this.findHere(key);
    if (local !== undefined) {
      return this.found(local, this.parts.self.box);
    }
    const regions = this.selector.selectByRegion(key);
    return this.findInRounds(query, regions, regions);
  }

  /** Any edge may have begun the stream; those of the own region are asked first. */
  private findLists(query: OriginQuery): Promise<Lookup> {
    const {all, ownRegion} = this.selector;
    return this.findInRounds(query, [ownRegion], [all]);
  }

  /** Asks some boxes; if these don't decide, asks others or the same with more time. */
  private async findInRounds(
    query: OriginQuery,
    first: BoxGroups,
    second: BoxGroups,
  ): Promise<Lookup> {
    const timeoutMs = FIND_TIMEOUT_MS;
    const round = await this.findElsewhere({...query, timeoutMs}, first);
    if (round.isDecided) {
      return round.lookup;
    }
    const longerMs = SECOND_FIND_TIMEOUT_MS;
    const repeated = await this.findElsewhere(
      {...query, timeoutMs: longerMs},
      second,
    );
    return repeated.lookup;
  }

  /**
   * Asks groups of edges and the control boxes at once. The first origin decides, or the first
   * control box that follows the quorum and knows a single version.
   */
  private findElsewhere(
    query: OriginLookup,
    groups: BoxGroups,
  ): Promise<LookupRound> {
    const {key} = query;
    const edges = this.selector.count;
    return new Promise((resolve) => {
      const decide = (lookup: Lookup): void =>
        resolve({isDecided: true, lookup});
      const asked = groups.map((boxes) => this.askRegion(query, boxes, decide));
      const controlAsked = this.controlCopies.ask(query, decide, (versions) => {
        if (versions.length === 1) {
          const kind = key === undefined ? LOOKUP.unknown : LOOKUP.absent;
          decide({kind, versions});
        }
      });
      void Promise.all(asked).then((replies) => {
        if (key === undefined && listShare(replies, edges) >= 1) {
          const versionsRevision = newestRevision(replies);
          decide({kind: LOOKUP.unknown, listShare: 1, versionsRevision});
        }
      });
      void Promise.all([controlAsked, ...asked]).then(([control, ...replies]) =>
        resolve(combineReplies(query, control, replies, edges)),
      );
    });
  }

  /**
   * Asks the candidates of one region; calls `onFound` if one has the origin, or, for a stream
   * without a key, a list of versions that is a lease.
   */
  private async askRegion(
    query: OriginLookup,
    boxes: readonly string[],
    onFound: (lookup: Lookup) => void,
  ): Promise<RegionReplies> {
    const {lifetimeMs, link, self, versionLeaseMs} = this.parts;
    const neededMs = Math.min(query.unsureMs, lifetimeMs());
    const others = boxes.filter((box) => box !== self.box);
    const isCandidate = others.length < boxes.length;
    const replies = await askForOrigin(
      link,
      others,
      query,
      onFound,
      ({hasVersionLease, versionsRevision}) => {
        if (query.key === undefined && hasVersionLease === true) {
          const kind = LOOKUP.unknown;
          onFound({hasLease: true, kind, versionsRevision});
        }
      },
    );
    const complete = replies.filter((reply) => isCompleteFor(reply, neededMs));
    const isCompleteHere = isCandidate && this.completeMs >= neededMs;
    const leases = [
      ...complete.map((reply) => reply.versionLeaseMs ?? Infinity),
      ...(isCompleteHere ? [versionLeaseMs()] : []),
    ];
    // All candidates but one: the box that serves the stream may be one of them.
    const needed = Math.max(1, boxes.length - 1);
    return {
      asked: others.length,
      hasNoGap: leases.filter((ms) => ms >= lifetimeMs()).length >= needed,
      isSure: leases.length >= needed,
      lists: replies.filter(hasList).length,
      replies: replies.length,
      versionsRevision: Math.max(
        ...replies.map((reply) => reply.versionsRevision ?? -Infinity),
      ),
    };
  }

  private reply({key}: FindRequest): FindReply {
    const {hasVersionLease, lifetimeMs, versionLeaseMs, versionsRevision} =
      this.parts;
    const entry = key === undefined ? undefined : this.findHere(key);
    const {completeMs} = this;
    return {
      ageMs: entry === undefined ? undefined : this.ageMs(entry),
      completeMs,
      hasVersionLease: hasVersionLease(),
      isComplete: completeMs >= lifetimeMs(),
      origin: entry?.origin,
      versionLeaseMs: versionLeaseMs(),
      versionsRevision: versionsRevision(),
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

  /** Time for which this box has all origins that it was told, ms. */
  private get completeMs(): number {
    return Math.min(this.own.completeMs, this.replicated.completeMs);
  }

  private send(origin: KeyedOrigin): void {
    const replicas = this.replicasOf(origin.key).slice(0, REMOTE_COPIES);
    const controlBoxes = this.controlCopies.preferred.slice(0, CONTROL_COPIES);
    for (const box of [...replicas, ...controlBoxes]) {
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

  /** Stores origins at a box; if it can't be reached, at the next one of its kind. */
  private async store(
    box: string,
    origins: readonly KeyedOrigin[],
  ): Promise<void> {
    const stored = await this.callStore(box, origins);
    if (stored) {
      return;
    }
    const {preferred} = this.controlCopies;
    if (preferred.includes(box)) {
      const spare = preferred[CONTROL_COPIES];
      if (spare !== undefined && spare !== box) {
        await this.callStore(spare, origins);
      }
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

function isCompleteFor(
  {completeMs, isComplete}: FindReply,
  neededMs: number,
): boolean {
  return isComplete || (completeMs ?? 0) >= neededMs;
}

/** Whether an edge knows which versions are registered. */
function hasList({versionsRevision = -Infinity}: FindReply): boolean {
  return versionsRevision > -Infinity;
}

function newestRevision(regions: readonly RegionReplies[]): number {
  return Math.max(...regions.map(({versionsRevision}) => versionsRevision));
}

/** Share of all edges, the asking one included, that replied with a list of versions. */
function listShare(regions: readonly RegionReplies[], edges: number): number {
  const lists = regions.reduce((sum, region) => sum + region.lists, 0);
  return (1 + lists) / edges;
}

/** A stream without a key is never absent, as nobody can miss it. */
function combineReplies(
  {key, neededListShare = 1}: OriginQuery,
  control: ControlReplies,
  regions: readonly RegionReplies[],
  edges: number,
): LookupRound {
  const all = [control, ...regions];
  const asked = all.reduce((sum, group) => sum + group.asked, 0);
  const replies = all.reduce((sum, group) => sum + group.replies, 0);
  const share = listShare(regions, edges);
  const isListDecided =
    share >= neededListShare || control.versions !== undefined;
  const isSure =
    control.isSure ||
    (regions.length > 0 && regions.every((region) => region.isSure));
  const isUnreachable = asked > 0 && replies === 0;
  const missed = isUnreachable ? LOOKUP.unreachable : LOOKUP.unknown;
  const kind = isSure && key !== undefined ? LOOKUP.absent : missed;
  return {
    // A box that has just started may be too late itself for all replies.
    isDecided:
      kind !== LOOKUP.unreachable &&
      (key === undefined ? isListDecided : isSure || replies === asked),
    lookup: {
      hasNoGap:
        kind === LOOKUP.absent &&
        (control.isSure || regions.every((region) => region.hasNoGap)),
      kind,
      listShare: key === undefined ? share : undefined,
      versions: control.versions,
      versionsRevision: newestRevision(regions),
    },
  };
}
