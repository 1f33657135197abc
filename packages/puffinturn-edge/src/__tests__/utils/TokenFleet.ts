/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

import type {
  AllowanceOutcome,
  AllowanceRequest,
  BoxRecord,
} from 'puffinturn-fleet';
import {
  BOX_ROLE,
  FLEET_SERVICE,
  FleetMachine,
  incarnationIdOf,
  Regions,
} from 'puffinturn-fleet';
import {MemoryNetwork} from 'puffinturn-wire';
import type {MachineClock} from 'shared';
import {invariant, ManualClock, ManualMachineClock, Random} from 'shared';

import {Allowances} from '../../index';
import {makeConfiguration} from './EdgeFixture';
import {ReclaimChecker} from './ReclaimChecker';

/** Name of the box that runs the control plane. */
export const CORE = 'c';

/** Name of the only team. */
export const TEAM = 't';

/**
 * Test fixture: the token allowances of several edges and of the control plane, on an
 * in-memory network with a manual clock. Edges can be killed and restarted; the state
 * of the control plane is kept.
 */
export class TokenFleet {
  readonly clock = new ManualClock();
  readonly network = new MemoryNetwork(this.clock, new Random(2));
  readonly machine = new FleetMachine();
  private version = 0;
  private incarnationCount = 0;
  private readonly edges = new Map<string, Allowances>();
  private readonly incarnations = new Map<string, string>();
  readonly reclaimChecker = new ReclaimChecker();
  private readonly machineClocks = new Map<string, MachineClock>();
  private bootCount = 0;
  /** The list of other edges that each edge has. */
  private readonly peers = new Map<string, readonly BoxRecord[]>();
  /** Whether a restart updates the lists of the other edges at once. */
  announcesRestarts = true;

  constructor(
    prepaid: number,
    private readonly regions = new Regions(),
  ) {
    this.topUp(prepaid);
    this.startCore();
  }

  /** Tokens that the control plane can still grant. */
  get coreRemaining(): number {
    return this.prepaid - this.machine.grantedTokens(TEAM);
  }

  /** Tokens held by all running edges. */
  get totalHeld(): number {
    return [...this.edges.values()].reduce(
      (sum, edge) => sum + heldTokens(edge),
      0,
    );
  }

  /** A running edge; throws if the box runs none. */
  edge(box: string): Allowances {
    const edge = this.edges.get(box);
    invariant(edge !== undefined, `edge ${box} is not running`);
    return edge;
  }

  isRunning(box: string): boolean {
    return this.edges.has(box);
  }

  /** Tokens held by one edge; 0 if it is not running. */
  heldBy(box: string): number {
    const edge = this.edges.get(box);
    return edge === undefined ? 0 : heldTokens(edge);
  }

  topUp(prepaidTokens: number): void {
    this.version += 1;
    const team = {keys: ['k'], name: TEAM, prepaidTokens, priority: 0};
    const configuration = makeConfiguration(this.version, {teams: [team]});
    this.machine.apply({
      kind: 'configuration',
      stored: {configuration, document: 'not read by this fixture'},
    });
    for (const edge of this.edges.values()) {
      edge.configure([team]);
    }
  }

  /** Connects the control plane, or reconnects it after a disconnect. */
  startCore(): void {
    this.network
      .connect(CORE)
      .register(FLEET_SERVICE.allowance, async (body) => {
        const request = body as AllowanceRequest;
        const outcome = this.machine.apply({
          ...request,
          kind: 'allowance',
        }) as AllowanceOutcome;
        this.reclaimChecker.recordExchange(request, outcome);
        return {grants: outcome.grants};
      });
  }

  /** Starts an edge and waits until it holds tokens. Its first letter is its hall. */
  async start(box: string, peers: readonly string[]): Promise<Allowances> {
    const edge = this.startNow(box, peers);
    await this.clock.advance(1_200);
    return edge;
  }

  /** Starts several edges one after the other, each with all others as peers. */
  async startAll(names: readonly string[]): Promise<Allowances[]> {
    const started: Allowances[] = [];
    for (const name of names) {
      started.push(await this.start(name, namesExcept(name, names)));
    }
    return started;
  }

  /** Starts an edge without waiting. */
  startNow(box: string, peers: readonly string[]): Allowances {
    this.incarnationCount += 1;
    const incarnation = String(this.incarnationCount);
    this.incarnations.set(box, incarnation);
    this.peers.set(box, this.recordsOf(peers));
    if (this.announcesRestarts) {
      this.announceRestarts();
    }
    const edge = new Allowances({
      box,
      clock: this.clock,
      controlBoxes: () => [CORE],
      hall: hallOf(box),
      incarnationId: this.incarnationIdOf(box),
      link: this.network.connect(box),
      log: this.reclaimChecker.createLog(this.incarnationIdOf(box)),
      machineClock: this.machineClocks.get(box) ?? this.bootMachine(box),
      peers: () => this.peers.get(box) ?? [],
      regions: this.regions,
    });
    this.edges.set(box, edge);
    edge.configure([
      {keys: [], name: TEAM, prepaidTokens: this.prepaid, priority: 0},
    ]);
    return edge;
  }

  /** Boots the machine of a box: its clock starts anew. */
  bootMachine(box: string): MachineClock {
    this.bootCount += 1;
    const machine = new ManualMachineClock(
      this.clock,
      `boot-${this.bootCount}`,
    );
    this.machineClocks.set(box, machine);
    return machine;
  }

  /** Updates the incarnations in the lists of all edges. */
  announceRestarts(): void {
    for (const [box, known] of this.peers) {
      this.peers.set(box, this.recordsOf(known.map((other) => other.box)));
    }
  }

  /** Crashes an edge; the tokens that it holds are lost. */
  kill(box: string): void {
    const edge = this.edges.get(box);
    invariant(edge !== undefined, `edge ${box} is not running`);
    const [counts] = edge.status();
    this.reclaimChecker.recordKill(
      box,
      this.incarnationIdOf(box),
      (counts?.held ?? 0) - (counts?.reserved ?? 0),
    );
    this.edges.delete(box);
    this.network.disconnect(box);
    void edge[Symbol.asyncDispose]();
  }

  /** Advances the clock, for at most 2 s, until a promise resolves. */
  async advanceUntilSettled<Value>(promise: Promise<Value>): Promise<Value> {
    let result: {readonly value: Value} | undefined;
    void promise.then((value) => (result = {value}));
    for (let step = 0; step < 400 && result === undefined; step += 1) {
      await this.clock.advance(5);
    }
    invariant(result !== undefined, 'promise is pending after 2 s');
    return result.value;
  }

  private incarnationIdOf(box: string): string {
    const incarnation = this.incarnations.get(box) ?? '';
    return incarnationIdOf({box, incarnation});
  }

  private recordsOf(boxes: readonly string[]): readonly BoxRecord[] {
    return boxes.map((box) => ({
      box,
      hall: hallOf(box),
      incarnation: this.incarnations.get(box) ?? '',
      role: BOX_ROLE.edge,
    }));
  }

  private get prepaid(): number {
    const [team] = this.machine.storedConfiguration?.configuration.teams ?? [];
    return team?.prepaidTokens ?? 0;
  }
}

/** Tokens held by an edge for the only team. */
export function heldTokens(edge: Allowances): number {
  return edge.status()[0]?.held ?? 0;
}

/** All names except one. */
export function namesExcept(name: string, names: readonly string[]): string[] {
  return names.filter((other) => other !== name);
}

/** The hall of a box is the first letter of its name. */
function hallOf(box: string): string {
  return box.slice(0, 1);
}
