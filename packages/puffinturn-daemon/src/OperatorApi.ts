/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Operations for operators, independent of HTTP. */
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
import type {
  Declaration,
  FleetBox,
  ValidationProblem,
} from 'puffinturn-settings';
import type {TimelineEvent, TimelineFilter} from 'puffinturn-timeline';
import {mergeTimelines} from 'puffinturn-timeline';
import type {Link} from 'puffinturn-wire';
import type {Clock, Failure} from 'shared';
import {digestValue} from 'shared';

import type {Box, FleetTopology} from './Box';

const DECLARE_TIMEOUT_MS = 15_000;
const READ_TIMEOUT_MS = 5_000;

/** Reason why an operator's request failed. */
export type OperatorFailure =
  | (Failure<'invalid'> & {readonly problems: readonly ValidationProblem[]})
  | Failure<'region-unreachable'>
  | Failure<'unknown-region'>;

/** Status of the whole fleet, as seen by one box. */
export interface FleetStatus {
  readonly box: string;
  readonly ready: boolean;
  readonly configIndex: number;
  readonly regions: readonly RegionReport[];
  /** Names of the regions without a reachable leader. */
  readonly unreachable: readonly string[];
}

/** Serves the operations for operators on one box. */
export class OperatorApi {
  private readonly clients = new Map<string, ControlClient>();

  constructor(
    private readonly box: Box,
    private readonly topology: FleetTopology,
    link: Link,
    clock: Clock,
  ) {
    for (const region of distinctRegions(topology.boxes)) {
      const controlBoxes = topology.boxes
        .filter((other) => other.control && other.region === region)
        .map(({name}) => name);
      const isOwnRegion = region === box.self.region;
      this.clients.set(
        region,
        isOwnRegion
          ? box.client
          : new ControlClient({
              box: topology.box,
              clock,
              controlBoxes,
              link,
              region,
              relayBoxes: [],
            }),
      );
    }
  }

  /** Applies a declaration. Repeating the same declaration returns the first reply. */
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
    const region = scope === 'global' ? this.topology.primaryRegion : scope;
    const reply = await this.call(
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
      value.kind === 'declare' ? ok(value) : err(unreachableFailure(region)),
    );
  }

  /** Reads the declarations in force in this box's region from its leader. */
  async config(): Promise<
    Result<readonly DeclarationEntry[], OperatorFailure>
  > {
    const {region} = this.box.self;
    const reply = await this.call(region, {kind: 'config', since: 0});
    return reply.andThen((value) =>
      value.kind === 'config'
        ? ok(value.entries)
        : err(unreachableFailure(region)),
    );
  }

  /** Collects the reports of all regions. */
  async status(): Promise<FleetStatus> {
    const regions: RegionReport[] = [];
    const unreachableRegions: string[] = [];
    for (const region of this.clients.keys()) {
      const reply = await this.call(region, {kind: 'report'});
      if (reply.isOk() && reply.value.kind === 'report') {
        regions.push(reply.value);
      } else {
        unreachableRegions.push(region);
      }
    }
    return {
      box: this.box.self.name,
      configIndex: this.box.member.config.index,
      ready: this.box.gateway.isReady,
      regions,
      unreachable: unreachableRegions,
    };
  }

  /** Merges the events of all boxes that respond. */
  async timeline(filter: TimelineFilter): Promise<TimelineEvent[]> {
    return mergeTimelines(await this.box.collectTimelines(), filter);
  }

  private async call(
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
    return reply.mapErr(() => unreachableFailure(region));
  }
}

function unreachableFailure(region: string): OperatorFailure {
  const message = `no leader of region ${region} answers`;
  return {kind: 'region-unreachable', message};
}

function distinctRegions(boxes: readonly FleetBox[]): string[] {
  return [...new Set(boxes.map(({region}) => region))];
}
