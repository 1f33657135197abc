/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against one request that crashes several upstreams. */
import type {ServerResponse} from 'node:http';

import {fingerprintOf} from 'puffinturn-quarantine';

import {makeUpstream} from '../utils/EdgeFixture';
import {
  createRoute,
  ForwardingFixture,
  TestUpstream,
  waitUntil,
} from '../utils/ForwardingFixture';

/** Fingerprint of the first request that the fixture sends. */
function firstFingerprint(address: string): string {
  return fingerprintOf({
    body: Buffer.alloc(0),
    caller: '',
    host: address,
    method: 'GET',
    path: '/look/1',
  });
}

function breakConnection(response: ServerResponse): void {
  response.destroy();
}

describe('Forwarding of crashing requests', () => {
  let first: TestUpstream;
  let second: TestUpstream;
  let fixture: ForwardingFixture;

  beforeEach(async () => {
    first = await TestUpstream.start('i-1');
    second = await TestUpstream.start('i-2');
    fixture = await ForwardingFixture.start([createRoute('look')]);
    fixture.pool.merge([first.record(), second.record()], 'c1');
  });

  afterEach(async () => {
    await fixture[Symbol.asyncDispose]();
    await first[Symbol.asyncDispose]();
    await second[Symbol.asyncDispose]();
  });

  function attemptCount(): number {
    return first.requestPaths.length + second.requestPaths.length;
  }

  function quarantineFirstRequest(): void {
    const fingerprints = [firstFingerprint(fixture.address)];
    fixture.quarantine.adopt({fingerprints, revision: 1, suspects: []}, 'c1');
  }

  test('rejects a quarantined request and forwards others', async () => {
    quarantineFirstRequest();
    const rejected = await fixture.sendRequest('look');
    expect([rejected.status, rejected.body]).toEqual([
      400,
      '{"error":"quarantined"}',
    ]);
    expect(attemptCount()).toBe(0);
    expect((await fixture.sendRequest('look')).status).toBe(200);
  });

  test('does not retry a request that was quarantined during an attempt', async () => {
    for (const upstream of [first, second]) {
      upstream.handler = (_, response) => {
        quarantineFirstRequest();
        breakConnection(response);
      };
    }
    expect((await fixture.sendRequest('look')).status).toBe(502);
    expect(attemptCount()).toBe(1);
  });

  test('does not retry a request that is one crash from quarantine', async () => {
    const fingerprints = [firstFingerprint(fixture.address)];
    const crashedUpstream = {
      markCrashed: () => undefined,
      record: makeUpstream('i-8'),
    };
    fixture.quarantine.recordCrash(
      {fingerprints, life: 'i-8'},
      crashedUpstream,
    );
    await new Promise((resolve) => setTimeout(resolve, 300));
    fixture.quarantine.recordCrash(
      {fingerprints, life: 'i-9'},
      crashedUpstream,
    );
    for (const upstream of [first, second]) {
      upstream.handler = (_, response) => breakConnection(response);
    }
    expect((await fixture.sendRequest('look')).status).toBe(502);
    expect(attemptCount()).toBe(1);
  });

  test('records a crash for a request in flight when its upstream stops listening', async () => {
    first.handler = () => void first[Symbol.asyncDispose]();
    second.handler = () => void second[Symbol.asyncDispose]();
    expect((await fixture.sendRequest('look')).status).toBe(502);
    const isCrash = ({event}: {event: string}) => event === 'upstream-crashed';
    await waitUntil(() => fixture.log.decisions.filter(isCrash).length === 2);
    expect(fixture.log.decisions.filter(isCrash)).toMatchObject([
      {count: 1, fingerprints: [firstFingerprint(fixture.address)]},
      {count: 1, fingerprints: [firstFingerprint(fixture.address)]},
    ]);
  });
});
