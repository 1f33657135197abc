/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against notices of brittle upstreams that are lost or outlive their end. */
import {InMemoryDecisionLog} from 'puffinturn-decisions';
import {ManualClock} from 'shared';

import {BrittleServices} from '../../upstreams/BrittleServices';

describe('BrittleServices', () => {
  const clock = new ManualClock();
  let log: InMemoryDecisionLog;
  let services: BrittleServices;

  beforeEach(() => {
    log = new InMemoryDecisionLog();
    services = new BrittleServices(clock, log);
  });

  function respond(
    headerValue: string | undefined,
    sentAt: number,
    status = 200,
  ) {
    services.record({headerValue, sentAt, service: 's', status});
  }

  test('holds for the whole service once any response says so', () => {
    respond('4', clock.now(), 503);
    expect(services.isBrittle('s')).toBe(true);
    expect(services.isBrittle('t')).toBe(false);
  });

  test('ends with a later response without the notice', async () => {
    const sentBefore = clock.now();
    await clock.advance(10);
    respond('4', clock.now());
    respond(undefined, sentBefore);
    expect(services.isBrittle('s')).toBe(true);
    await clock.advance(10);
    respond(undefined, clock.now(), 502);
    expect(services.isBrittle('s')).toBe(true);
    respond(undefined, clock.now());
    expect(services.isBrittle('s')).toBe(false);
  });

  test('logs only changes', async () => {
    respond('4', clock.now());
    respond('4', clock.now());
    respond('2', clock.now());
    await clock.advance(10);
    respond(undefined, clock.now());
    respond(undefined, clock.now());
    expect(log.decisions).toEqual([
      {
        event: 'service-brittle',
        former: undefined,
        rejectionsPerS: '4',
        service: 's',
      },
      {
        event: 'service-brittle',
        former: '4',
        rejectionsPerS: '2',
        service: 's',
      },
      {
        event: 'service-brittle',
        former: '2',
        rejectionsPerS: undefined,
        service: 's',
      },
    ]);
  });
});
