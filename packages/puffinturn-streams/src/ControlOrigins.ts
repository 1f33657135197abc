/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Origins of streams at a control box. They outlive the death of all edges, and tell together
 * with the replicated list of versions whether a stream was ever recorded.
 */
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';

import {serveOriginCalls} from './OriginCalls';
import {OriginTable} from './OriginTable';
import {MAX_CONTROL_ORIGINS} from './StreamConstants';
import type {
  FindReply,
  FindRequest,
  ServiceVersionList,
} from './StreamMessages';

/** What a control box that follows the quorum knows of a service. */
export interface KnownVersions extends ServiceVersionList {
  /** Whether this box has been current since the service had only the oldest of these. */
  readonly hasSeenSecond: boolean;
}

/** Dependencies of ControlOrigins. */
export interface ControlOriginsParts {
  readonly clock: Clock;
  readonly link: Link;
  /** How long origins are kept, ms. */
  readonly lifetimeMs: () => number;
  /** The versions of a service; undefined if this box may lack what a quorum has. */
  readonly versionsOf: (service: string) => KnownVersions | undefined;
}

/** Holds the origins that edges send to this control box. */
export class ControlOrigins implements Disposable {
  private readonly table: OriginTable;
  private readonly registration: Disposable;

  constructor(private readonly parts: ControlOriginsParts) {
    const {clock, lifetimeMs, link} = parts;
    this.table = new OriginTable(clock, lifetimeMs, MAX_CONTROL_ORIGINS);
    this.registration = serveOriginCalls(link, {
      reply: (request) => this.reply(request),
      store: (origin) => this.table.store(origin),
    });
  }

  /** Number of origins held. */
  get size(): number {
    return this.table.size;
  }

  /** Origins may have been missed until now, as this box was out of contact. */
  markIncomplete(): void {
    this.table.markIncomplete();
  }

  [Symbol.dispose](): void {
    this.registration[Symbol.dispose]();
  }

  private reply({key, service}: FindRequest): FindReply {
    const {clock, lifetimeMs, versionsOf} = this.parts;
    const entry = key === undefined ? undefined : this.table.find(key);
    const known = service === undefined ? undefined : versionsOf(service);
    return {
      ageMs: entry && Math.round(clock.now() - entry.storedAt),
      isComplete:
        this.table.completeMs >= lifetimeMs() ||
        (known?.hasSeenSecond === true && !this.table.hasDropped),
      list: known && {
        controlBoxes: known.controlBoxes,
        versions: known.versions,
      },
      origin: entry?.origin,
    };
  }
}
