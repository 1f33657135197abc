/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {ServerResponse} from 'node:http';

import {fingerprintOf} from 'puffinturn-quarantine';

import {upstreamOf} from '../utils/EdgeFixture';
import {
  ServingFixture,
  servingRoute,
  TestUpstream,
  until,
} from '../utils/ServingFixture';

/** The first request of a fixture, as its upstreams see it. */
function firstRequest(address: string): string {
  return fingerprintOf({
    body: Buffer.alloc(0),
    caller: '',
    host: address,
    method: 'GET',
    path: '/look/1',
  });
}

function breaksOff(response: ServerResponse): void {
  response.destroy();
}

describe('A quarantined request', () => {
  let first: TestUpstream;
  let second: TestUpstream;
  let fixture: ServingFixture;

  beforeEach(async () => {
    first = await TestUpstream.start('i-1');
    second = await TestUpstream.start('i-2');
    fixture = await ServingFixture.start([servingRoute('look')]);
    fixture.pool.merge([first.record(), second.record()], 'c1');
  });

  afterEach(async () => {
    await fixture[Symbol.asyncDispose]();
    await first[Symbol.asyncDispose]();
    await second[Symbol.asyncDispose]();
  });

  function seen(): number {
    return first.seen.length + second.seen.length;
  }

  function quarantine(): void {
    const fingerprints = [firstRequest(fixture.address)];
    fixture.crashing.adopt({fingerprints, revision: 1, suspects: []}, 'c1');
  }

  test('is refused at once and reaches no upstream; another one does', async () => {
    quarantine();
    const refused = await fixture.ask('look');
    expect([refused.status, refused.body]).toEqual([
      400,
      '{"error":"quarantined"}',
    ]);
    expect(seen()).toBe(0);
    expect((await fixture.ask('look')).status).toBe(200);
  });

  test('is not tried again once its quarantine is heard of', async () => {
    for (const upstream of [first, second]) {
      upstream.answer = (_, response) => {
        quarantine();
        breaksOff(response);
      };
    }
    expect((await fixture.ask('look')).status).toBe(502);
    expect(seen()).toBe(1);
  });

  test('is not tried again where one more crash would have it quarantined', async () => {
    const fingerprints = [firstRequest(fixture.address)];
    const crashed = {record: upstreamOf('i-8')};
    fixture.crashing.crashed({fingerprints, life: 'i-8'}, crashed);
    await new Promise((resolve) => setTimeout(resolve, 300));
    fixture.crashing.crashed({fingerprints, life: 'i-9'}, crashed);
    for (const upstream of [first, second]) {
      upstream.answer = (_, response) => breaksOff(response);
    }
    expect((await fixture.ask('look')).status).toBe(502);
    expect(seen()).toBe(1);
  });

  test('is one that was open at an upstream when nothing listened there', async () => {
    first.answer = () => void first[Symbol.asyncDispose]();
    second.answer = () => void second[Symbol.asyncDispose]();
    expect((await fixture.ask('look')).status).toBe(502);
    const isCrash = ({event}: {event: string}) => event === 'upstream-crashed';
    await until(() => fixture.log.lines.filter(isCrash).length === 2);
    expect(fixture.log.lines.filter(isCrash)).toMatchObject([
      {count: 1, fingerprints: [firstRequest(fixture.address)]},
      {count: 1, fingerprints: [firstRequest(fixture.address)]},
    ]);
  });
});
