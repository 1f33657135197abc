/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {Socket} from 'node:net';

import type {EdgeMetrics} from '../EdgeMetrics';

interface ByteCounts {
  readonly read: number;
  readonly written: number;
}

const ZERO_COUNTS: ByteCounts = {read: 0, written: 0};

/**
 * Counts the bytes exchanged with upstreams in other regions, headers included. Reads
 * the counters of the socket instead of summing chunks.
 */
export class RegionByteCounter {
  /** Counts at the last update, for connections that are reused. */
  private readonly lastCounts = new WeakMap<Socket, ByteCounts>();

  constructor(private readonly metrics: Pick<EdgeMetrics, 'regionBytes'>) {}

  /** Adds the bytes of a connection since its last count to the metrics. */
  recordBytes(socket: Socket): void {
    const {regionBytes} = this.metrics;
    const previous = this.lastCounts.get(socket) ?? ZERO_COUNTS;
    const current: ByteCounts = {
      read: socket.bytesRead,
      written: socket.bytesWritten,
    };
    this.lastCounts.set(socket, current);
    regionBytes.inc({cause: 'requests'}, current.written - previous.written);
    regionBytes.inc({cause: 'answers'}, current.read - previous.read);
  }
}
