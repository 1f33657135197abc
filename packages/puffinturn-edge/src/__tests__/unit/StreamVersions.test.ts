/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against resumed streams that are sent to a version which did not begin them. */
import type {IncomingMessage, ServerResponse} from 'node:http';

import {InMemoryDecisionLog, RESUMPTION_OUTCOME} from 'puffinturn-decisions';
import type {Route} from 'puffinturn-fleet';
import {RETRY_POLICY, UPSTREAM_STATE, VERSION_LEASE_MS} from 'puffinturn-fleet';
import type {KeyedOrigin, Lookup, OriginQuery} from 'puffinturn-streams';
import {LOOKUP, streamKey} from 'puffinturn-streams';
import {ManualClock, SuspensionDetector} from 'shared';

import {CallerRequest} from '../../callers/CallerRequest';
import {EdgeMetrics} from '../../EdgeMetrics';
import type {RequestPlan} from '../../requests/RequestPlan';
import {RouteTable} from '../../requests/RouteTable';
import {isResumption, StreamVersions} from '../../streams/StreamVersions';
import {VersionHistory} from '../../streams/VersionHistory';
import type {EdgeUpstream} from '../../upstreams/EdgeUpstream';
import {makeConfiguration} from '../utils/EdgeFixture';
import {createRoute, TestProtocol} from '../utils/ForwardingFixture';
import {collectBody} from '../utils/serverParts';

const LIFETIME_MS = 30_000;
const ROUTE = createRoute('stream', {
  repetition: RETRY_POLICY.resumable,
  streams: true,
});
const SPLIT_ROUTE = {
  ...ROUTE,
  targets: [
    {service: 's', weight: 9},
    {service: 'o', weight: 1},
  ],
};
const SERVICES = ['s', 'o'].map((name) => ({
  engine: undefined,
  maxConnections: 9,
  name,
}));

function tableOf(route: Route, version = 1): RouteTable {
  return new RouteTable(
    makeConfiguration(version, {routes: [route], services: SERVICES}),
  );
}

function callerWith(headers: Record<string, string>): CallerRequest {
  const incoming = {headers, method: 'POST', url: '/stream/1'};
  const request = incoming as unknown as IncomingMessage;
  return new CallerRequest(
    request,
    {} as ServerResponse,
    new TestProtocol().headers,
    {arrivedAt: 0, readAt: 0},
    collectBody(request),
  );
}

const RESUMING = callerWith({
  'x-last-event': '4',
  'x-request': 'q2',
  'x-resumes': 'q1',
});
const UNNAMED = callerWith({'x-last-event': '4', 'x-request': 'q2'});

/** Resolves resumptions with a given result of the lookup. */
class Fixture {
  readonly clock = new ManualClock();
  readonly log = new InMemoryDecisionLog();
  readonly versions = new VersionHistory(this.clock, () => LIFETIME_MS);
  readonly replicated: string[] = [];
  readonly replicatedServices: string[] = [];
  readonly queries: OriginQuery[] = [];
  /** Time since the versions were confirmed, ms. */
  stateAgeMs = 0;
  lookup: Lookup = {kind: LOOKUP.absent};
  /** The result of a lookup without a key if it differs. */
  listLookup: Lookup | undefined;
  readonly streams = new StreamVersions({
    clock: this.clock,
    log: this.log,
    metrics: new EdgeMetrics(),
    origins: {
      find: async (query) => {
        this.queries.push(query);
        return query.key === undefined
          ? (this.listLookup ?? this.lookup)
          : this.lookup;
      },
      remember: () => undefined,
      replicate: ({version}: KeyedOrigin) => void this.replicated.push(version),
      replicateService: (service) => this.replicatedServices.push(service),
    },
    stateAgeMs: () => this.stateAgeMs,
    suspension: new SuspensionDetector(
      this.clock,
      () => (this.stateAgeMs = Infinity),
    ),
    versions: this.versions,
  });
  private revision = 0;

