/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** What the records of declarations change: those in force, and the budgets' limits. */
import type {Declaration} from 'puffinturn-settings';

import type {BudgetState} from './BudgetAccount';
import {committed, emptyBudget} from './BudgetAccount';
import type {DeclarationTable} from './DeclarationTable';
import type {DeclareOutcome} from './LedgerOutcomes';
import type {DeclareRecord, ImportRecord} from './LedgerRecords';

/** The state that declarations change; the ledger owns it. */
export interface DeclarationLedgerParts {
  readonly budgets: Map<string, BudgetState>;
  readonly declarations: DeclarationTable;
  /** Whether this region orders the global declarations. */
  readonly primary: boolean;
  readonly region: string;
}

/** See the module comment. */
export class DeclarationLedger {
  constructor(private readonly parts: DeclarationLedgerParts) {}

  /** Puts a declaration in force, unless something speaks against it. */
  declare(record: DeclareRecord, index: number): DeclareOutcome {
    const {declaration, digest, operator} = record;
    const objection =
      this.parts.declarations.objection(declaration, digest) ??
      this.rejection(declaration);
    if (objection !== undefined) {
      return objection;
    }
    const global = declaration.scope === 'global';
    const sequence = global ? this.parts.declarations.globalSequence + 1 : 0;
    this.putInForce(declaration, digest, operator, index, sequence);
    return {index, kind: 'accepted', sequence};
  }

  /** Puts a declaration of the primary region in force, unless a newer one is. */
  import(record: ImportRecord, index: number): DeclareOutcome {
    const {declaration, digest, operator, sequence} = record;
    if (sequence > this.parts.declarations.globalSequence) {
      this.putInForce(declaration, digest, operator, index, sequence);
    }
    return {index, kind: 'accepted', sequence};
  }

  private rejection(declaration: Declaration): DeclareOutcome | undefined {
    const {scope} = declaration;
    if (
      scope === 'global' ? !this.parts.primary : scope !== this.parts.region
    ) {
      return rejected(`scope ${scope} is not decided in ${this.parts.region}`);
    }
    const budget = this.parts.budgets.get(declaration.name);
    if (declaration.kind !== 'budget' || budget === undefined) {
      return undefined;
    }
    const {spec} = declaration;
    if (spec !== null && spec.home !== budget.homeRegion) {
      return rejected(`the home of a budget stays ${budget.homeRegion}`);
    }
    if (spec !== null && budget.home && spec.limit < committed(budget)) {
      const amount = committed(budget);
      return rejected(`${amount} units are spent, reserved or granted already`);
    }
    return undefined;
  }

  private putInForce(
    declaration: Declaration,
    digest: string,
    operator: string,
    index: number,
    sequence: number,
  ): void {
    this.parts.declarations.put(declaration, digest, operator, index, sequence);
    if (declaration.kind === 'budget' && declaration.spec !== null) {
      this.openBudget(declaration.name, declaration.spec);
    }
  }

  private openBudget(name: string, spec: {home: string; limit: number}): void {
    const budget =
      this.parts.budgets.get(name) ??
      emptyBudget(name, spec.home, spec.home === this.parts.region);
    // The home region may have committed more since the change was checked.
    budget.limit = budget.home
      ? Math.max(spec.limit, committed(budget))
      : spec.limit;
    this.parts.budgets.set(name, budget);
  }
}

function rejected(reason: string): DeclareOutcome {
  return {kind: 'rejected', reason};
}
