/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Opens tunnels to upstreams through other edges of the region. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {DecisionLog} from 'puffinturn-decisions';
import type {
  BoxRecord,
  Regions,
  TunnelAddress,
  TunnelReply,
  TunnelRequest,
} from 'puffinturn-fleet';
import {FLEET_SERVICE, TUNNEL_OUTCOME} from 'puffinturn-fleet';
import type {Link} from 'puffinturn-wire';
import type {Clock, Failure, Random} from 'shared';

import type {EndEvidence} from '../connections/EndEvidence';
import {END_EVIDENCE} from '../connections/EndEvidence';
import type {HttpConnection} from '../connections/HttpConnection';
import type {EdgeMetrics} from '../EdgeMetrics';
import type {EdgeUpstream} from '../upstreams/EdgeUpstream';
import {
  HELPER_BACKOFF_MS,
  MAX_HELPERS_PER_REQUEST,
  MAX_NEGATIVE_REPLIES,
  TUNNEL_OPEN_TIMEOUT_MS,
  UNRESPONSIVE_HELPER_BACKOFF_MS,
} from './TunnelConstants';

/** Why no tunnel was opened. Nothing was sent to the upstream. */
export type TunnelFailure =
  /** No other edge carries tunnels at present. */
  | Failure<'no-helper'>
  /** Another edge that has its links does not reach the upstream either. */
  | Failure<'upstream-unreachable'>
  /** Other edges do not know the upstream, or it has left since it was chosen. */
  | Failure<'upstream-unknown'>;

/** Outcome of a request for a tunnel that had no reply. */
const NO_REPLY = 'no-reply';

/** How a request for a tunnel ended. */
type HelperOutcome = TunnelReply['outcome'] | typeof NO_REPLY;

/** Stands for the ID of a request where a tunnel is opened for none. */
const LINK_CHECK = 'link-check';

/** Dependencies of TunnelClient. */
export interface TunnelClientParts {
  readonly self: BoxRecord;
  readonly clock: Clock;
  readonly link: Link;
  readonly log: DecisionLog;
  readonly metrics: EdgeMetrics;
  /** Edges of all halls, without this one. */
  readonly otherEdges: () => readonly BoxRecord[];
  readonly random: Random;
  readonly regions: Regions;
}

/** Chooses the edges that carry the tunnels of this one. */
export class TunnelClient {
  /** Open tunnels by the box that carries them. */
  private readonly openCounts = new Map<string, number>();
  /** When a box may be asked again, monotonic ms. */
  private readonly skippedUntil = new Map<string, number>();
  /** How the last request to a box ended. */
  private readonly lastOutcomes = new Map<string, HelperOutcome>();

  constructor(private readonly parts: TunnelClientParts) {}

  /** Opens a connection to an upstream through another edge, for one request. */
  async open(
    upstream: EdgeUpstream,
    requestId: string,
  ): Promise<Result<HttpConnection, TunnelFailure>> {
    const asked = new Set<string>();
    let unreachableCount = 0;
    let unknownCount = 0;
    // The first edge that can't reach the upstream may have lost some links itself, and one
    // that doesn't know it may have just started.
    while (
      upstream.isServing &&
      asked.size < MAX_HELPERS_PER_REQUEST &&
      unreachableCount + unknownCount < MAX_NEGATIVE_REPLIES
    ) {
      const helper = this.chooseHelper(asked);
      if (helper === undefined) {
        break;
      }
      asked.add(helper.box);
      const reply = await this.ask(helper, upstream, requestId);
      if (reply?.tunnel !== undefined) {
        return ok(this.connect(helper, upstream, reply.tunnel));
      }
      if (reply?.outcome === TUNNEL_OUTCOME.unreachable) {
        unreachableCount += 1;
      } else if (reply?.outcome === TUNNEL_OUTCOME.unknownUpstream) {
        unknownCount += 1;
      }
    }
    if (unreachableCount > 0) {
      return err({
        kind: 'upstream-unreachable',
        message: `${unreachableCount} other edges can't reach ${upstream.id}`,
      });
    }
    if (unknownCount > 0 || !upstream.isServing) {
      return err({
        kind: 'upstream-unknown',
        message: `${unknownCount} other edges don't know ${upstream.id}`,
      });
    }
    const message = `${asked.size} edges were asked for a tunnel`;
    return err({kind: 'no-helper', message});
  }

