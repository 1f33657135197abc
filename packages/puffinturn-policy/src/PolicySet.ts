/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Evaluates the policies for a request: the first matching rule decides. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {
  AllowRule,
  Declaration,
  PolicySpec,
  RefuseRule,
  ValidationProblem,
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

/** Decision of a rule that allows a request. */
export interface PolicyDecision {
  /** Name of the rule, as `policy/rule`. */
  readonly rule: string;
  readonly budget: string;
  readonly pool: string;
  readonly priority: number;
  readonly deadlineMs: number;
  /** Whether the request must run at most once. */
  readonly runsAtMostOnce: boolean;
  /** Business key that the rule derives from the request. */
  readonly key: string | undefined;
  readonly maxTokens: number | undefined;
  readonly allowsHedging: boolean;
}

/** Why a request is not allowed. */
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

/** The compiled rules of all policies, in the order of evaluation. */
export class PolicySet {
  private constructor(private readonly rules: readonly CompiledRule[]) {}

  /** Compiles the policies in `declarations`; skips deleted policies. */
  static compile(
    declarations: readonly Declaration[],
  ): Result<PolicySet, ValidationProblem[]> {
    const policies = declarations
      .filter((declaration) => declaration.kind === 'policy')
      .filter(({spec}) => spec !== null)
      .map(({name, spec}) => ({name, spec: spec as PolicySpec}))
      .sort(
        (a, b) => a.spec.order - b.spec.order || (a.name < b.name ? -1 : 1),
      );
    const problems: ValidationProblem[] = [];
    const rules: CompiledRule[] = [];
    for (const {name, spec} of policies) {
      for (const [index, rule] of spec.rules.entries()) {
        const compiler = new RuleCompiler(name, index, problems);
        const compiled = compileRule(`${name}/${rule.name}`, rule, compiler);
        if (compiled !== undefined) {
          rules.push(compiled);
        }
      }
    }
    return problems.length > 0 ? err(problems) : ok(new PolicySet(rules));
  }

  /** Evaluates the rules for a request; a rule that fails refuses it. */
  decide(
    request: PolicyRequest,
    budget: ReadonlyMap<string, bigint>,
    time: Date,
  ): Result<PolicyDecision, PolicyFailure> {
    const context = {budget, request: new RequestView(request), time};
    for (const rule of this.rules) {
      const condition = rule.when(context);
      if (condition.isErr()) {
        return err(evaluationFailure(rule.name, condition.error.message));
      }
      if (condition.value) {
        return rule.action === 'allow'
          ? evaluateAllowRule(rule, context)
          : err(refusal(rule));
      }
    }
    return err({
      kind: 'no-rule',
      message: 'no rule allows this request',
    });
  }
}

/** Returns the problems of one policy, with `file` as their location. */
export function checkPolicy(
  declaration: Declaration,
  file: string,
): readonly ValidationProblem[] {
  return PolicySet.compile([declaration]).match(
    () => [],
    (problems) => problems.map((problem) => ({...problem, file})),
  );
}

/** Compiles the expressions of one rule and collects their problems. */
class RuleCompiler {
  constructor(
    private readonly policyName: string,
    private readonly ruleIndex: number,
    private readonly problems: ValidationProblem[],
  ) {}

  /** Compiles the expression of a field; adds a problem if it is invalid. */
  compile<Value extends boolean | string>(
    field: string,
    text: string,
    type: ExpressionType,
  ): Expression<Value> | undefined {
    return compileExpression<Value>(text, type).match(
      (expression): Expression<Value> | undefined => expression,
      (failure) => this.addProblem(field, text, failure),
    );
  }

  private addProblem(
    field: string,
    text: string,
    failure: ExpressionFailure,
  ): undefined {
    this.problems.push({
      file: `policy/${this.policyName}`,
      found: `${text} (column ${failure.column})`,
      path: `/spec/rules/${this.ruleIndex}/${field}`,
      wanted: `a CEL expression: ${failure.message}`,
    });
    return undefined;
  }
}

function compileRule(
  name: string,
  rule: AllowRule | RefuseRule,
  compiler: RuleCompiler,
): CompiledRule | undefined {
  const when = compiler.compile<boolean>('when', rule.when, 'bool');
  if (rule.action === 'refuse') {
    return when && {action: 'refuse', name, rule, when};
  }
  const budget = compiler.compile<string>('budget', rule.budget, 'string');
  const key =
    rule.key === undefined
      ? undefined
      : compiler.compile<string>('key', rule.key, 'string');
  return when && budget && {action: 'allow', budget, key, name, rule, when};
}

function evaluationFailure(rule: string, message: string): PolicyFailure {
  return {kind: 'evaluation-failed', message: `${rule}: ${message}`, rule};
}

function refusal({name, rule}: CompiledRefuse): PolicyFailure {
  return {kind: 'refused', message: rule.reason, rule: name};
}

function evaluateAllowRule(
  {budget, key, name, rule}: CompiledAllow,
  context: ExpressionContext,
): Result<PolicyDecision, PolicyFailure> {
  const budgetName = budget(context);
  if (budgetName.isErr()) {
    return err(evaluationFailure(name, budgetName.error.message));
  }
  const keyResult = key?.(context);
  if (keyResult !== undefined && keyResult.isErr()) {
    return err(evaluationFailure(name, keyResult.error.message));
  }
  const derivedKey = keyResult?.value;
  const length = derivedKey?.length ?? 1;
  if (length === 0 || length > MAX_KEY_LENGTH) {
    return err(evaluationFailure(name, `a key of ${length} characters`));
  }
  return ok({
    allowsHedging: rule.hedge,
    budget: budgetName.value,
    deadlineMs: rule.deadlineMs,
    key: derivedKey,
    maxTokens: rule.maxTokens,
    pool: rule.pool,
    priority: rule.priority,
    rule: name,
    runsAtMostOnce: rule.repeat === 'never',
  });
}
