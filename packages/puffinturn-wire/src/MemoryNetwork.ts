/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * An in-memory network for tests that simulates delays, message loss and
 * partitions on a Clock that the test controls.
 */
import {Decoder, Encoder} from 'cbor-x';
import type {ResultAsync} from 'neverthrow';
import {err, ok, ResultAsync as Async} from 'neverthrow';
import type {Clock, Random} from 'shared';
import {Condition, describeError} from 'shared';

import type {LinkFailure} from './Link';
import {Link} from './Link';
import {SimulatedConnection} from './SimulatedConnection';
import {CONNECT_TIMEOUT_MS, SUSPECT_AFTER_QUIET_MS} from './WireConstants';

const encoder = new Encoder({useRecords: false});
const decoder = new Decoder({useRecords: false});

/** Range of random message delays. */
export interface DelayRange {
  readonly minMs: number;
  readonly maxMs: number;
}

/** What a box receives over a link of limited bandwidth. */
interface NarrowLink {
  readonly bytesPerMs: number;
  /** When all that was sent so far has arrived, ms. */
  busyUntil: number;
  receivedBytes: number;
  /** The latest message from each box. */
  readonly receptions: Map<string, Reception>;
}

/** When a message travels over a link of limited bandwidth, ms. */
interface Reception {
  readonly startsAt: number;
  readonly endsAt: number;
}

/** Connects the links of all boxes in a test. */
export class MemoryNetwork {
  /** Each message gets a random delay in this range, so messages may be reordered. */
  delayRange: DelayRange = {maxMs: 2, minMs: 1};
  /** Whether connections need time to open and repeat lost packets, as with TCP. */
  simulatesTcp = false;
  private readonly links = new Map<string, MemoryLink>();
  private readonly blockedRoutes = new Set<string>();
  private readonly stalledRoutes = new Set<string>();
  /** Additional delay by route, ms. */
  private readonly slowRoutes = new Map<string, number>();
  /** Links of boxes with a limited bandwidth. */
  private readonly narrowLinks = new Map<string, NarrowLink>();
  /** Connections by caller and callee. */
  private readonly connections = new Map<string, SimulatedConnection>();
  private readonly healed = new Condition();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /**
   * Connects a box and replaces its previous link. Messages to the box wait
   * until `waitUntilRunning` resolves, which simulates a paused process.
   */
  connect(
    box: string,
    waitUntilRunning: () => Promise<void> = () => Promise.resolve(),
  ): MemoryLink {
    const link = new MemoryLink(box, this, waitUntilRunning);
    this.links.set(box, link);
    return link;
  }

  /** Disconnects a box; it no longer sends or receives messages. */
  disconnect(box: string): void {
    this.links.delete(box);
  }

  /** Drops messages in one direction until `heal`. */
  dropMessages(from: string, to: string): void {
    this.blockedRoutes.add(`${from}>${to}`);
  }

  /** Drops all messages between two groups of boxes until `heal`. */
  partition(left: readonly string[], right: readonly string[]): void {
    for (const leftBox of left) {
      for (const rightBox of right) {
        this.dropMessages(leftBox, rightBox);
        this.dropMessages(rightBox, leftBox);
      }
    }
  }

  /**
   * Delays messages in one direction until `heal`, even if the sender has since
   * disconnected. Simulates data in TCP send buffers during a partition.
   */
  holdMessages(from: string, to: string): void {
    this.stalledRoutes.add(`${from}>${to}`);
  }

  /** Delays each message between two boxes, in both directions, until `heal`. */
  slowMessages(box: string, other: string, delayMs: number): void {
    this.slowRoutes.set(`${box}>${other}`, delayMs);
    this.slowRoutes.set(`${other}>${box}`, delayMs);
  }

  /**
   * Limits the bytes that a box receives from all others together. Messages take their time
   * one after the other, also those that the box no longer waits for.
   */
  limitBandwidth(box: string, bytesPerMs: number): void {
    this.narrowLinks.set(box, {
      busyUntil: 0,
      bytesPerMs,
      receivedBytes: 0,
      receptions: new Map(),
    });
  }

