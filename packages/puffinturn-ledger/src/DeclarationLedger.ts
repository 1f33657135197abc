/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Applies declaration records to the declarations and to the limits of budgets. */
import type {Declaration} from 'puffinturn-settings';

import type {BudgetState} from './BudgetAccount';
import {committedUnits, emptyBudget} from './BudgetAccount';
import type {DeclarationTable} from './DeclarationTable';
import type {DeclareOutcome} from './LedgerOutcomes';
import type {DeclareRecord, ImportRecord} from './LedgerRecords';

/** State that declaration records change; owned by the ledger. */
export interface DeclarationLedgerParts {
  readonly budgets: Map<string, BudgetState>;
  readonly declarations: DeclarationTable;
  /** Whether this is the primary region, which decides global declarations. */
  readonly isPrimary: boolean;
  readonly region: string;
}

/** Validates and applies declaration records. */
export class DeclarationLedger {
  constructor(private readonly parts: DeclarationLedgerParts) {}

  /** Applies a declaration if its version is newer and it is valid. */
  declare(record: DeclareRecord, index: number): DeclareOutcome {
    const {declaration, digest, operator} = record;
    const refusal =
      this.parts.declarations.checkVersion(declaration, digest) ??
      this.validate(declaration);
    if (refusal !== undefined) {
      return refusal;
    }
    const isGlobal = declaration.scope === 'global';
    const sequence = isGlobal ? this.parts.declarations.globalSequence + 1 : 0;
    this.applyDeclaration(declaration, digest, operator, index, sequence);
    return {index, kind: 'accepted', sequence};
  }

  /** Applies a declaration of the primary region unless it was imported before. */
  import(record: ImportRecord, index: number): DeclareOutcome {
    const {declaration, digest, operator, sequence} = record;
    if (sequence > this.parts.declarations.globalSequence) {
      this.applyDeclaration(declaration, digest, operator, index, sequence);
    }
    return {index, kind: 'accepted', sequence};
  }

  private validate(declaration: Declaration): DeclareOutcome | undefined {
    const {scope} = declaration;
    if (
      scope === 'global' ? !this.parts.isPrimary : scope !== this.parts.region
    ) {
      return rejectedOutcome(
        `scope ${scope} is not decided in ${this.parts.region}`,
      );
    }
    const budget = this.parts.budgets.get(declaration.name);
    if (declaration.kind !== 'budget' || budget === undefined) {
      return undefined;
    }
    const {spec} = declaration;
    if (spec !== null && spec.home !== budget.homeRegion) {
      return rejectedOutcome(`the home of a budget stays ${budget.homeRegion}`);
    }
    if (spec !== null && budget.home && spec.limit < committedUnits(budget)) {
      const committed = committedUnits(budget);
      return rejectedOutcome(
        `${committed} units are spent, reserved or granted already`,
      );
    }
    return undefined;
  }

  private applyDeclaration(
    declaration: Declaration,
    digest: string,
    operator: string,
    index: number,
    sequence: number,
  ): void {
    this.parts.declarations.put(declaration, digest, operator, index, sequence);
    if (declaration.kind === 'budget' && declaration.spec !== null) {
      this.createOrUpdateBudget(declaration.name, declaration.spec);
    }
  }

  private createOrUpdateBudget(
    name: string,
    spec: {home: string; limit: number},
  ): void {
    const budget =
      this.parts.budgets.get(name) ??
      emptyBudget(name, spec.home, spec.home === this.parts.region);
    // More units may have been committed since the change was validated.
    budget.limit = budget.home
      ? Math.max(spec.limit, committedUnits(budget))
      : spec.limit;
    this.parts.budgets.set(name, budget);
  }
}

function rejectedOutcome(reason: string): DeclareOutcome {
  return {kind: 'rejected', reason};
}
