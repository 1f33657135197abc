/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against upstreams that are not reached because links of this edge are lost, and
 * against looking for crashed upstreams by way of all edges.
 */
import {jest} from '@jest/globals';
import {InMemoryDecisionLog} from 'puffinturn-decisions';
import type {ListenerState} from 'puffinturn-quarantine';
import {LISTENER_STATE} from 'puffinturn-quarantine';
import {invariant, ManualClock, Random, settleTasks} from 'shared';

import {CONNECT_TIMEOUT} from '../../connections/Exchange';
import {EdgeMetrics} from '../../EdgeMetrics';
import {DirectLinks} from '../../tunnels/DirectLinks';
import {
  BYPASS_CHECK_INTERVAL_MS,
  BYPASS_CHECK_TIMEOUT_MS,
  MAX_SILENCE_MS,
  PROBE_INTERVAL_MS,
  SILENCE_CHECK_INTERVAL_MS,
  UNREACHABLE_BACKOFF_MS,
  VERIFICATION_INTERVAL_MS,
  VERIFICATION_TIMEOUT_MS,
} from '../../tunnels/TunnelConstants';
import type {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import {UpstreamPool} from '../../upstreams/UpstreamPool';
import {makeUpstream} from '../utils/EdgeFixture';

const ENGINES = 5;
const PLAIN_UPSTREAMS = 3;

/** Links of an edge to two services, with probes that tests answer. */
class LinksFixture implements AsyncDisposable {
  readonly clock = new ManualClock();
  readonly log = new InMemoryDecisionLog();
  readonly pool = new UpstreamPool(this.clock, this.log);
  /** Hosts that can't be reached. */
  readonly unreachable = new Set<string>();
  failedState: ListenerState = LISTENER_STATE.refused;
  /** Whether other edges can connect to upstreams. */
  isReachedByOthers = false;
  /** Time that probes take by the own links, and by other edges, ms. */
  roundTripMs = 0;
  roundTripByOthersMs = 0;
  /** Whether probes beside those by other edges time out. */
  areChecksSlow = false;
  probeCount = 0;
  readonly links: DirectLinks;

  constructor() {
    for (let index = 1; index <= ENGINES + PLAIN_UPSTREAMS; index += 1) {
      const service = index <= ENGINES ? 'engines' : 'plain';
      const address = `10.0.0.${index}:80`;
      this.pool.merge([makeUpstream(`i-${index}`, {address, service})], 'test');
    }
    this.links = new DirectLinks({
      clock: this.clock,
      log: this.log,
      metrics: new EdgeMetrics(),
      pool: this.pool,
      probe: (host, _, timeoutMs) => this.probe(host, timeoutMs),
      probeByOthers: () => this.probeByOthers(),
      random: new Random(1),
    });
  }

  private async probe(
    host: string,
    timeoutMs = Infinity,
  ): Promise<ListenerState> {
    this.probeCount += 1;
    if (this.areChecksSlow && timeoutMs === BYPASS_CHECK_TIMEOUT_MS) {
      await this.clock.sleep(timeoutMs);
    } else if (this.roundTripMs > 0) {
      await this.clock.sleep(Math.min(timeoutMs, this.roundTripMs));
    }
    return this.unreachable.has(host) || this.roundTripMs > timeoutMs
      ? this.failedState
      : LISTENER_STATE.listening;
  }

  private async probeByOthers(): Promise<boolean> {
    if (this.roundTripByOthersMs > 0) {
      await this.clock.sleep(this.roundTripByOthersMs);
    }
    return this.isReachedByOthers;
  }

  /** Counts how often requests to a service are told of a way around its links. */
  countBypasses(service: string): {count: number} & Disposable {
    const counter = {
      count: 0,
      [Symbol.dispose]: () => watch[Symbol.dispose](),
    };
    const watch = this.links.watchRequest(service, {
      onBypass: async () => void (counter.count += 1),
      onHang: () => undefined,
    });
    return counter;
  }

  /** Lets the links to a service hang for good while other edges can connect. */
  async hang(service: string): Promise<void> {
    this.failedState = LISTENER_STATE.unknown;
    this.isReachedByOthers = true;
    await this.lose(service, CONNECT_TIMEOUT);
  }

  /** Counts `reads.count` as the reads from all services. */
  countReads(): {count: number} {
    const reads = {count: 0};
    const traffic = {requests: 0, upstreams: 0};
    jest
      .spyOn(this.pool, 'trafficOf')
      .mockImplementation(() => ({...traffic, reads: reads.count}));
    return reads;
  }

  /** Registers one more upstream. */
  addUpstream(host: string, service: string): EdgeUpstream {
    const id = `i-${host}`;
    const record = makeUpstream(id, {address: `${host}:80`, service});
    this.pool.merge([record], 'test');
    const upstream = this.pool.find(id);
    invariant(upstream !== undefined, 'the new upstream is missing');
    return upstream;
  }

  /** Cuts off all upstreams of a service; returns them once the loss is found. */
  async lose(
    service: string,
    cause?: string,
  ): Promise<readonly EdgeUpstream[]> {
    const upstreams = this.upstreams(service);
    this.cut(upstreams);
    await this.failConnect(upstreams[0], cause);
    return upstreams;
  }

  upstreams(service: string): readonly EdgeUpstream[] {
    return this.pool.servingUpstreams(service);
  }

  cut(upstreams: readonly EdgeUpstream[]): void {
    upstreams.forEach(({host}) => this.unreachable.add(host));
  }

  /** Reports a failed connection to an upstream and waits for the verification. */
  async failConnect(
    upstream: EdgeUpstream | undefined,
    cause = 'ECONNREFUSED',
  ) {
    if (upstream !== undefined) {
      this.links.recordUnsent(upstream, {blame: 'link', cause, kind: 'unsent'});
    }
    await settleTasks();
  }

  /** Number of upstreams of a service that need a tunnel. */
  countTunnels(service: string): number {
    return this.upstreams(service).filter((upstream) =>
      this.links.needsTunnel(upstream),
    ).length;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const disposed = this.links[Symbol.asyncDispose]();
    await this.clock.advance(BYPASS_CHECK_TIMEOUT_MS);
    await disposed;
    this.pool[Symbol.dispose]();
  }
}

/** Lets each step be handled before the next one. */
async function advanceInSteps(clock: ManualClock, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += PROBE_INTERVAL_MS) {
    await clock.advance(PROBE_INTERVAL_MS);
    await settleTasks();
  }
}

