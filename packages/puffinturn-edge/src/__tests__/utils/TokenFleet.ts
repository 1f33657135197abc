/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * The allowances of several edges and the core's record of them, on a network in
 * memory. Edges can die and start anew; the core's record lives on.
 */
import {SilentDecisionLog} from 'puffinturn-decisions';
import type {
  AllowanceOutcome,
  AllowanceRequest,
  BoxRecord,
} from 'puffinturn-fleet';
import {
  BOX_ROLE,
  FLEET_SERVICE,
  FleetMachine,
  lifeOf,
  Regions,
} from 'puffinturn-fleet';
import {MemoryNetwork} from 'puffinturn-wire';
import {invariant, ManualClock, Random} from 'shared';

import {Allowances} from '../../index';
import {configurationOf} from './EdgeFixture';

/** The box of the core. */
export const CORE = 'c';

/** The one team. */
export const TEAM = 't';

/** See the module comment. */
export class TokenFleet {
  readonly clock = new ManualClock();
  readonly network = new MemoryNetwork(this.clock, new Random(2));
  readonly machine = new FleetMachine();
  private version = 0;
  private lives = 0;
  private readonly edges = new Map<string, Allowances>();
  private readonly incarnations = new Map<string, string>();
  /** The other edges as each edge knows them. */
  private readonly peers = new Map<string, readonly BoxRecord[]>();
  /** Whether edges hear at once that another one was started again. */
  tellsRestarts = true;

  constructor(
    prepaid: number,
    private readonly regions = new Regions(),
  ) {
    this.topUp(prepaid);
    this.startCore();
  }

  /** Tokens that the core can still grant. */
  get left(): number {
    return this.prepaid - this.machine.grantedTo(TEAM);
  }

  /** Tokens in the hands of living edges. */
  get heldByAll(): number {
    return [...this.edges.values()].reduce((sum, edge) => sum + held(edge), 0);
  }

  /** An edge that is alive. */
  edge(box: string): Allowances {
    const found = this.edges.get(box);
    invariant(found !== undefined, 'an edge that was started');
    return found;
  }

  /** Tokens in the hands of one edge; 0 for one that is not alive. */
  heldBy(box: string): number {
    const edge = this.edges.get(box);
    return edge === undefined ? 0 : held(edge);
  }

  topUp(prepaidTokens: number): void {
    this.version += 1;
    const team = {keys: ['k'], name: TEAM, prepaidTokens, priority: 0};
    const configuration = configurationOf(this.version, {teams: [team]});
    this.machine.apply({
      kind: 'configuration',
      stored: {configuration, document: 'not read here'},
    });
    for (const edge of this.edges.values()) {
      edge.configure([team]);
    }
  }

  /** Connects the core, or connects it again after it was out of reach. */
  startCore(): void {
    this.network
      .connect(CORE)
      .register(FLEET_SERVICE.allowance, async (body) => {
        const outcome = this.machine.apply({
          ...(body as AllowanceRequest),
          kind: 'allowance',
        }) as AllowanceOutcome;
        return {grants: outcome.grants};
      });
  }

  /** Starts an edge in the hall that its name begins with, among its peers. */
  async start(box: string, peers: readonly string[]): Promise<Allowances> {
    const edge = this.open(box, peers);
    await this.clock.advance(1_200);
    return edge;
  }

  /** Starts several edges that know of each other, one after the other. */
  async startAll(names: readonly string[]): Promise<Allowances[]> {
    const started: Allowances[] = [];
    for (const name of names) {
      started.push(await this.start(name, namesBut(name, names)));
    }
    return started;
  }

  /** Starts an edge among peers and does not wait. */
  open(box: string, peers: readonly string[]): Allowances {
    this.lives += 1;
    const incarnation = String(this.lives);
    this.incarnations.set(box, incarnation);
    this.peers.set(box, this.recordsOf(peers));
    if (this.tellsRestarts) {
      this.tellRestarts();
    }
    const edge = new Allowances({
      box,
      clock: this.clock,
      controls: () => [CORE],
      hall: hallOf(box),
      life: lifeOf({box, incarnation}),
      link: this.network.connect(box),
      log: new SilentDecisionLog(),
      peers: () => this.peers.get(box) ?? [],
      regions: this.regions,
    });
    this.edges.set(box, edge);
    edge.configure([
      {keys: [], name: TEAM, prepaidTokens: this.prepaid, priority: 0},
    ]);
    return edge;
  }

  /** Every edge hears of the newest life of each other one. */
  tellRestarts(): void {
    for (const [box, known] of this.peers) {
      this.peers.set(box, this.recordsOf(known.map((other) => other.box)));
    }
  }

  /** An edge loses power: nothing that it holds is handed on. */
  kill(box: string): void {
    const edge = this.edges.get(box);
    invariant(edge !== undefined, 'an edge that was started');
    this.edges.delete(box);
    this.network.disconnect(box);
    void edge[Symbol.asyncDispose]();
  }

  async settled<Value>(asked: Promise<Value>): Promise<Value> {
    let value: {readonly value: Value} | undefined;
    void asked.then((found) => (value = {value: found}));
    for (let turn = 0; turn < 400 && value === undefined; turn += 1) {
      await this.clock.advance(5);
    }
    invariant(value !== undefined, 'settles');
    return value.value;
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
    const [team] = this.machine.stored?.configuration.teams ?? [];
    return team?.prepaidTokens ?? 0;
  }
}

/** Tokens of the one team that an edge holds. */
export function held(edge: Allowances): number {
  return edge.status()[0]?.held ?? 0;
}

/** All names but one. */
export function namesBut(name: string, names: readonly string[]): string[] {
  return names.filter((other) => other !== name);
}

/** Boxes whose names begin alike are in one hall. */
function hallOf(box: string): string {
  return box.slice(0, 1);
}
