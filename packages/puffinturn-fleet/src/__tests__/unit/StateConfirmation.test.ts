/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against control boxes whose state looks fresh after their machine was suspended. */
import {MemoryNetwork} from 'puffinturn-wire';
import {ManualClock, Random, SuspensionDetector} from 'shared';

import {FLEET_SERVICE} from '../../FleetMessages';
import type {LeaderCalls} from '../../LeaderCalls';
import {StateConfirmation} from '../../StateConfirmation';

const SUSPENSION_MS = 6_000;

/** A control box that confirms its state by itself, as a leader does. */
class Fixture {
  readonly clock = new ManualClock();
  private readonly network = new MemoryNetwork(this.clock, new Random(1));
  private readonly caller = this.network.connect('other');
  private readonly lastContact = {at: 0};
  readonly confirmation: StateConfirmation;

  constructor() {
    const {clock, lastContact} = this;
    const suspension = new SuspensionDetector(clock, () =>
      this.confirmation.invalidate(),
    );
    const leader: Pick<LeaderCalls, 'runOnLeader'> = {
      runOnLeader: (_service, _body, _fallback, runLocally) => runLocally(),
    };
    this.confirmation = new StateConfirmation({
      clock,
      leader: leader as LeaderCalls,
      link: this.network.connect('leader'),
      onApplied: () => undefined,
      replica: {
        appliedThrough: 1,
        get leadership() {
          return {ageMs: clock.now() - lastContact.at, commitIndex: 1};
        },
      },
      suspension,
    });
  }

  /** The replica was in contact with a quorum. */
  recordContact(): void {
    this.lastContact.at = this.clock.now();
  }

  /** Whether the box proves to another one that it leads. */
  async provesLeadership(): Promise<boolean> {
    const reply = this.caller.call(
      'leader',
      FLEET_SERVICE.confirmState,
      null,
      1_000,
    );
    let proves = false;
    void reply.map((body) => {
      const {leadership} = body as {leadership?: object};
      proves = Boolean(leadership);
    });
    await this.clock.advance(50);
    return proves;
  }
}

describe('A control box whose machine was suspended', () => {
  test('has no recent state until it was confirmed again', async () => {
    const fixture = new Fixture();
    await fixture.clock.advance(300);
    expect(fixture.confirmation.isRecent).toBe(true);
    fixture.clock.suspend(SUSPENSION_MS);
    expect(fixture.confirmation.isRecent).toBe(false);
    expect(fixture.confirmation.ageMs).toBeGreaterThanOrEqual(SUSPENSION_MS);
    await fixture.clock.advance(100);
    fixture.recordContact();
    await fixture.clock.advance(300);
    expect(fixture.confirmation.isRecent).toBe(true);
  });

  test('does not prove with a contact from before that it leads', async () => {
    const fixture = new Fixture();
    await fixture.clock.advance(300);
    fixture.recordContact();
    expect(await fixture.provesLeadership()).toBe(true);
    fixture.clock.suspend(SUSPENSION_MS);
    expect(await fixture.provesLeadership()).toBe(false);
    fixture.recordContact();
    expect(await fixture.provesLeadership()).toBe(true);
  });
});
