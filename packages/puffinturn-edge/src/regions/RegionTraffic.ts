/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Counts the bytes of requests to upstreams of other regions, and of their answers,
 * as their connections counted them: heads included, and no work for each piece.
 */
import type {Socket} from 'node:net';

import type {EdgeMetrics} from '../EdgeMetrics';

interface ByteCounts {
  readonly read: number;
  readonly written: number;
}

const NOTHING: ByteCounts = {read: 0, written: 0};

/** See the module comment. */
export class RegionTraffic {
  /** What was counted of connections that are used again. */
  private readonly counted = new WeakMap<Socket, ByteCounts>();

  constructor(private readonly metrics: Pick<EdgeMetrics, 'regionBytes'>) {}

  /** Counts what a connection has carried since it was counted last. */
  count(socket: Socket): void {
    const {regionBytes} = this.metrics;
    const before = this.counted.get(socket) ?? NOTHING;
    const now: ByteCounts = {
      read: socket.bytesRead,
      written: socket.bytesWritten,
    };
    this.counted.set(socket, now);
    regionBytes.inc({cause: 'requests'}, now.written - before.written);
    regionBytes.inc({cause: 'answers'}, now.read - before.read);
  }
}
