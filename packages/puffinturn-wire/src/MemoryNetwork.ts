/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * A network in memory for tests: delays, lost or late messages and one-way cuts,
 * all by a Clock that the test drives.
 */
import {Decoder, Encoder} from 'cbor-x';
import type {ResultAsync} from 'neverthrow';
import {err, ok, ResultAsync as Async} from 'neverthrow';
import type {Clock, Random} from 'shared';
import {Condition, describeError} from 'shared';

import type {LinkFailure} from './Link';
import {Link} from './Link';

const encoder = new Encoder({useRecords: false});
const decoder = new Decoder({useRecords: false});

/** How long a message takes. */
export interface Delay {
  readonly lowMs: number;
  readonly highMs: number;
}

/** All links of a test. */
export class MemoryNetwork {
  /** Delay of each message, drawn anew, so that messages overtake. */
  delay: Delay = {highMs: 2, lowMs: 1};
  private readonly links = new Map<string, MemoryLink>();
  private readonly cuts = new Set<string>();
  private readonly stalls = new Set<string>();
  private readonly healed = new Condition();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /**
   * Connects a box; a later link of the same name takes its place. Messages
   * are held back until `whileRunning` resolves, as for a frozen process.
   */
  connect(
    box: string,
    whileRunning: () => Promise<void> = () => Promise.resolve(),
  ): MemoryLink {
    const link = new MemoryLink(box, this, whileRunning);
    this.links.set(box, link);
    return link;
  }

  /** Stops a box from receiving or sending anything. */
  disconnect(box: string): void {
    this.links.delete(box);
  }

  /** Loses every message from one box to another until healed. */
  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  /** Cuts every pair between two sides, in both directions. */
  partition(left: readonly string[], right: readonly string[]): void {
    for (const a of left) {
      for (const b of right) {
        this.cut(a, b);
        this.cut(b, a);
      }
    }
  }

  /**
   * Holds every message from one box to another back until healed, also if its
   * sender is gone by then, as TCP does with what it has sent into a cut.
   */
  stall(from: string, to: string): void {
    this.stalls.add(`${from}>${to}`);
  }

  /** Ends all cuts and stalls. */
  heal(): void {
    this.cuts.clear();
    this.stalls.clear();
    this.healed.notify();
  }

  /** Carries one call; used by MemoryLink. */
  async carry(
    link: MemoryLink,
    to: string,
    service: string,
    body: unknown,
    timeoutMs: number,
  ) {
    const deadline = this.clock.sleep(timeoutMs).then(() => undefined);
    const answer = await Promise.race([
      this.roundTrip(link, to, service, encoder.encode(body)),
      deadline,
    ]);
    if (answer === undefined) {
      const message = `${to} did not answer`;
      return err<unknown, LinkFailure>({kind: 'no-answer', message});
    }
    return answer;
  }

  private async roundTrip(
    link: MemoryLink,
    to: string,
    service: string,
    bytes: Buffer,
  ) {
    const from = link.box;
    if (this.links.get(from) !== link || !(await this.travel(from, to))) {
      return undefined;
    }
    const target = this.links.get(to);
    if (target === undefined) {
      return undefined;
    }
    await target.whileRunning();
    if (this.links.get(to) !== target) {
      return undefined;
    }
    const running = target.receive(service, decoder.decode(bytes), from);
    const answer = await running.then(
      (value) =>
        ok<unknown, LinkFailure>(decoder.decode(encoder.encode(value))),
      (error) =>
        err<unknown, LinkFailure>({
          kind: 'peer-failed',
          message: describeError(error),
        }),
    );
    if (this.links.get(to) !== target) {
      return undefined;
    }
    const arrived = await this.travel(to, from);
    await link.whileRunning();
    return arrived && this.links.get(from) === link ? answer : undefined;
  }

  private async pass(): Promise<void> {
    const {highMs, lowMs} = this.delay;
    const share = this.random.fraction();
    await this.clock.sleep(lowMs + share * (highMs - lowMs));
  }

  private async travel(from: string, to: string): Promise<boolean> {
    if (from === to) {
      return true;
    }
    await this.pass();
    while (this.stalls.has(`${from}>${to}`)) {
      await this.healed.wait();
      await this.pass();
    }
    return !this.cuts.has(`${from}>${to}`);
  }
}

/** The link of one box in a MemoryNetwork. */
export class MemoryLink extends Link {
  constructor(
    readonly box: string,
    private readonly network: MemoryNetwork,
    readonly whileRunning: () => Promise<void>,
  ) {
    super();
  }

  override call(
    box: string,
    service: string,
    body: unknown,
    timeoutMs: number,
  ): ResultAsync<unknown, LinkFailure> {
    return new Async(this.network.carry(this, box, service, body, timeoutMs));
  }

  /** Runs the handler of a service for a message that has arrived. */
  receive(service: string, body: unknown, from: string): Promise<unknown> {
    return (
      this.dispatch(service, body, from) ??
      Promise.reject(new Error(`no service ${service}`))
    );
  }
}
