/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * A box's way to the leader of its region: finds it, follows it, asks again
 * until a deadline, and goes through another box when the leader cannot be
 * reached directly. Records are idempotent, so asking again is harmless.
 */
import type {Result} from 'neverthrow';
import {err, ok, ResultAsync} from 'neverthrow';
import type {Link} from 'puffinturn-wire';
import type {Clock} from 'shared';

import type {
  ControlFailure,
  ControlReply,
  ControlRequest,
} from './ControlMessages';
import {CONTROL_SERVICE} from './ControlMessages';
import {
  ADMIT_GRACE_MS,
  CONTROL_CALL_MS,
  CONTROL_RETRY_MS,
  WAIT_SLICE_MS,
} from './LedgerConstants';
import type {LedgerOutcome} from './LedgerOutcomes';
import type {LedgerRecord} from './LedgerRecords';

const RELAY_SERVICE = 'relay';

/** Control boxes that fail in a row before another box is asked to relay. */
const FAILURES_BEFORE_RELAY = 3;

/** What the client needs. */
export interface ControlClientParts {
  readonly box: string;
  /** The region whose leader is asked. */
  readonly region: string;
  readonly clock: Clock;
  readonly link: Link;
  /** Control boxes of the region. */
  readonly controlBoxes: readonly string[];
  /** Other boxes of the region that may relay. */
  readonly relayBoxes: readonly string[];
}

/** How long to try, and how an admission may wait. */
export interface SubmitLimits {
  readonly timeoutMs: number;
  readonly waitMs?: number;
  readonly priority?: number;
}

/** See the module comment. */
export class ControlClient {
  private leader: string | undefined;
  private next = 0;
  private failures = 0;

  constructor(private readonly parts: ControlClientParts) {}

  /**
   * Passes requests on for boxes that cannot reach the leader, until the
   * result is disposed. One client of a box may do so: that of its own region.
   */
  serveRelay(): Disposable {
    return this.parts.link.register(RELAY_SERVICE, (body) =>
      this.relay(body as ControlRequest),
    );
  }

  /** Commits one record and returns its outcome. */
  submit(
    record: LedgerRecord,
    limits: SubmitLimits,
  ): ResultAsync<LedgerOutcome, ControlFailure> {
    return new ResultAsync(this.submitUntil(record, limits));
  }

  /** Asks the leader until it answers or the time is up. */
  ask(
    request: ControlRequest,
    timeoutMs: number,
    callMs = CONTROL_CALL_MS,
  ): ResultAsync<ControlReply, ControlFailure> {
    return new ResultAsync(this.askUntil(request, timeoutMs, callMs));
  }

  /**
   * An admission waits in short calls, so that it does not hang on a leader
   * that is cut off; it keeps its place by the time it has waited.
   */
  private async submitUntil(
    record: LedgerRecord,
    {priority = 5, timeoutMs, waitMs = 0}: SubmitLimits,
  ): Promise<Result<LedgerOutcome, ControlFailure>> {
    const {clock} = this.parts;
    const start = clock.now();
    let first = true;
    for (;;) {
      const waitedMs = clock.now() - start;
      // The first call does not wait, so that it soon shows a silent leader.
      const longest = first ? 0 : WAIT_SLICE_MS;
      const slice = Math.max(0, Math.min(waitMs - waitedMs, longest));
      first = false;
      const reply = await this.ask(
        {
          kind: 'submit',
          priority,
          record,
          region: this.parts.region,
          waitMs: slice,
          waitedMs,
        },
        Math.max(1, timeoutMs - waitedMs),
        slice + ADMIT_GRACE_MS,
      );
      if (reply.isErr()) {
        return err(reply.error);
      }
      if (reply.value.kind !== 'outcome') {
        return err(unavailable(`an answer of kind ${reply.value.kind}`));
      }
      const {outcome} = reply.value;
      const again = outcome.kind === 'insufficient' && outcome.mayWait;
      if (!again || clock.now() - start >= waitMs) {
        return ok(outcome);
      }
    }
  }

  private async askUntil(
    request: ControlRequest,
    timeoutMs: number,
    callMs: number,
  ): Promise<Result<ControlReply, ControlFailure>> {
    const {clock} = this.parts;
    const deadline = clock.now() + timeoutMs;
    for (;;) {
      const left = deadline - clock.now();
      if (left <= 0) {
        return err(unavailable('no leader answered in time'));
      }
      const reply = await this.askOnce(request, Math.min(left, callMs));
      if (reply !== undefined) {
        return ok(reply);
      }
      await clock.sleep(Math.min(CONTROL_RETRY_MS, left));
    }
  }

  private async askOnce(
    request: ControlRequest,
    callMs: number,
  ): Promise<ControlReply | undefined> {
    const relayed = this.failures >= FAILURES_BEFORE_RELAY;
    const target = relayed ? this.nextRelay() : this.target();
    const service = relayed ? RELAY_SERVICE : CONTROL_SERVICE;
    if (relayed) {
      this.failures = 0;
    }
    const answer = await this.parts.link.call(target, service, request, callMs);
    if (answer.isErr()) {
      this.failures += 1;
      this.forget(target);
      return undefined;
    }
    const reply = answer.value as ControlReply;
    if (reply.kind === 'not-leader') {
      this.follow(target, reply.leader);
      return undefined;
    }
    this.failures = 0;
    return reply.kind === 'failed' ? undefined : reply;
  }

  private target(): string {
    const {controlBoxes} = this.parts;
    return (
      this.leader ??
      controlBoxes[this.next % controlBoxes.length] ??
      this.parts.box
    );
  }

  private nextRelay(): string {
    const {relayBoxes} = this.parts;
    this.next += 1;
    return relayBoxes[this.next % relayBoxes.length] ?? this.target();
  }

  private forget(target: string): void {
    this.next += 1;
    if (this.leader === target) {
      this.leader = undefined;
    }
  }

  private follow(target: string, leader: string | undefined): void {
    if (leader === undefined || leader === target) {
      this.forget(target);
    } else {
      this.leader = leader;
    }
  }

  /** Passes a request on for a box that cannot reach the leader. */
  private async relay(request: ControlRequest): Promise<ControlReply> {
    const answer = await this.parts.link.call(
      this.target(),
      CONTROL_SERVICE,
      request,
      CONTROL_CALL_MS,
    );
    if (answer.isErr()) {
      return {kind: 'not-leader', leader: undefined};
    }
    const reply = answer.value as ControlReply;
    if (reply.kind === 'not-leader') {
      this.follow(this.target(), reply.leader);
    }
    return reply;
  }
}

function unavailable(message: string): ControlFailure {
  return {kind: 'control-unavailable', message};
}