  /** Whether a message from another box is arriving at a box of limited bandwidth. */
  isReceiving(box: string, from: string): boolean {
    const reception = this.narrowLinks.get(box)?.receptions.get(from);
    const now = this.clock.now();
    return (
      reception !== undefined &&
      reception.startsAt <= now &&
      now < reception.endsAt
    );
  }

  /** Bytes of the bodies that were sent to a box since its bandwidth was limited. */
  receivedBytes(box: string): number {
    return this.narrowLinks.get(box)?.receivedBytes ?? 0;
  }

  /**
   * Loses all messages on the open connections over which a box calls others, without a
   * reset. New connections work.
   */
  silenceConnections(from: string, to: readonly string[]): void {
    for (const box of to) {
      this.connectionOf(from, box).isSilent = true;
    }
  }

  /** Replaces a connection unless a reply came within `quietMs`, as TcpLink does. */
  reconnectIfQuiet(from: string, to: string, quietMs: number): void {
    const {lastReplyAt} = this.connectionOf(from, to);
    if (this.clock.now() - lastReplyAt >= quietMs) {
      this.connections.delete(`${from}>${to}`);
    }
  }

  /** Stops dropping and delaying messages; held ones are delivered. */
  heal(): void {
    this.blockedRoutes.clear();
    this.slowRoutes.clear();
    this.stalledRoutes.clear();
    this.healed.notify();
  }

  /** Performs one call for MemoryLink. */
  async performCall(
    link: MemoryLink,
    to: string,
    service: string,
    body: unknown,
    timeoutMs: number,
  ) {
    const calledAt = this.clock.now();
    const connection = this.connectionOf(link.box, to);
    const timeout = this.clock.sleep(timeoutMs).then(() => undefined);
    const isOpen =
      !this.simulatesTcp ||
      (await Promise.race([this.open(connection, link.box, to), timeout]));
    if (!isOpen) {
      const message = `cannot connect to ${to}`;
      return err<unknown, LinkFailure>({kind: 'not-sent', message});
    }
    const answered = this.roundTrip(
      link,
      to,
      service,
      encoder.encode(body),
      connection,
    );
    const ended = Promise.race([
      answered.then((reply) => (connection.isSilent ? timeout : reply)),
      timeout,
    ]);
    const result = this.simulatesTcp
      ? await connection.waitUnlessClosed(ended)
      : await ended;
    if (result === undefined) {
      this.replaceIfSilent(connection, link.box, to, calledAt);
      const message = `${to} did not respond`;
      return err<unknown, LinkFailure>({kind: 'no-answer', message});
    }
    connection.lastReplyAt = this.clock.now();
    return result;
  }

  /** Whether a connection is open, after opening it if necessary. */
  private async open(
    connection: SimulatedConnection,
    from: string,
    to: string,
  ): Promise<boolean> {
    const isOpen = await connection.open(CONNECT_TIMEOUT_MS);
    if (!isOpen) {
      this.forget(connection, `${from}>${to}`);
    }
    return isOpen;
  }

  /** Closes a connection that has been silent since a call, as TcpLink does. */
  private replaceIfSilent(
    connection: SimulatedConnection,
    from: string,
    to: string,
    calledAt: number,
  ): void {
    if (this.simulatesTcp && connection.lastReplyAt <= calledAt) {
      this.forget(connection, `${from}>${to}`);
      connection.close();
    } else {
      this.reconnectIfQuiet(from, to, SUSPECT_AFTER_QUIET_MS);
    }
  }

  private forget(connection: SimulatedConnection, route: string): void {
    if (this.connections.get(route) === connection) {
      this.connections.delete(route);
    }
  }

  private connectionOf(from: string, to: string): SimulatedConnection {
    const route = `${from}>${to}`;
    const existing = this.connections.get(route);
    if (existing !== undefined) {
      return existing;
    }
    const connection = new SimulatedConnection(
      this.clock,
      {
        travel: (sender, receiver) => this.deliver(sender, receiver),
        waitUntilRunning: async (box) =>
          this.links.get(box)?.waitUntilRunning(),
      },
      from,
      to,
    );
    if (this.simulatesTcp) {
      connection.lastReplyAt = this.clock.now();
    }
    this.connections.set(route, connection);
    return connection;
  }

