/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** What operators can ask a box for; the HTTP interface and tests use it. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {
  ControlReply,
  DeclarationEntry,
  DeclareReply,
  RegionReport,
} from 'puffinturn-ledger';
import {ControlClient} from 'puffinturn-ledger';
import {checkPolicy} from 'puffinturn-policy';
import type {Declaration, FleetBox, Problem} from 'puffinturn-settings';
import type {TimelineEvent, TimelineFilter} from 'puffinturn-timeline';
import {mergeTimelines} from 'puffinturn-timeline';
import type {Link} from 'puffinturn-wire';
import type {Clock, Failure} from 'shared';
import {digestValue} from 'shared';

import type {Box, FleetPlace} from './Box';

const DECLARE_TIMEOUT_MS = 15_000;
const READ_TIMEOUT_MS = 5_000;

/** Why an operator's request has no answer. */
export type OperatorFailure =
  | (Failure<'invalid'> & {readonly problems: readonly Problem[]})
  | Failure<'region-unreachable'>
  | Failure<'unknown-region'>;

/** Status of the whole fleet as one box can see it. */
export interface FleetStatus {
  readonly box: string;
  readonly ready: boolean;
  readonly configIndex: number;
  readonly regions: readonly RegionReport[];
  readonly unreachable: readonly string[];
}

/** See the module comment. */
export class OperatorApi {
  private readonly clients = new Map<string, ControlClient>();

  constructor(
    private readonly box: Box,
    private readonly place: FleetPlace,
    link: Link,
    clock: Clock,
  ) {
    for (const region of regionsOf(place.boxes)) {
      const controlBoxes = place.boxes
        .filter((other) => other.control && other.region === region)
        .map(({name}) => name);
      const own = region === box.self.region;
      this.clients.set(
        region,
        own
          ? box.client
          : new ControlClient({
              box: place.box,
              clock,
              controlBoxes,
              link,
              region,
              relayBoxes: [],
            }),
      );
    }
  }

  /** Changes one declaration. Repeating it gives the first answer again. */
  async declare(
    declaration: Declaration,
    operator: string,
  ): Promise<Result<DeclareReply, OperatorFailure>> {
    const problems = checkPolicy(declaration, 'request');
    if (problems.length > 0) {
      const message = problems.map(({wanted}) => wanted).join('\n');
      return err({kind: 'invalid', message, problems});
    }
    const {scope} = declaration;
    const region = scope === 'global' ? this.place.primaryRegion : scope;
    const reply = await this.ask(
      region,
      {
        declaration,
        digest: digestValue(declaration),
        kind: 'declare',
        operator,
      },
      DECLARE_TIMEOUT_MS,
    );
    return reply.andThen((value) =>
      value.kind === 'declare' ? ok(value) : err(unreachable(region)),
    );
  }

  /** The declarations in force in this box's region, proved current. */
  async config(): Promise<
    Result<readonly DeclarationEntry[], OperatorFailure>
  > {
    const {region} = this.box.self;
    const reply = await this.ask(region, {kind: 'config', since: 0});
    return reply.andThen((value) =>
      value.kind === 'config' ? ok(value.entries) : err(unreachable(region)),
    );
  }

  /** Figures of all regions. */
  async status(): Promise<FleetStatus> {
    const regions: RegionReport[] = [];
    const missing: string[] = [];
    for (const region of this.clients.keys()) {
      const reply = await this.ask(region, {kind: 'report'});
      if (reply.isOk() && reply.value.kind === 'report') {
        regions.push(reply.value);
      } else {
        missing.push(region);
      }
    }
    return {
      box: this.box.self.name,
      configIndex: this.box.member.config.index,
      ready: this.box.gateway.isReady,
      regions,
      unreachable: missing,
    };
  }

  /** Events of all boxes that answer. */
  async timeline(filter: TimelineFilter): Promise<TimelineEvent[]> {
    return mergeTimelines(await this.box.collectTimelines(), filter);
  }

  private async ask(
    region: string,
    request: Parameters<ControlClient['call']>[0],
    timeoutMs = READ_TIMEOUT_MS,
  ): Promise<Result<ControlReply, OperatorFailure>> {
    const client = this.clients.get(region);
    if (client === undefined) {
      const message = `there is no region ${region}`;
      return err({kind: 'unknown-region', message});
    }
    const reply = await client.call(request, timeoutMs, timeoutMs);
    return reply.mapErr(() => unreachable(region));
  }
}

function unreachable(region: string): OperatorFailure {
  const message = `no leader of region ${region} answers`;
  return {kind: 'region-unreachable', message};
}

function regionsOf(boxes: readonly FleetBox[]): string[] {
  return [...new Set(boxes.map(({region}) => region))];
}
