/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** An immutable snapshot of the declarations, indexed for look-up. */
import type {DeclarationEntry} from 'puffinturn-ledger';
import {PolicySet} from 'puffinturn-policy';
import type {
  Declaration,
  DeclarationKind,
  DrainSpec,
  PoolSpec,
  ServiceSpec,
  TeamSpec,
} from 'puffinturn-settings';
import {digestBytes, invariant} from 'shared';

/** A pool or a plain service; requests to either are sent to upstreams. */
export type RequestTarget =
  | {readonly kind: 'pool'; readonly name: string; readonly spec: PoolSpec}
  | {
      readonly kind: 'service';
      readonly name: string;
      readonly spec: ServiceSpec;
    };

/** The name and specification of a team. */
export interface Team {
  readonly name: string;
  readonly spec: TeamSpec;
}

function createEmptyPolicySet(): PolicySet {
  const compiled = PolicySet.compile([]);
  invariant(compiled.isOk(), 'an empty policy set must compile');
  return compiled.value;
}

/** An immutable configuration snapshot; each change creates a new one. */
export class FleetConfig {
  /** The configuration of a box that has not received any. */
  static readonly empty = new FleetConfig(0, new Map(), createEmptyPolicySet());

  private readonly teamsByKeyDigest = new Map<string, Team>();
  private readonly targets = new Map<string, RequestTarget>();
  private readonly drains: DrainSpec[] = [];

  private constructor(
    /** Log index of the last change in this configuration. */
    readonly index: number,
    private readonly entries: ReadonlyMap<string, DeclarationEntry>,
    readonly policies: PolicySet,
  ) {
    for (const {declaration} of entries.values()) {
      this.addDeclaration(declaration);
    }
  }

  /** Returns the configuration with changes applied; ignores older indices. */
  withEntries(
    entries: readonly DeclarationEntry[],
    index: number,
  ): FleetConfig {
    if (index <= this.index) {
      return this;
    }
    const merged = new Map(this.entries);
    for (const entry of entries) {
      const {kind, name} = entry.declaration;
      merged.set(`${kind}/${name}`, entry);
    }
    const declarations = [...merged.values()].map(
      ({declaration}) => declaration,
    );
    // Declarations are validated before they are accepted. If the policies still
    // fail to compile, the previous ones stay in force.
    const policies = PolicySet.compile(declarations).unwrapOr(this.policies);
    return new FleetConfig(index, merged, policies);
  }

  /** Finds the team that owns a bearer key. */
  findTeamByKey(key: string): Team | undefined {
    return this.teamsByKeyDigest.get(digestBytes(key));
  }

  /** Finds a team by name. */
  findTeam(name: string): Team | undefined {
    const declaration = this.findDeclaration('team', name);
    return declaration?.kind === 'team' && declaration.spec !== null
      ? {name, spec: declaration.spec}
      : undefined;
  }

  /** Finds a pool or service by name. */
  findTarget(name: string): RequestTarget | undefined {
    return this.targets.get(name);
  }

  /** The home region of a budget, which also stores its requests' idempotency keys. */
  budgetHomeRegion(name: string): string | undefined {
    const declaration = this.findDeclaration('budget', name);
    return declaration?.kind === 'budget' ? declaration.spec?.home : undefined;
  }

  /** All pools and services. */
  allTargets(): RequestTarget[] {
    return [...this.targets.values()];
  }

  /** Whether an operator drains the box. */
  isBoxDrained(box: string): boolean {
    return this.drains.some(
      ({target}) => 'box' in target && target.box === box,
    );
  }

  /** Whether an operator drains the upstream or its hall. */
  isUpstreamDrained(pool: string, upstream: string): boolean {
    const declared = this.targets
      .get(pool)
      ?.spec.upstreams.find(({name}) => name === upstream);
    return this.drains.some(({target}) => {
      if ('hall' in target) {
        return target.hall === declared?.hall;
      }
      return (
        'pool' in target && target.pool === pool && target.upstream === upstream
      );
    });
  }

  /** All declaration entries. */
  allEntries(): DeclarationEntry[] {
    return [...this.entries.values()];
  }

  private findDeclaration(
    kind: DeclarationKind,
    name: string,
  ): Declaration | undefined {
    return this.entries.get(`${kind}/${name}`)?.declaration;
  }

  private addDeclaration(declaration: Declaration): void {
    if (declaration.spec === null) {
      return;
    }
    const {name} = declaration;
    switch (declaration.kind) {
      case 'team':
        for (const {sha256} of declaration.spec.keys) {
          this.teamsByKeyDigest.set(sha256, {name, spec: declaration.spec});
        }
        return;
      case 'pool':
        this.targets.set(name, {kind: 'pool', name, spec: declaration.spec});
        return;
      case 'service':
        this.targets.set(name, {
          kind: 'service',
          name,
          spec: declaration.spec,
        });
        return;
      case 'drain':
        if (declaration.spec.on) {
          this.drains.push(declaration.spec);
        }
        return;
      default:
    }
  }
}
