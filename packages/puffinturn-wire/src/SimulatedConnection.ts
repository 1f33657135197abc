/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * A connection of a simulated network that needs time to open and repeats lost packets after
 * growing delays, as TCP does.
 */
import type {Clock} from 'shared';
import {Condition} from 'shared';

/** Delay before a lost packet is sent again, ms; doubles with each further loss. */
const MIN_RETRANSMISSION_MS = 200;

/** Longest delay before a lost packet is sent again, ms. */
const MAX_RETRANSMISSION_MS = 60_000;

/** Round trips of opening a connection: that of TCP and two of the handshake. */
const OPENING_ROUND_TRIPS = 3;

/** How a simulated connection reaches the other side. */
export interface SimulatedPath {
  /** Lets one packet travel, and tells whether it arrives. */
  travel(from: string, to: string): Promise<boolean>;
  /** Resolves when the process of a box can respond. */
  waitUntilRunning(box: string): Promise<void>;
}

/** One direction of a connection. */
interface Direction {
  readonly from: string;
  readonly to: string;
  /** Ends once the lost packets have arrived; undefined if none is lost. */
  retransmission: Promise<void> | undefined;
}

/** The connection over which one box calls another. */
export class SimulatedConnection {
  /** Whether messages on it are lost for good. */
  isSilent = false;
  /** Time of the last reply on it. */
  lastReplyAt = -Infinity;
  private opening: Promise<boolean> | undefined;
  private isClosed = false;
  private readonly closed = new Condition();
  private readonly forth: Direction;
  private readonly back: Direction;

  constructor(
    private readonly clock: Clock,
    private readonly path: SimulatedPath,
    from: string,
    to: string,
  ) {
    this.forth = {from, retransmission: undefined, to};
    this.back = {from: to, retransmission: undefined, to: from};
  }

  /** Opens it once; false if the other side doesn't respond within the timeout. */
  open(timeoutMs: number): Promise<boolean> {
    this.opening ??= this.openWithin(timeoutMs);
    return this.opening;
  }

  /** Closes it; what is on its way is lost. */
  close(): void {
    this.isClosed = true;
    this.closed.notify();
  }

  /** Resolves with the value, or with undefined once the connection is closed. */
  async waitUnlessClosed<Value>(
    value: Promise<Value>,
  ): Promise<Value | undefined> {
    using closing = this.closed.next();
    return await Promise.race([value, closing.received.then(() => undefined)]);
  }

  /** Sends a message to the called box; false if it is lost. */
  sendRequest(): Promise<boolean> {
    return this.send(this.forth);
  }

  /** Sends a message to the calling box; false if it is lost. */
  sendReply(): Promise<boolean> {
    return this.send(this.back);
  }

  /** Each round trip has the whole timeout, as that of a socket is one of idle time. */
  private async openWithin(timeoutMs: number): Promise<boolean> {
    for (let count = 0; count < OPENING_ROUND_TRIPS; count += 1) {
      const timeout = this.clock.sleep(timeoutMs).then(() => false);
      if (!(await Promise.race([this.makeRoundTrip(timeout), timeout]))) {
        return false;
      }
    }
    this.lastReplyAt = this.clock.now();
    return true;
  }

  /** A lost packet of the opening is repeated only after the timeout. */
  private async makeRoundTrip(timeout: Promise<boolean>): Promise<boolean> {
    const {from, to} = this.forth;
    const hasArrived = await this.path.travel(from, to);
    await this.path.waitUntilRunning(to);
    return hasArrived && (await this.path.travel(to, from)) ? true : timeout;
  }

  private async send(direction: Direction): Promise<boolean> {
    if (direction.retransmission !== undefined) {
      await direction.retransmission;
    } else if (!(await this.path.travel(direction.from, direction.to))) {
      direction.retransmission ??= this.retransmit(direction);
      await direction.retransmission;
    }
    return !this.isClosed && !this.isSilent;
  }

  /** Sends lost packets again until they arrive, or until it is closed. */
  private async retransmit(direction: Direction): Promise<void> {
    let delayMs = MIN_RETRANSMISSION_MS;
    while (!this.isClosed) {
      await this.clock.sleep(delayMs);
      if (await this.path.travel(direction.from, direction.to)) {
        break;
      }
      delayMs = Math.min(MAX_RETRANSMISSION_MS, 2 * delayMs);
    }
    direction.retransmission = undefined;
  }
}
