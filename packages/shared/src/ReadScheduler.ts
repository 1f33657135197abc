/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Bounds how long one connection keeps the event loop. A socket is read many times in a row
 * while its peer sends fast, before any other socket or timer has its turn, and a read may
 * bring thousands of pieces that are each handled by themselves. A connection that brings
 * too many of them is left unread, until it is the next of all such connections: one of
 * them is read in each iteration, so that the others of the process go on whatever their
 * number.
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

/** A connection whose reads are recorded. */
export interface ReadSource {
  /** Stops reading until `resumeReading`. */
  suspendReading(): void;
  resumeReading(): void;
  /** Called after an iteration that brought too many pieces or took long. */
  onCostlyReads(load: ReadLoad): void;
}

/** Time in one iteration from which the reads of a connection are reported, ms. */
const COSTLY_READS_MS = 20;

/** Pieces in one iteration after which a connection is left unread. */
export const MAX_PIECES_PER_ITERATION = 512;

/** A load that grows in place, as each piece of a body may be recorded by itself. */
type GrowingLoad = {-readonly [Key in keyof ReadLoad]: ReadLoad[Key]};

/** Decides which connections are read in an iteration of the event loop. */
export class ReadScheduler {
  /** What each connection has read in this iteration. */
  private loads = new Map<ReadSource, GrowingLoad>();
  /** Connections that are left unread; the next one first. */
  private readonly suspended = new Set<ReadSource>();
  private isEndScheduled = false;

  /** Records a read of a connection, and may suspend its reading. */
  record(source: ReadSource, {bytes, pieces, tookMs}: ReadCost): void {
    const load = this.loadOf(source);
    load.reads += 1;
    load.bytes += bytes;
    load.pieces += pieces;
    load.tookMs += tookMs;
    this.scheduleEnd();
    if (hasTooManyPieces(load) && !this.suspended.has(source)) {
      this.suspended.add(source);
      source.suspendReading();
    }
  }

  /** Forgets a connection; its reading stays as it is. */
  remove(source: ReadSource): void {
    this.loads.delete(source);
    this.suspended.delete(source);
  }

  private loadOf(source: ReadSource): GrowingLoad {
    let load = this.loads.get(source);
    if (load === undefined) {
      load = {bytes: 0, pieces: 0, reads: 0, tookMs: 0};
      this.loads.set(source, load);
    }
    return load;
  }

  private scheduleEnd(): void {
    if (!this.isEndScheduled) {
      this.isEndScheduled = true;
      setImmediate(() => this.endIteration());
    }
  }

  private endIteration(): void {
    this.isEndScheduled = false;
    const {loads} = this;
    this.loads = new Map();
    for (const [source, load] of loads) {
      if (hasTooManyPieces(load) || load.tookMs >= COSTLY_READS_MS) {
        source.onCostlyReads(load);
      }
    }
    this.resumeNext();
    if (this.suspended.size > 0) {
      this.scheduleEnd();
    }
  }

  private resumeNext(): void {
    const [next] = this.suspended;
    if (next !== undefined) {
      this.suspended.delete(next);
      next.resumeReading();
    }
  }
}

function hasTooManyPieces({pieces}: ReadLoad): boolean {
  return pieces > MAX_PIECES_PER_ITERATION;
}

/** Reads of all connections of the process, which share its event loop. */
export const readScheduler = new ReadScheduler();
