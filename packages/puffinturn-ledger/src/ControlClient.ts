/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Calls the leader of a region, with retries until a deadline and through another
 * box if the control boxes cannot be reached. Records are idempotent, so retries
 * are safe.
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
  ADMIT_CALL_MARGIN_MS,
  CONTROL_CALL_TIMEOUT_MS,
  CONTROL_RETRY_DELAY_MS,
  MAX_WAIT_PER_CALL_MS,
} from './LedgerConstants';
import type {LedgerOutcome} from './LedgerOutcomes';
import type {LedgerRecord} from './LedgerRecords';

const RELAY_SERVICE = 'relay';

/** Consecutive failed calls before a call goes through a relay. */
const FAILURES_BEFORE_RELAY = 3;

/** Dependencies and settings of a ControlClient. */
export interface ControlClientParts {
  readonly box: string;
  /** The region whose leader is called. */
  readonly region: string;
  readonly clock: Clock;
  readonly link: Link;
  /** Control boxes of the region. */
  readonly controlBoxes: readonly string[];
  /** Other boxes of the region, which can relay calls. */
  readonly relayBoxes: readonly string[];
}

/** Timeout of a submitted record, and the wait and priority of an admission. */
export interface SubmitOptions {
  readonly timeoutMs: number;
  readonly waitMs?: number;
  readonly priority?: number;
}

/** Client of a region's control boxes. */
export class ControlClient {
  private leader: string | undefined;
  private nextBox = 0;
  private consecutiveFailures = 0;

  constructor(private readonly parts: ControlClientParts) {}

  /**
   * Relays requests of boxes that cannot reach the leader, until the result is
   * disposed. Only the client for the box's own region may do this.
   */
  serveRelay(): Disposable {
    return this.parts.link.register(RELAY_SERVICE, (body) =>
      this.relayRequest(body as ControlRequest),
    );
  }

  /** Commits one record and returns its outcome. */
  submit(
    record: LedgerRecord,
    options: SubmitOptions,
  ): ResultAsync<LedgerOutcome, ControlFailure> {
    return new ResultAsync(this.submitWithRetries(record, options));
  }

  /** Calls the leader until it replies or the timeout expires. */
  call(
    request: ControlRequest,
    timeoutMs: number,
    callTimeoutMs = CONTROL_CALL_TIMEOUT_MS,
  ): ResultAsync<ControlReply, ControlFailure> {
    return new ResultAsync(
      this.callWithRetries(request, timeoutMs, callTimeoutMs),
    );
  }

  /**
   * Splits the wait of an admission into short calls, so that a partitioned leader
   * is noticed. The time waited so far keeps its position in the queue.
   */
  private async submitWithRetries(
    record: LedgerRecord,
    {priority = 5, timeoutMs, waitMs = 0}: SubmitOptions,
  ): Promise<Result<LedgerOutcome, ControlFailure>> {
    const {clock} = this.parts;
    const start = clock.now();
    let isFirstCall = true;
    for (;;) {
      const waitedMs = clock.now() - start;
      // The first call does not wait, so that an unresponsive leader is noticed early.
      const maxWaitMs = isFirstCall ? 0 : MAX_WAIT_PER_CALL_MS;
      const callWaitMs = Math.max(0, Math.min(waitMs - waitedMs, maxWaitMs));
      isFirstCall = false;
      const reply = await this.call(
        {
          kind: 'submit',
          priority,
          record,
          region: this.parts.region,
          waitMs: callWaitMs,
          waitedMs,
        },
        Math.max(1, timeoutMs - waitedMs),
        callWaitMs + ADMIT_CALL_MARGIN_MS,
      );
      if (reply.isErr()) {
        return err(reply.error);
      }
      if (reply.value.kind !== 'outcome') {
        return err(
          unavailableFailure(
            `unexpected reply of kind ${reply.value.kind} to a submit request`,
          ),
        );
      }
      const {outcome} = reply.value;
      const mayRetry = outcome.kind === 'insufficient' && outcome.mayWait;
      if (!mayRetry || clock.now() - start >= waitMs) {
        return ok(outcome);
      }
    }
  }

  private async callWithRetries(
    request: ControlRequest,
    timeoutMs: number,
    callTimeoutMs: number,
  ): Promise<Result<ControlReply, ControlFailure>> {
    const {clock} = this.parts;
    const deadline = clock.now() + timeoutMs;
    for (;;) {
      const remainingMs = deadline - clock.now();
      if (remainingMs <= 0) {
        return err(
          unavailableFailure(
            `no leader of region ${this.parts.region} replied within ${timeoutMs} ms`,
          ),
        );
      }
      const reply = await this.callOnce(
        request,
        Math.min(remainingMs, callTimeoutMs),
      );
      if (reply !== undefined) {
        return ok(reply);
      }
      await clock.sleep(Math.min(CONTROL_RETRY_DELAY_MS, remainingMs));
    }
  }

  private async callOnce(
    request: ControlRequest,
    callTimeoutMs: number,
  ): Promise<ControlReply | undefined> {
    const useRelay = this.consecutiveFailures >= FAILURES_BEFORE_RELAY;
    const target = useRelay ? this.nextRelay() : this.currentTarget();
    const service = useRelay ? RELAY_SERVICE : CONTROL_SERVICE;
    if (useRelay) {
      this.consecutiveFailures = 0;
    }
    const result = await this.parts.link.call(
      target,
      service,
      request,
      callTimeoutMs,
    );
    if (result.isErr()) {
      this.consecutiveFailures += 1;
      this.switchTarget(target);
      return undefined;
    }
    const reply = result.value as ControlReply;
    if (reply.kind === 'not-leader') {
      this.updateLeader(target, reply.leader);
      return undefined;
    }
    this.consecutiveFailures = 0;
    return reply.kind === 'failed' ? undefined : reply;
  }

  private currentTarget(): string {
    const {controlBoxes} = this.parts;
    return (
      this.leader ??
      controlBoxes[this.nextBox % controlBoxes.length] ??
      this.parts.box
    );
  }

  private nextRelay(): string {
    const {relayBoxes} = this.parts;
    this.nextBox += 1;
    return relayBoxes[this.nextBox % relayBoxes.length] ?? this.currentTarget();
  }

  private switchTarget(target: string): void {
    this.nextBox += 1;
    if (this.leader === target) {
      this.leader = undefined;
    }
  }

  private updateLeader(target: string, leader: string | undefined): void {
    if (leader === undefined || leader === target) {
      this.switchTarget(target);
    } else {
      this.leader = leader;
    }
  }

  /** Relays a request of a box that cannot reach the leader. */
  private async relayRequest(request: ControlRequest): Promise<ControlReply> {
    const result = await this.parts.link.call(
      this.currentTarget(),
      CONTROL_SERVICE,
      request,
      CONTROL_CALL_TIMEOUT_MS,
    );
    if (result.isErr()) {
      return {kind: 'not-leader', leader: undefined};
    }
    const reply = result.value as ControlReply;
    if (reply.kind === 'not-leader') {
      this.updateLeader(this.currentTarget(), reply.leader);
    }
    return reply;
  }
}

function unavailableFailure(message: string): ControlFailure {
  return {kind: 'control-unavailable', message};
}
