/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Decides requests by the policies in force: the first rule that matches. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {
  AllowRule,
  Declaration,
  PolicySpec,
  Problem,
  RefuseRule,
} from 'puffinturn-settings';
import type {Failure} from 'shared';

import type {
  Expression,
  ExpressionContext,
  ExpressionFailure,
  ExpressionType,
} from './Expression';
import {compileExpression} from './Expression';
import {MAX_KEY_LENGTH} from './PolicyConstants';
import type {PolicyRequest} from './PolicyRequest';
import {RequestView} from './PolicyRequest';

/** What a rule says about a request that may run. */
export interface PolicyDecision {
  /** The rule, as `policy/rule`. */
  readonly rule: string;
  readonly budget: string;
  readonly pool: string;
  readonly priority: number;
  readonly deadlineMs: number;
  /** Whether the request may run at most once. */
  readonly marked: boolean;
  /** A business key that the rule derives. */
  readonly key: string | undefined;
  readonly maxTokens: number | undefined;
  readonly hedge: boolean;
}

/** Why a policy does not let a request run. */
export type PolicyFailure =
  | (Failure<'evaluation-failed'> & {readonly rule: string})
  | Failure<'no-rule'>
  | (Failure<'refused'> & {readonly rule: string});

interface CompiledAllow {
  readonly action: 'allow';
  readonly name: string;
  readonly rule: AllowRule;
  readonly when: Expression<boolean>;
  readonly budget: Expression<string>;
  readonly key: Expression<string> | undefined;
}

interface CompiledRefuse {
  readonly action: 'refuse';
  readonly name: string;
  readonly rule: RefuseRule;
  readonly when: Expression<boolean>;
}

type CompiledRule = CompiledAllow | CompiledRefuse;

/** Policies in force, compiled. */
export class PolicySet {
  private constructor(private readonly rules: readonly CompiledRule[]) {}

  /** Compiles the policies among `declarations`; removed ones are left out. */
  static compile(
    declarations: readonly Declaration[],
  ): Result<PolicySet, Problem[]> {
    const policies = declarations
      .filter((declaration) => declaration.kind === 'policy')
      .filter(({spec}) => spec !== null)
      .map(({name, spec}) => ({name, spec: spec as PolicySpec}))
      .sort(
        (a, b) => a.spec.order - b.spec.order || (a.name < b.name ? -1 : 1),
      );
    const problems: Problem[] = [];
    const rules: CompiledRule[] = [];
    for (const {name, spec} of policies) {
      for (const [position, rule] of spec.rules.entries()) {
        const place = new RulePlace(name, position, problems);
        const compiled = compileRule(`${name}/${rule.name}`, rule, place);
        if (compiled !== undefined) {
          rules.push(compiled);
        }
      }
    }
    return problems.length > 0 ? err(problems) : ok(new PolicySet(rules));
  }

  /** Decides one request. A rule that fails refuses the request. */
  decide(
    request: PolicyRequest,
    budget: ReadonlyMap<string, bigint>,
    time: Date,
  ): Result<PolicyDecision, PolicyFailure> {
    const context = {budget, request: new RequestView(request), time};
    for (const rule of this.rules) {
      const matched = rule.when(context);
      if (matched.isErr()) {
        return err(evaluationFailed(rule.name, matched.error.message));
      }
      if (matched.value) {
        return rule.action === 'allow'
          ? decideAllowed(rule, context)
          : err(refused(rule));
      }
    }
    return err({kind: 'no-rule', message: 'no rule allows this request'});
  }
}

/** Problems of one policy, as `puffinturn check` and `apply` show them. */
export function checkPolicy(
  declaration: Declaration,
  file: string,
): readonly Problem[] {
  return PolicySet.compile([declaration]).match(
    () => [],
    (problems) => problems.map((problem) => ({...problem, file})),
  );
}

class RulePlace {
  constructor(
    private readonly policy: string,
    private readonly position: number,
    private readonly problems: Problem[],
  ) {}

  /** Compiles one field, noting its problem. */
  compile<Value extends boolean | string>(
    field: string,
    text: string,
    type: ExpressionType,
  ): Expression<Value> | undefined {
    return compileExpression<Value>(text, type).match(
      (expression): Expression<Value> | undefined => expression,
      (failure) => this.note(field, text, failure),
    );
  }

  private note(
    field: string,
    text: string,
    failure: ExpressionFailure,
  ): undefined {
    this.problems.push({
      file: `policy/${this.policy}`,
      found: `${text} (column ${failure.column})`,
      path: `/spec/rules/${this.position}/${field}`,
      wanted: `a CEL expression: ${failure.message}`,
    });
    return undefined;
  }
}

function compileRule(
  name: string,
  rule: AllowRule | RefuseRule,
  place: RulePlace,
): CompiledRule | undefined {
  const when = place.compile<boolean>('when', rule.when, 'bool');
  if (rule.action === 'refuse') {
    return when && {action: 'refuse', name, rule, when};
  }
  const budget = place.compile<string>('budget', rule.budget, 'string');
  const key =
    rule.key === undefined
      ? undefined
      : place.compile<string>('key', rule.key, 'string');
  return when && budget && {action: 'allow', budget, key, name, rule, when};
}

function evaluationFailed(rule: string, message: string): PolicyFailure {
  return {kind: 'evaluation-failed', message: `${rule}: ${message}`, rule};
}

function refused({name, rule}: CompiledRefuse): PolicyFailure {
  return {kind: 'refused', message: rule.reason, rule: name};
}

function decideAllowed(
  {budget, key, name, rule}: CompiledAllow,
  context: ExpressionContext,
): Result<PolicyDecision, PolicyFailure> {
  const budgetName = budget(context);
  if (budgetName.isErr()) {
    return err(evaluationFailed(name, budgetName.error.message));
  }
  const derived = key?.(context);
  if (derived !== undefined && derived.isErr()) {
    return err(evaluationFailed(name, derived.error.message));
  }
  const derivedKey = derived?.value;
  const length = derivedKey?.length ?? 1;
  if (length === 0 || length > MAX_KEY_LENGTH) {
    return err(evaluationFailed(name, `a key of ${length} characters`));
  }
  return ok({
    budget: budgetName.value,
    deadlineMs: rule.deadlineMs,
    hedge: rule.hedge,
    key: derivedKey,
    marked: rule.repeat === 'never',
    maxTokens: rule.maxTokens,
    pool: rule.pool,
    priority: rule.priority,
    rule: name,
  });
}