  /** A control box lists these versions, the oldest first. */
  register(...versions: string[]): void {
    this.revision += 1;
    this.versions.applyRegistered(
      {
        revision: this.revision,
        versions: versions.map((version, index) => ({
          number: index + 1,
          service: 's',
          version,
        })),
      },
      true,
    );
  }

  /** Upstreams of these versions are known, whether or not the versions are listed. */
  addUpstreams(...versions: string[]): void {
    const state = UPSTREAM_STATE.ready;
    this.versions.update(
      versions.map((version) => ({service: 's', state, version})),
    );
  }

  async resolve(caller = RESUMING, route: Route = ROUTE): Promise<string> {
    const plan = planOf(route);
    const resumption = await this.streams.resolve(caller, plan, tableOf(route));
    return resumption === undefined
      ? 'refused'
      : `${resumption.service} ${resumption.version}`;
  }

  get outcomes(): string[] {
    return this.log.decisions.flatMap((line) =>
      line.event === 'stream-matched' ? [line.outcome] : [],
    );
  }
}

function planOf(route: Route): RequestPlan {
  const [service] = SERVICES;
  if (service === undefined) {
    throw new Error('no service');
  }
  return {
    promptParts: [],
    route,
    service,
    team: undefined,
    tokenCounts: undefined,
  };
}

function foundAt(service: string, version: string): Lookup {
  const origin = {attempt: 1, service, version};
  return {ageMs: 5, kind: LOOKUP.found, origin, source: 'e2'};
}

