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

/** Compares the time without any read with how long such times usually last. */
export class SilenceDetector {
  private lastReads = 0;
  /** Begin of the time without reads, monotonic ms; undefined if too few are waiting. */
  private silentSince: number | undefined;
  /** Decaying maximum of the past times without reads, ms. */
  private usualSilenceMs = 0;
  private lastCheckAt: number;

  constructor(private readonly clock: Clock) {
    this.lastCheckAt = clock.now();
  }

  /**
   * Returns true if the silence is longer than usual. Called at a steady interval for as
   * long as enough requests are waiting, and once after that.
   */
  check(traffic: ServiceTraffic): boolean {
    const {reads} = traffic;
    const now = this.clock.now();
    this.decay(now);
    const isWaiting = isSilenceTelling(traffic);
    if (reads !== this.lastReads || !isWaiting) {
      this.endSilence(now);
      this.lastReads = reads;
      this.silentSince = isWaiting ? now : undefined;
      return false;
    }
    this.silentSince ??= now;
    return now - this.silentSince >= this.thresholdMs;
  }

  private get thresholdMs(): number {
    const usualMs = this.usualSilenceMs * USUAL_SILENCE_FACTOR;
    return Math.min(MAX_SILENCE_MS, Math.max(MIN_SILENCE_MS, usualMs));
  }

  private endSilence(now: number): void {
    if (this.silentSince !== undefined) {
      const silenceMs = now - this.silentSince;
      this.usualSilenceMs = Math.max(this.usualSilenceMs, silenceMs);
    }
  }

  private decay(now: number): void {
    const elapsedMs = now - this.lastCheckAt;
    this.lastCheckAt = now;
    this.usualSilenceMs *= Math.exp(-elapsedMs / USUAL_SILENCE_DECAY_MS);
  }
}
