/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Detects that nothing arrives from upstreams although several requests are waiting there.
 * A link that is lost without a reset shows only in this way: the operating system accepts
 * what is sent, and open connections seem to be well.
 */
import type {Clock} from 'shared';

import type {ServiceTraffic} from '../upstreams/UpstreamPool';
import {
  MAX_SILENCE_MS,
  MAX_SILENCE_STEP_MS,
  MIN_SILENCE_MS,
  MIN_SILENT_REQUESTS,
  MIN_SILENT_UPSTREAMS,
  USUAL_SILENCE_DECAY_MS,
  USUAL_SILENCE_FACTOR,
} from './TunnelConstants';

/** Whether so many requests are waiting that silence says something of the links. */
export function isSilenceTelling({
  requests,
  upstreams,
}: ServiceTraffic): boolean {
  return requests >= MIN_SILENT_REQUESTS && upstreams >= MIN_SILENT_UPSTREAMS;
}

/**
 * Compares the time without any read with how long such times usually last. Time during
 * which this edge itself was delayed does not count, as it read nothing then.
 */
export class SilenceDetector {
  private lastReads = 0;
  /** Time without reads so far, ms; undefined if too few requests are waiting. */
  private currentMs: number | undefined;
  /** Decaying maximum of the past times without reads, ms. */
  private usualSilenceMs = 0;
  private lastCheckAt: number;
  /** Whether the last check was so late that what has arrived may not have been read. */
  private wasDelayed = false;

  constructor(private readonly clock: Clock) {
    this.lastCheckAt = clock.now();
  }

  /** Time without reads at the last check, ms. */
  get silenceMs(): number {
    return this.currentMs ?? 0;
  }

  /**
   * Returns true if the silence is longer than usual. Called at a steady interval for as
   * long as enough requests are waiting, and once after that.
   */
  check(traffic: ServiceTraffic): boolean {
    const {reads} = traffic;
    const now = this.clock.now();
    const elapsedMs = now - this.lastCheckAt;
    this.lastCheckAt = now;
    this.decay(elapsedMs);
    // Between two delayed checks, what has arrived was read.
    const isDelayed = elapsedMs > MAX_SILENCE_STEP_MS;
    const isFirstDelay = isDelayed && !this.wasDelayed;
    this.wasDelayed = isDelayed;
    if (this.currentMs !== undefined) {
      this.currentMs += Math.min(elapsedMs, MAX_SILENCE_STEP_MS);
    }
    const isWaiting = isSilenceTelling(traffic);
    if (reads !== this.lastReads || !isWaiting) {
      this.usualSilenceMs = Math.max(this.usualSilenceMs, this.silenceMs);
      this.lastReads = reads;
      this.currentMs = isWaiting ? 0 : undefined;
      return false;
    }
    this.currentMs ??= 0;
    return this.currentMs >= this.thresholdMs && !isFirstDelay;
  }

  private get thresholdMs(): number {
    const usualMs = this.usualSilenceMs * USUAL_SILENCE_FACTOR;
    return Math.min(MAX_SILENCE_MS, Math.max(MIN_SILENCE_MS, usualMs));
  }

  private decay(elapsedMs: number): void {
    this.usualSilenceMs *= Math.exp(-elapsedMs / USUAL_SILENCE_DECAY_MS);
  }
}
