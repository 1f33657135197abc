/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against taking the end of a connection for that of a response without proof. */
import type {AddressInfo} from 'node:net';
import {createServer} from 'node:net';

import {NoopDecisionLog} from 'puffinturn-decisions';
import type {UpstreamRecord} from 'puffinturn-fleet';
import {SystemClock} from 'shared';

import type {EndEvidence, ShutdownTiming} from '../../connections/EndEvidence';
import {
  END_EVIDENCE,
  findEndEvidence,
  isCompleteEnd,
} from '../../connections/EndEvidence';
import {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import {makeUpstream} from '../utils/EdgeFixture';
import {TestUpstream} from '../utils/ForwardingFixture';

const TIMING = {clock: new SystemClock(), drainMs: 2_000};

/** When the requests of these tests were sent, monotonic ms. */
const SENT_AT = TIMING.clock.now();

/** What the edge knows when a connection has ended. */
interface EdgeView {
  readonly areLinksLost?: boolean;
  readonly askOther?: () => Promise<EndEvidence>;
  readonly sentAt?: number;
  readonly timing?: ShutdownTiming;
}

function makeEdgeUpstream(record: UpstreamRecord): EdgeUpstream {
  return new EdgeUpstream(record, new SystemClock(), new NoopDecisionLog());
}

/** An upstream whose process has ended. */
async function startStopped(): Promise<EdgeUpstream> {
  await using server = await TestUpstream.start('i-1');
  return makeEdgeUpstream(server.record());
}

/** Checks the end of a connection to an upstream. */
function checkEnd(
  upstream: EdgeUpstream,
  {
    areLinksLost = false,
    askOther,
    sentAt = SENT_AT,
    timing = TIMING,
  }: EdgeView = {},
): Promise<EndEvidence> {
  return findEndEvidence(
    upstream,
    sentAt,
    timing,
    () => areLinksLost,
    askOther,
  );
}

describe('The end of a connection', () => {
  test('shows a crash if the upstream refuses connections', async () => {
    using upstream = await startStopped();
    const evidence = await checkEnd(upstream);
    expect(evidence).toBe(END_EVIDENCE.crashed);
    expect(isCompleteEnd(evidence, false)).toBe(false);
  });

  /** Guards against parts of answers that look complete, as the listener ends last. */
  test('shows a crash if the listener ends just after it', async () => {
    const server = createServer((socket) => {
      server.close();
      socket.resetAndDestroy();
    });
    await new Promise<void>((resolve) =>
      server.listen(0, '127.0.0.1', resolve),
    );
    const {port} = server.address() as AddressInfo;
    const record = makeUpstream('i-1', {address: `127.0.0.1:${port}`});
    using upstream = makeEdgeUpstream(record);
    const evidence = await checkEnd(upstream);
    expect(evidence).toBe(END_EVIDENCE.crashed);
  });

  test('shows a crash if another incarnation listens', async () => {
    await using server = await TestUpstream.start('i-1');
    using upstream = makeEdgeUpstream(server.record());
    expect(await checkEnd(upstream)).toBe(END_EVIDENCE.listening);
    upstream.markSuperseded();
    expect(await checkEnd(upstream)).toBe(END_EVIDENCE.crashed);
  });

  test('shows a crash if an upstream that drains has not deregistered', async () => {
    using upstream = await startStopped();
    upstream.markDraining();
    const evidence = await checkEnd(upstream);
    expect(evidence).toBe(END_EVIDENCE.crashed);
    expect(isCompleteEnd(evidence, false)).toBe(false);
  });

  test('completes a response of an upstream that drained and deregistered only if it cannot be repeated', async () => {
    using upstream = await startStopped();
    upstream.markDraining();
    const pending = checkEnd(upstream);
    setTimeout(() => upstream.markDeregistered(), 50);
    const evidence = await pending;
    expect(evidence).toBe(END_EVIDENCE.leaving);
    expect(isCompleteEnd(evidence, true)).toBe(false);
    expect(isCompleteEnd(evidence, false)).toBe(true);
  });

  test.each([
    ['shows a crash', 'the time', 60_000, END_EVIDENCE.crashed],
    ['may be in order', 'no time', 0, END_EVIDENCE.leaving],
  ])(
    '%s if an upstream that deregistered had %s left to serve',
    async (_outcome, _time, drainMs, expected) => {
      using upstream = await startStopped();
      upstream.markDeregistered();
      upstream.markGone();
      const timing = {...TIMING, drainMs};
      expect(await checkEnd(upstream, {timing})).toBe(expected);
    },
  );

  test('does not complete a response if a successor may listen in place of an upstream that shuts down', async () => {
    await using server = await TestUpstream.start('i-1');
    using upstream = makeEdgeUpstream(server.record());
    upstream.markDraining();
    const evidence = await checkEnd(upstream);
    expect(isCompleteEnd(evidence, true)).toBe(false);
    expect(isCompleteEnd(evidence, false)).toBe(true);
  });

  test('is checked by another edge while this one has no links', async () => {
    using upstream = await startStopped();
    const found: EndEvidence[] = [];
    for (const answer of [END_EVIDENCE.listening, END_EVIDENCE.crashed]) {
      const askOther = async () => answer;
      found.push(await checkEnd(upstream, {areLinksLost: true, askOther}));
    }
    expect(found).toEqual([END_EVIDENCE.listening, END_EVIDENCE.crashed]);
  });

  /** Guards against parts of answers that look complete, as a successor listens. */
  test('shows a crash if this edge found one before another edge saw a listener', async () => {
    using upstream = await startStopped();
    const askOther = async () => {
      upstream.markCrashed();
      return END_EVIDENCE.listening;
    };
    expect(await checkEnd(upstream, {areLinksLost: true, askOther})).toBe(
      END_EVIDENCE.crashed,
    );
  });

  test('shows no crash that was found before the request was sent', async () => {
    using upstream = await startStopped();
    upstream.markCrashed();
    const sentAt = TIMING.clock.now() + 1;
    const askOther = async () => END_EVIDENCE.listening;
    expect(
      await checkEnd(upstream, {areLinksLost: true, askOther, sentAt}),
    ).toBe(END_EVIDENCE.listening);
  });

  test('shows a departure if another edge saw a listener in place of one that leaves', async () => {
    using upstream = await startStopped();
    upstream.markDraining();
    const askOther = async () => END_EVIDENCE.listening;
    expect(await checkEnd(upstream, {areLinksLost: true, askOther})).toBe(
      END_EVIDENCE.leaving,
    );
  });

  test('completes no response if no edge can tell', async () => {
    using upstream = await startStopped();
    const evidence = await checkEnd(upstream, {areLinksLost: true});
    expect(evidence).toBe(END_EVIDENCE.unknown);
    expect(isCompleteEnd(evidence, false)).toBe(false);
  });
});