  private async roundTrip(
    link: MemoryLink,
    to: string,
    service: string,
    bytes: Buffer,
    connection: SimulatedConnection,
  ) {
    const from = link.box;
    if (this.links.get(from) !== link) {
      return undefined;
    }
    const isReceived = this.simulatesTcp
      ? await connection.sendRequest()
      : await this.deliver(from, to);
    if (!isReceived) {
      return undefined;
    }
    const target = this.links.get(to);
    if (target === undefined) {
      return undefined;
    }
    await this.transmit(from, to, bytes.length);
    await target.waitUntilRunning();
    if (this.links.get(to) !== target) {
      return undefined;
    }
    const handling = target.receive(service, decoder.decode(bytes), from);
    const result = await handling.then(
      async (value) => {
        const reply = encoder.encode(value);
        await this.transmit(to, from, reply.length);
        return ok<unknown, LinkFailure>(decoder.decode(reply));
      },
      (error) =>
        err<unknown, LinkFailure>({
          kind: 'peer-failed',
          message: describeError(error),
        }),
    );
    if (this.links.get(to) !== target) {
      return undefined;
    }
    const isDelivered = this.simulatesTcp
      ? await connection.sendReply()
      : await this.deliver(to, from);
    await link.waitUntilRunning();
    return isDelivered && this.links.get(from) === link ? result : undefined;
  }

  /** Waits until a box has received a message, if its bandwidth is limited. */
  private async transmit(
    from: string,
    to: string,
    bytes: number,
  ): Promise<void> {
    const narrowLink = this.narrowLinks.get(to);
    if (narrowLink === undefined) {
      return;
    }
    const now = this.clock.now();
    const startsAt = Math.max(now, narrowLink.busyUntil);
    const endsAt = startsAt + bytes / narrowLink.bytesPerMs;
    narrowLink.busyUntil = endsAt;
    narrowLink.receptions.set(from, {endsAt, startsAt});
    narrowLink.receivedBytes += bytes;
    await this.clock.sleep(endsAt - now);
  }

  private async sleepForDelay(): Promise<void> {
    const {maxMs, minMs} = this.delayRange;
    const fraction = this.random.fraction();
    await this.clock.sleep(minMs + fraction * (maxMs - minMs));
  }

  private async deliver(from: string, to: string): Promise<boolean> {
    if (from === to) {
      return true;
    }
    await this.sleepForDelay();
    const slowMs = this.slowRoutes.get(`${from}>${to}`);
    if (slowMs !== undefined) {
      await this.clock.sleep(slowMs);
    }
    while (this.stalledRoutes.has(`${from}>${to}`)) {
      await this.healed.wait();
      await this.sleepForDelay();
    }
    return !this.blockedRoutes.has(`${from}>${to}`);
  }
}

/** The link of one box in a MemoryNetwork. */
export class MemoryLink extends Link {
  constructor(
    readonly box: string,
    private readonly network: MemoryNetwork,
    readonly waitUntilRunning: () => Promise<void>,
  ) {
    super();
  }

  override call(
    box: string,
    service: string,
    body: unknown,
    timeoutMs: number,
  ): ResultAsync<unknown, LinkFailure> {
    return new Async(
      this.network.performCall(this, box, service, body, timeoutMs),
    );
  }

  override isReceiving(box: string): boolean {
    return this.network.isReceiving(this.box, box);
  }

  override renewConnection(box: string, quietMs: number): void {
    this.network.reconnectIfQuiet(this.box, box, quietMs);
  }

  /** Dispatches an incoming message to the handler of its service. */
  receive(service: string, body: unknown, from: string): Promise<unknown> {
    return (
      this.dispatch(service, body, from) ??
      Promise.reject(new Error(`no service ${service}`))
    );
  }
}