describe('A stream that a caller resumes', () => {
  test('goes on at the version that began it, though this edge prefers another', async () => {
    const fixture = new Fixture();
    fixture.register('v1', 'v2');
    fixture.lookup = foundAt('s', 'v1');
    expect(await fixture.resolve()).toBe('s v1');
    expect(fixture.queries).toEqual([
      {key: streamKey(undefined, 'q1'), service: 's', unsureMs: Infinity},
    ]);
  });

  test('goes on at the version that began it, though this edge knows another only', async () => {
    const fixture = new Fixture();
    fixture.register('v2');
    fixture.lookup = foundAt('s', 'v1');
    expect(await fixture.resolve()).toBe('s v1');
  });

  test('goes on at the service that began it on a divided route', async () => {
    const fixture = new Fixture();
    fixture.register('v1');
    fixture.lookup = foundAt('o', 'v1');
    expect(await fixture.resolve(RESUMING, SPLIT_ROUTE)).toBe('o v1');
  });

  test('is refused if the route no longer leads to the service that began it', async () => {
    const fixture = new Fixture();
    fixture.register('v1');
    fixture.lookup = foundAt('o', 'v1');
    expect(await fixture.resolve()).toBe('refused');
    expect(fixture.outcomes).toEqual([RESUMPTION_OUTCOME.serviceRemoved]);
  });

  test.each([RESUMING, UNNAMED])(
    'goes on at the only listed version if its origin is not known',
    async (caller) => {
      const fixture = new Fixture();
      fixture.register('v1');
      for (const kind of [LOOKUP.absent, LOOKUP.unknown, LOOKUP.unreachable]) {
        fixture.lookup = {kind};
        expect(await fixture.resolve(caller)).toBe('s v1');
      }
    },
  );

  test.each([RESUMING, UNNAMED])(
    'is refused if its origin is not known and the service has several versions',
    async (caller) => {
      const fixture = new Fixture();
      fixture.register('v1', 'v2');
      for (const kind of [LOOKUP.absent, LOOKUP.unknown, LOOKUP.unreachable]) {
        fixture.lookup = {kind};
        expect(await fixture.resolve(caller)).toBe('refused');
      }
    },
  );

  test.each([RESUMING, UNNAMED])(
    'is refused if upstreams name one version, and no control box has listed it',
    async (caller) => {
      const fixture = new Fixture();
      fixture.addUpstreams('v2');
      for (const kind of [LOOKUP.absent, LOOKUP.unknown, LOOKUP.unreachable]) {
        fixture.lookup = {kind};
        expect(await fixture.resolve(caller)).toBe('refused');
      }
    },
  );

  test.each([RESUMING, UNNAMED])(
    'is refused if upstreams name a version that is not listed yet',
    async (caller) => {
      const fixture = new Fixture();
      fixture.register('v1');
      fixture.addUpstreams('v1', 'v2');
      expect(await fixture.resolve(caller)).toBe('refused');
      fixture.lookup = {kind: LOOKUP.absent, versions: ['v1']};
      fixture.stateAgeMs = Infinity;
      expect(await fixture.resolve(caller)).toBe('refused');
    },
  );

  test('is looked up without a name only if the list is old', async () => {
    const fixture = new Fixture();
    fixture.register('v1');
    expect(await fixture.resolve(UNNAMED)).toBe('s v1');
    expect(fixture.queries).toEqual([]);
    fixture.stateAgeMs = VERSION_LEASE_MS;
    fixture.lookup = {kind: LOOKUP.unknown};
    expect(await fixture.resolve(UNNAMED)).toBe('refused');
    expect(fixture.queries).toHaveLength(1);
    fixture.lookup = {kind: LOOKUP.unknown, listShare: 1};
    expect(await fixture.resolve(UNNAMED)).toBe('s v1');
    fixture.lookup = {kind: LOOKUP.unknown, listShare: 0.9};
    expect(await fixture.resolve(UNNAMED)).toBe('refused');
    fixture.lookup = {hasLease: true, kind: LOOKUP.unknown};
    expect(await fixture.resolve(UNNAMED)).toBe('s v1');
  });

  // The clock had not counted the time, and the detector looks only once a second by itself.
  test('is not taken for one of the only version by a lease from before a suspension', async () => {
    const fixture = new Fixture();
    fixture.register('v1');
    expect(fixture.streams.hasLease).toBe(true);
    fixture.clock.suspend(5_000);
    expect(fixture.streams.hasLease).toBe(false);
    fixture.stateAgeMs = 0;
    fixture.clock.suspend(5_000);
    fixture.lookup = {kind: LOOKUP.unknown};
    expect(await fixture.resolve(UNNAMED)).toBe('refused');
  });

  test('goes on by an old list only if enough boxes have run since', async () => {
    const fixture = new Fixture();
    fixture.register('v1');
    fixture.stateAgeMs = VERSION_LEASE_MS;
    fixture.lookup = {kind: LOOKUP.absent, listShare: 0.5};
    expect(await fixture.resolve()).toBe('refused');
    fixture.lookup = {kind: LOOKUP.absent, listShare: 0.6};
    expect(await fixture.resolve()).toBe('s v1');
    expect(fixture.queries.at(-1)?.unsureMs).toBe(VERSION_LEASE_MS);
    fixture.lookup = {kind: LOOKUP.unknown};
    expect(await fixture.resolve()).toBe('refused');
  });

  test.each([RESUMING, UNNAMED])(
    'is refused by an old list if no box replies, or one with a newer list',
    async (caller) => {
      const fixture = new Fixture();
      fixture.register('v1');
      fixture.stateAgeMs = VERSION_LEASE_MS;
      fixture.lookup = {kind: LOOKUP.unreachable};
      expect(await fixture.resolve(caller)).toBe('refused');
      fixture.lookup = {kind: LOOKUP.absent, versionsRevision: 2};
      expect(await fixture.resolve(caller)).toBe('refused');
    },
  );

  // The second lookup hid what the first had told.
  test('is refused if a box with a newer list replied only to the first question', async () => {
    const fixture = new Fixture();
    fixture.register('v1');
    fixture.stateAgeMs = VERSION_LEASE_MS;
    fixture.lookup = {kind: LOOKUP.absent, versionsRevision: 2};
    fixture.listLookup = {kind: LOOKUP.unknown, listShare: 0.6};
    expect(await fixture.resolve()).toBe('refused');
    expect(fixture.queries).toHaveLength(1);
    fixture.lookup = {kind: LOOKUP.absent, versionsRevision: 1};
    expect(await fixture.resolve()).toBe('s v1');
    fixture.listLookup = {...fixture.listLookup, versionsRevision: 2};
    expect(await fixture.resolve()).toBe('refused');
  });

  test('goes on by the list that a control box replies with', async () => {
    const fixture = new Fixture();
    fixture.register('v1');
    fixture.lookup = {kind: LOOKUP.unknown, versions: ['v1', 'v2']};
    expect(await fixture.resolve()).toBe('refused');
    fixture.lookup = {kind: LOOKUP.absent, versions: ['v1', 'v2']};
    expect(await fixture.resolve()).toBe('refused');
    fixture.lookup = {...fixture.lookup, hasNoGap: true};
    expect(await fixture.resolve()).toBe('s v1');
    fixture.stateAgeMs = Infinity;
    fixture.lookup = {kind: LOOKUP.unknown, versions: ['v2']};
    expect(await fixture.resolve()).toBe('s v2');
    fixture.lookup = {kind: LOOKUP.absent, versions: []};
    expect(await fixture.resolve()).toBe('refused');
  });

  test('is refused on a divided route if its origin is not known', async () => {
    const fixture = new Fixture();
    fixture.register('v1');
    expect(await fixture.resolve(RESUMING, SPLIT_ROUTE)).toBe('refused');
  });

  test('goes on at the former version if no edge knew another when it began', async () => {
    const fixture = new Fixture();
    fixture.register('v1');
    await fixture.clock.advance(10);
    fixture.register('v1', 'v2');
    expect(await fixture.resolve()).toBe('refused');
    fixture.lookup = {hasNoGap: true, kind: LOOKUP.absent};
    expect(await fixture.resolve()).toBe('s v1');
    fixture.lookup = {kind: LOOKUP.unknown};
    expect(await fixture.resolve()).toBe('refused');
    fixture.lookup = {hasNoGap: true, kind: LOOKUP.absent};
    await fixture.clock.advance(LIFETIME_MS);
    expect(await fixture.resolve()).toBe('refused');
  });
});