describe('DirectLinks', () => {
  test('uses tunnels to all upstreams once none of a few responds', async () => {
    await using fixture = new LinksFixture();
    const engines = fixture.upstreams('engines');
    fixture.cut([...engines, ...fixture.upstreams('plain')]);
    await fixture.failConnect(engines[0]);
    expect(fixture.links.areAllLost).toBe(true);
    expect(fixture.countTunnels('engines')).toBe(ENGINES);
    expect(fixture.countTunnels('plain')).toBe(PLAIN_UPSTREAMS);
    expect(engines.every(({isPaused}) => !isPaused)).toBe(true);
  });

  test('blames a single upstream whose siblings respond', async () => {
    await using fixture = new LinksFixture();
    const [crashed, ...others] = fixture.upstreams('engines');
    fixture.cut(crashed === undefined ? [] : [crashed]);
    await fixture.failConnect(crashed);
    expect(fixture.links.areLost('engines')).toBe(false);
    expect(crashed?.isUnreachable).toBe(true);
    expect(others.some((other) => fixture.links.needsTunnel(other))).toBe(
      false,
    );
  });

  test('loses one service and keeps the other', async () => {
    await using fixture = new LinksFixture();
    await fixture.lose('engines');
    expect(fixture.links.areLost('engines')).toBe(true);
    expect(fixture.links.areLost('plain')).toBe(false);
    expect(fixture.links.areAllLost).toBe(false);
  });

  test('returns to one upstream after the other', async () => {
    await using fixture = new LinksFixture();
    await fixture.lose('engines');
    fixture.unreachable.clear();
    const counts: number[] = [];
    for (let step = 0; step < ENGINES; step += 1) {
      await fixture.clock.advance(PROBE_INTERVAL_MS);
      await settleTasks();
      counts.push(fixture.countTunnels('engines'));
    }
    expect(counts).toEqual([4, 3, 2, 1, 0]);
    expect(fixture.links.areLost('engines')).toBe(false);
  });

  /** Guards against runners that replace lost ones and never get a request. */
  test('ends the loss of a service at an upstream that replaces those lost for good', async () => {
    await using fixture = new LinksFixture();
    await fixture.lose('engines');
    const replacing = fixture.addUpstream('10.0.1.1', 'engines');
    expect(fixture.links.needsTunnel(replacing)).toBe(true);
    await fixture.clock.advance(PROBE_INTERVAL_MS);
    await settleTasks();
    expect(fixture.links.areLost('engines')).toBe(false);
    expect(fixture.links.needsTunnel(replacing)).toBe(false);
    expect(fixture.countTunnels('engines')).toBe(ENGINES);
  });

  test('goes on with the lost upstreams if one that registers does not respond', async () => {
    await using fixture = new LinksFixture();
    const [first] = await fixture.lose('engines');
    fixture.addUpstream('10.0.1.1', 'engines');
    fixture.unreachable.add('10.0.1.1');
    await fixture.clock.advance(PROBE_INTERVAL_MS);
    await settleTasks();
    fixture.unreachable.delete(first?.host ?? '');
    for (let step = 0; step < ENGINES; step += 1) {
      await fixture.clock.advance(PROBE_INTERVAL_MS);
      await settleTasks();
    }
    expect(fixture.links.areLost('engines')).toBe(false);
  });

  test('asks for no tunnel for a while if other edges fail too', async () => {
    await using fixture = new LinksFixture();
    const [gone] = await fixture.lose('engines');
    if (gone !== undefined) {
      const cause = 'upstream-unreachable';
      fixture.links.recordUnsent(gone, {
        blame: 'upstream',
        cause,
        kind: 'unsent',
      });
    }
    expect(fixture.countTunnels('engines')).toBe(ENGINES - 1);
    expect(gone?.isPaused).toBe(true);
    await fixture.clock.advance(UNREACHABLE_BACKOFF_MS);
    expect(fixture.countTunnels('engines')).toBe(ENGINES);
  });

  test.each([
    [LISTENER_STATE.unknown, CONNECT_TIMEOUT, 1],
    [LISTENER_STATE.refused, 'ECONNREFUSED', 0],
  ])(
    'if probes end as %s, attempts in progress end: %s',
    async (state, cause, ended) => {
      await using fixture = new LinksFixture();
      const engines = fixture.upstreams('engines');
      fixture.failedState = state;
      fixture.cut(engines);
      let endedCount = 0;
      using _listener = fixture.links.watchRequest('engines', {
        onBypass: async () => undefined,
        onHang: () => (endedCount += 1),
      });
      await fixture.failConnect(engines[0], cause);
      expect(endedCount).toBe(ended);
    },
  );

  /** Guards against responses that are ended although no other way is better. */
  test('reports a way around links that hang once another edge has connected', async () => {
    await using fixture = new LinksFixture();
    const engines = fixture.upstreams('engines');
    fixture.failedState = LISTENER_STATE.unknown;
    fixture.cut(engines);
    using bypasses = fixture.countBypasses('engines');
    await fixture.failConnect(engines[0], CONNECT_TIMEOUT);
    await advanceInSteps(fixture.clock, 5 * BYPASS_CHECK_INTERVAL_MS);
    expect(fixture.links.areLost('engines')).toBe(true);
    expect(bypasses.count).toBe(0);
    fixture.isReachedByOthers = true;
    await advanceInSteps(fixture.clock, 2 * BYPASS_CHECK_INTERVAL_MS);
    expect(bypasses.count).toBeGreaterThan(0);
  });

  test('reports no way around links that are as slow by other edges', async () => {
    await using fixture = new LinksFixture();
    const engines = fixture.upstreams('engines');
    fixture.failedState = LISTENER_STATE.unknown;
    fixture.isReachedByOthers = true;
    fixture.roundTripMs = 3 * VERIFICATION_TIMEOUT_MS;
    fixture.roundTripByOthersMs = fixture.roundTripMs + 1;
    using bypasses = fixture.countBypasses('engines');
    await fixture.failConnect(engines[0], CONNECT_TIMEOUT);
    await fixture.clock.advance(VERIFICATION_TIMEOUT_MS);
    expect(fixture.links.areLost('engines')).toBe(true);
    await advanceInSteps(fixture.clock, 2 * fixture.roundTripMs);
    expect(bypasses.count).toBe(0);
    expect(fixture.links.areLost('engines')).toBe(false);
  });

  /** Guards against responses that are ended although what they wait for is arriving. */
  test('reports no way around links over which bytes arrive', async () => {
    await using fixture = new LinksFixture();
    const reads = fixture.countReads();
    fixture.roundTripByOthersMs = PROBE_INTERVAL_MS;
    using bypasses = fixture.countBypasses('engines');
    await fixture.hang('engines');
    for (let step = 0; step < 20; step += 1) {
      reads.count += 1;
      await advanceInSteps(fixture.clock, PROBE_INTERVAL_MS);
    }
    expect(bypasses.count).toBe(0);
    await advanceInSteps(fixture.clock, 3 * BYPASS_CHECK_INTERVAL_MS);
    expect(bypasses.count).toBeGreaterThan(0);
  });

  test('lets no further request leave its link once bytes arrive', async () => {
    await using fixture = new LinksFixture();
    const reads = fixture.countReads();
    let leftCount = 0;
    const listener = {
      onBypass: async () => {
        leftCount += 1;
        reads.count += 1;
      },
      onHang: () => undefined,
    };
    using _first = fixture.links.watchRequest('engines', {...listener});
    using _second = fixture.links.watchRequest('engines', {...listener});
    await fixture.hang('engines');
    await advanceInSteps(fixture.clock, BYPASS_CHECK_INTERVAL_MS);
    expect(leftCount).toBe(1);
  });

  /** Guards against many requests that all leave their links for one free place. */
  test('lets requests leave their links one after the other', async () => {
    await using fixture = new LinksFixture();
    let leavingCount = 0;
    let leftCount = 0;
    let mostLeaving = 0;
    const listener = {
      onBypass: async () => {
        leavingCount += 1;
        mostLeaving = Math.max(mostLeaving, leavingCount);
        await settleTasks();
        leavingCount -= 1;
        leftCount += 1;
      },
      onHang: () => undefined,
    };
    using _first = fixture.links.watchRequest('engines', {...listener});
    using _second = fixture.links.watchRequest('engines', {...listener});
    await fixture.hang('engines');
    await advanceInSteps(fixture.clock, BYPASS_CHECK_INTERVAL_MS);
    expect(leftCount).toBeGreaterThan(1);
    expect(mostLeaving).toBe(1);
  });

  /** Guards against requests that wait for the next search until a probe has timed out. */
  test('looks for a way around again while its own probe gets no reply', async () => {
    await using fixture = new LinksFixture();
    fixture.areChecksSlow = true;
    using bypasses = fixture.countBypasses('engines');
    await fixture.hang('engines');
    await advanceInSteps(fixture.clock, BYPASS_CHECK_TIMEOUT_MS);
    expect(bypasses.count).toBeGreaterThan(2);
  });

  test('goes on with attempts at a single upstream that is silent', async () => {
    await using fixture = new LinksFixture();
    const address = '10.0.1.1:80';
    fixture.pool.merge(
      [makeUpstream('i-9', {address, service: 'single'})],
      'test',
    );
    const single = fixture.upstreams('single');
    fixture.failedState = LISTENER_STATE.unknown;
    fixture.cut(single);
    let endedCount = 0;
    using _listener = fixture.links.watchRequest('single', {
      onBypass: async () => void (endedCount += 1),
      onHang: () => (endedCount += 1),
    });
    await fixture.failConnect(single[0], CONNECT_TIMEOUT);
    expect(fixture.links.areLost('single')).toBe(true);
    expect(endedCount).toBe(0);
  });

  test('verifies links whose open requests get no answer', async () => {
    await using fixture = new LinksFixture();
    const engines = fixture.upstreams('engines');
    await fixture.clock.advance(5_000);
    fixture.cut(engines);
    using _listener = fixture.links.watchRequest('engines', {
      onBypass: async () => undefined,
      onHang: () => undefined,
    });
    for (const engine of engines) {
      engine.inFlight = 1;
    }
    await fixture.clock.advance(MAX_SILENCE_MS + SILENCE_CHECK_INTERVAL_MS);
    expect(fixture.links.areLost('engines')).toBe(true);
  });

  test('verifies links again that failed just after a verification', async () => {
    await using fixture = new LinksFixture();
    const engines = fixture.upstreams('engines');
    await fixture.failConnect(engines[0]);
    const {probeCount} = fixture;
    fixture.cut(engines);
    await fixture.failConnect(engines[0]);
    expect(fixture.probeCount).toBe(probeCount);
    await fixture.clock.advance(
      VERIFICATION_INTERVAL_MS + SILENCE_CHECK_INTERVAL_MS,
    );
    expect(fixture.links.areLost('engines')).toBe(true);
  });

  /** Guards against edges that cost processor time while nobody calls them. */
  test('waits without a timer while there are no requests', async () => {
    await using fixture = new LinksFixture();
    await fixture.clock.advance(1);
    const sleep = jest.spyOn(fixture.clock, 'sleep');
    await fixture.clock.advance(10 * SILENCE_CHECK_INTERVAL_MS);
    expect(sleep).not.toHaveBeenCalled();
  });

  test('does not probe while nothing fails', async () => {
    await using fixture = new LinksFixture();
    await fixture.clock.advance(5_000);
    expect(fixture.probeCount).toBe(0);
  });
});