  /** Lets other edges connect to an upstream, to learn whether it listens. */
  async probe(upstream: EdgeUpstream, requestId: string): Promise<EndEvidence> {
    const opened = await this.open(upstream, requestId);
    if (opened.isOk()) {
      opened.value[Symbol.dispose]();
      return END_EVIDENCE.listening;
    }
    return opened.error.kind === 'upstream-unreachable'
      ? END_EVIDENCE.crashed
      : END_EVIDENCE.unknown;
  }

  /** Whether another edge can connect to an upstream. */
  async isReachable(upstream: EdgeUpstream): Promise<boolean> {
    const evidence = await this.probe(upstream, LINK_CHECK);
    return evidence === END_EVIDENCE.listening;
  }

  /** The edge of this region with the fewest tunnels of this one. */
  private chooseHelper(asked: ReadonlySet<string>): BoxRecord | undefined {
    const {clock, otherEdges, random, regions, self} = this.parts;
    const now = clock.now();
    const others = otherEdges().filter(
      ({box, hall}) =>
        !asked.has(box) && regions.areInSameRegion(self.hall, hall),
    );
    const ready = others.filter(
      ({box}) => now >= (this.skippedUntil.get(box) ?? -Infinity),
    );
    // With no other left, one that was overloaded a moment ago may carry it now.
    const candidates =
      ready.length > 0 || asked.size > 0
        ? ready
        : others.filter(
            ({box}) => this.lastOutcomes.get(box) === TUNNEL_OUTCOME.overloaded,
          );
    const counts = candidates.map(({box}) => this.openCounts.get(box) ?? 0);
    const fewest = Math.min(...counts);
    return random.pick(
      candidates.filter((_, index) => counts[index] === fewest),
    );
  }

  private async ask(
    {box}: BoxRecord,
    upstream: EdgeUpstream,
    requestId: string,
  ): Promise<TunnelReply | undefined> {
    const {clock, link, log, metrics} = this.parts;
    const startedAt = clock.now();
    if (this.lastOutcomes.get(box) === NO_REPLY) {
      // One request at a time finds out whether it replies again.
      this.skip(box, TUNNEL_OPEN_TIMEOUT_MS);
    }
    const request: TunnelRequest = {
      address: upstream.record.address,
      requestId,
      upstreamId: upstream.id,
    };
    const result = await link.call(
      box,
      FLEET_SERVICE.openTunnel,
      request,
      TUNNEL_OPEN_TIMEOUT_MS,
    );
    const reply = result.isOk() ? (result.value as TunnelReply) : undefined;
    const outcome = reply?.outcome ?? NO_REPLY;
    this.lastOutcomes.set(box, outcome);
    this.skip(box, backoffMs(outcome));
    log.note({
      event: 'tunnel-decided',
      outcome,
      peer: box,
      request: requestId,
      role: 'asks',
      tookMs: Math.round(clock.now() - startedAt),
      tunnels: this.openCounts.get(box) ?? 0,
      upstream: upstream.id,
    });
    metrics.tunnels.inc({outcome, role: 'asks'});
    return reply;
  }

  private skip(box: string, forMs: number): void {
    this.skippedUntil.set(box, this.parts.clock.now() + forMs);
  }

  private connect(
    {box}: BoxRecord,
    upstream: EdgeUpstream,
    tunnel: TunnelAddress,
  ): HttpConnection {
    this.openCounts.set(box, (this.openCounts.get(box) ?? 0) + 1);
    return upstream.connections.openTunnel(tunnel, () => {
      const count = (this.openCounts.get(box) ?? 1) - 1;
      if (count === 0) {
        this.openCounts.delete(box);
      } else {
        this.openCounts.set(box, count);
      }
    });
  }
}

/** How long an edge is not asked again after a request that ended so, ms. */
function backoffMs(outcome: HelperOutcome): number {
  switch (outcome) {
    case TUNNEL_OUTCOME.open:
    case TUNNEL_OUTCOME.unknownUpstream:
    case TUNNEL_OUTCOME.unreachable:
      return 0;
    case NO_REPLY:
      return UNRESPONSIVE_HELPER_BACKOFF_MS;
    default:
      return HELPER_BACKOFF_MS;
  }
}
