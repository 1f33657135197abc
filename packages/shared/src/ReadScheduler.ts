/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Measures how long connections keep the event loop. A socket is read many times in a row
 * while its peer sends fast, before any other socket or timer has its turn, and a read may
 * bring thousands of pieces that are each handled by themselves.
 */

/** What one connection read in one iteration of the event loop. */
export interface ReadLoad {
  readonly reads: number;
  readonly bytes: number;
  /** Parts that were handled by themselves, such as chunks of a body. */
  readonly pieces: number;
  readonly tookMs: number;
}

/** One read of a connection. */
export type ReadCost = Omit<ReadLoad, 'reads'>;

/** A connection whose reads are measured. */
export interface ReadSource {
  /** Called after an iteration in which the connection kept the event loop for long. */
  onCostlyReads(load: ReadLoad): void;
}

/** Time in one iteration from which the reads of a connection are reported, ms. */
const COSTLY_READS_MS = 20;

const NO_LOAD: ReadLoad = {bytes: 0, pieces: 0, reads: 0, tookMs: 0};

/** Adds up what a connection read. */
export function addLoads(one: ReadLoad, other: ReadLoad): ReadLoad {
  return {
    bytes: one.bytes + other.bytes,
    pieces: one.pieces + other.pieces,
    reads: one.reads + other.reads,
    tookMs: one.tookMs + other.tookMs,
  };
}

/** Adds up the reads of each connection until the iteration ends. */
export class ReadScheduler {
  private loads = new Map<ReadSource, ReadLoad>();

  /** Records a read of a connection. */
  record(source: ReadSource, cost: ReadCost): void {
    if (this.loads.size === 0) {
      setImmediate(() => this.endIteration());
    }
    const load = this.loads.get(source) ?? NO_LOAD;
    this.loads.set(source, addLoads(load, {...cost, reads: 1}));
  }

  private endIteration(): void {
    const {loads} = this;
    this.loads = new Map();
    for (const [source, load] of loads) {
      if (load.tookMs >= COSTLY_READS_MS) {
        source.onCostlyReads(load);
      }
    }
  }
}

/** Reads of all connections of the process, which share its event loop. */
export const readScheduler = new ReadScheduler();
