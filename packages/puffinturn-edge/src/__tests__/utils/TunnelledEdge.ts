/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** An edge without links to its upstreams, and one that carries its tunnels. */
import type {BoxRecord, Route, UpstreamRecord} from 'puffinturn-fleet';
import {BOX_ROLE, Regions} from 'puffinturn-fleet';
import {MemoryNetwork} from 'puffinturn-wire';
import {Random, SystemClock} from 'shared';

import {EdgeMetrics} from '../../EdgeMetrics';
import type {RequestForwarderParts} from '../../requests/RequestForwarder';
import {TunnelClient} from '../../tunnels/TunnelClient';
import {TunnelServer} from '../../tunnels/TunnelServer';
import {UpstreamPool} from '../../upstreams/UpstreamPool';
import {ForwardingFixture} from './ForwardingFixture';

function edgeRecord(box: string): BoxRecord {
  return {box, hall: 'a', incarnation: '1', role: BOX_ROLE.edge};
}

/** Disposing it closes both edges. */
export class TunnelledEdge implements AsyncDisposable {
  private constructor(
    readonly edge: ForwardingFixture,
    private readonly carrier: TunnelServer,
    private readonly carrierPool: UpstreamPool,
  ) {}

  static async start(
    routes: readonly Route[],
    upstreams: readonly UpstreamRecord[],
    overrides: Partial<RequestForwarderParts> = {},
  ): Promise<TunnelledEdge> {
    const clock = new SystemClock();
    const network = new MemoryNetwork(clock, new Random(1));
    const edge = await ForwardingFixture.start(
      routes,
      ({directLinks, log}) => ({
        directLinks: Object.assign(directLinks, {needsTunnel: () => true}),
        tunnelClient: new TunnelClient({
          clock,
          link: network.connect('asking'),
          log,
          metrics: new EdgeMetrics(),
          otherEdges: () => [edgeRecord('carrying')],
          random: new Random(1),
          regions: new Regions(),
          self: edgeRecord('asking'),
        }),
        ...overrides,
      }),
    );
    const carrierPool = new UpstreamPool(clock, edge.log);
    const carrier = await TunnelServer.open(
      {host: '127.0.0.1', port: 0},
      {
        clock,
        drainMs: 2_000,
        link: network.connect('carrying'),
        log: edge.log,
        metrics: new EdgeMetrics(),
        pool: carrierPool,
        refusal: () => undefined,
      },
    );
    for (const pool of [edge.pool, carrierPool]) {
      pool.merge(upstreams, 'test');
    }
    return new TunnelledEdge(edge, carrier._unsafeUnwrap(), carrierPool);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.edge[Symbol.asyncDispose]();
    await this.carrier[Symbol.asyncDispose]();
    this.carrierPool[Symbol.dispose]();
  }
}