describe('The version of an attempt', () => {
  const upstream = {id: 'u', version: 'v1'} as EdgeUpstream;

  test('is replicated only if another edge could choose another one', () => {
    const fixture = new Fixture();
    const {streams} = fixture;
    fixture.register('v1');
    streams.recordAttempt(RESUMING, planOf(ROUTE), upstream, 1);
    expect(fixture.replicated).toEqual([]);
    streams.recordAttempt(RESUMING, planOf(SPLIT_ROUTE), upstream, 1);
    fixture.register('v1', 'v2');
    streams.recordAttempt(RESUMING, planOf(ROUTE), upstream, 1);
    expect(fixture.replicated).toEqual(['v1', 'v1']);
  });

  test('is replicated once the route gets other services', () => {
    const fixture = new Fixture();
    fixture.streams.applyRoutes(tableOf(ROUTE), tableOf(ROUTE, 2));
    expect(fixture.replicatedServices).toEqual([]);
    fixture.streams.applyRoutes(tableOf(ROUTE), tableOf(SPLIT_ROUTE, 2));
    expect(fixture.replicatedServices).toEqual(['s']);
  });

  test('is replicated once a service of the route that got no requests gets some', () => {
    const fixture = new Fixture();
    const unused = {
      ...ROUTE,
      targets: [
        {service: 's', weight: 1},
        {service: 'o', weight: 0},
      ],
    };
    fixture.streams.applyRoutes(tableOf(unused), tableOf(ROUTE, 2));
    expect(fixture.replicatedServices).toEqual([]);
    fixture.streams.applyRoutes(tableOf(unused), tableOf(SPLIT_ROUTE, 2));
    expect(fixture.replicatedServices).toEqual(['s']);
  });
});

describe('A request', () => {
  test('resumes a stream if it names its first request or last event', () => {
    expect(isResumption(RESUMING, ROUTE)).toBe(true);
    expect(isResumption(UNNAMED, ROUTE)).toBe(true);
    const empty = callerWith({'x-last-event': '', 'x-resumes': ''});
    expect(isResumption(empty, ROUTE)).toBe(false);
    expect(isResumption(RESUMING, createRoute('look'))).toBe(false);
  });
});
