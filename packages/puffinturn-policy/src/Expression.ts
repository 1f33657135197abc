/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Compiles policy expressions in CEL (Common Expression Language). */
import type {ParseResult} from '@marcbachmann/cel-js';
import {Environment} from '@marcbachmann/cel-js';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Failure} from 'shared';
import {describeError} from 'shared';

import {
  MAX_EXPRESSION_COMPREHENSIONS,
  MAX_EXPRESSION_DEPTH,
  MAX_EXPRESSION_NODES,
} from './PolicyConstants';
import {RequestView} from './PolicyRequest';

const COMPREHENSION_PATTERN = /\.\s*(all|exists|exists_one|map|filter)\s*\(/g;

/** Variables of an expression. */
export interface ExpressionContext {
  readonly request: RequestView;
  /** Last known remaining units by budget. */
  readonly budget: ReadonlyMap<string, bigint>;
  readonly time: Date;
}

/** Result type of an expression. */
export type ExpressionType = 'bool' | 'string';

/** Syntax or type error of an expression. */
export interface ExpressionFailure extends Failure<'expression'> {
  /** Column of the error, from 1. */
  readonly column: number;
}

/** Runtime error of an expression for one request. */
export type EvaluationFailure = Failure<'evaluation'>;

/** A compiled and type-checked expression. */
export type Expression<Value> = (
  context: ExpressionContext,
) => Result<Value, EvaluationFailure>;

const celEnvironment = new Environment({
  limits: {
    maxAstNodes: MAX_EXPRESSION_NODES,
    maxDepth: MAX_EXPRESSION_DEPTH,
  },
})
  .registerType('Request', {
    ctor: RequestView,
    fields: {
      body: 'dyn',
      headers: 'map<string, string>',
      key: 'string',
      maxTokens: 'int',
      method: 'string',
      model: 'string',
      path: 'string',
      promptTokens: 'int',
      service: 'string',
      team: 'string',
    },
  })
  .registerVariable('request', 'Request')
  .registerVariable('budget', 'map<string, int>')
  .registerVariable('time', 'google.protobuf.Timestamp');

function expressionFailure(message: string, column = 1): ExpressionFailure {
  return {column, kind: 'expression', message};
}

/** Fields of the errors that cel-js throws. */
interface CelError {
  readonly summary?: string;
  readonly range?: {readonly start: number};
}

function toExpressionFailure(error: unknown): ExpressionFailure {
  const {range, summary} = error as CelError;
  const message = summary ?? describeError(error);
  return expressionFailure(message, (range?.start ?? 0) + 1);
}

function parse(text: string): Result<ParseResult, ExpressionFailure> {
  const comprehensionCount = text.match(COMPREHENSION_PATTERN)?.length ?? 0;
  if (comprehensionCount > MAX_EXPRESSION_COMPREHENSIONS) {
    const message = `${comprehensionCount} loops; at most ${MAX_EXPRESSION_COMPREHENSIONS} are allowed`;
    return err(expressionFailure(message));
  }
  try {
    return ok(celEnvironment.parse(text));
  } catch (error) {
    return err(toExpressionFailure(error));
  }
}

/** Parses an expression and checks its syntax and result type. */
export function compileExpression<Value extends boolean | string>(
  text: string,
  expectedType: ExpressionType,
): Result<Expression<Value>, ExpressionFailure> {
  return parse(text).andThen((parsed) => {
    const check = parsed.check();
    if (!check.valid) {
      return err(toExpressionFailure(check.error));
    }
    const actualType = String(check.type);
    if (actualType !== expectedType && actualType !== 'dyn') {
      return err(
        expressionFailure(`gives ${actualType}; wanted ${expectedType}`),
      );
    }
    return ok(createEvaluator<Value>(parsed, expectedType));
  });
}

function createEvaluator<Value>(
  parsed: ParseResult,
  expectedType: ExpressionType,
): Expression<Value> {
  const jsType = expectedType === 'bool' ? 'boolean' : 'string';
  return (context) => {
    try {
      const value: unknown = parsed(context as never);
      return typeof value === jsType
        ? ok(value as Value)
        : err({
            kind: 'evaluation',
            message: `gave a ${typeof value}`,
          });
    } catch (error) {
      const {summary} = error as CelError;
      const message = summary ?? describeError(error);
      return err({kind: 'evaluation', message});
    }
  };
}
