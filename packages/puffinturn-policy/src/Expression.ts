/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Policy expressions in CEL (Common Expression Language), by cel-js. */
import type {ParseResult} from '@marcbachmann/cel-js';
import {Environment} from '@marcbachmann/cel-js';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {Failure} from 'shared';
import {describeError} from 'shared';

import {
  MAX_EXPRESSION_DEPTH,
  MAX_EXPRESSION_LOOPS,
  MAX_EXPRESSION_NODES,
} from './PolicyConstants';
import {RequestView} from './PolicyRequest';

const LOOP_PATTERN = /\.\s*(all|exists|exists_one|map|filter)\s*\(/g;

/** What expressions are evaluated over. */
export interface ExpressionContext {
  readonly request: RequestView;
  /** Units that each budget had left when this box last heard. */
  readonly budget: ReadonlyMap<string, bigint>;
  readonly time: Date;
}

/** What an expression must give. */
export type ExpressionType = 'bool' | 'string';

/** An expression that does not parse or has the wrong type. */
export interface ExpressionFailure extends Failure<'expression'> {
  /** Where in the expression, from 1. */
  readonly column: number;
}

/** An expression that failed on one request. */
export type EvaluationFailure = Failure<'evaluation'>;

/** A checked expression. */
export type Expression<Value> = (
  context: ExpressionContext,
) => Result<Value, EvaluationFailure>;

const environment = new Environment({
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

interface RangedError {
  readonly summary?: string;
  readonly range?: {readonly start: number};
}

function fromError(error: unknown): ExpressionFailure {
  const {range, summary} = error as RangedError;
  const message = summary ?? describeError(error);
  return expressionFailure(message, (range?.start ?? 0) + 1);
}

function parse(text: string): Result<ParseResult, ExpressionFailure> {
  const loops = text.match(LOOP_PATTERN)?.length ?? 0;
  if (loops > MAX_EXPRESSION_LOOPS) {
    const message = `${loops} loops; at most ${MAX_EXPRESSION_LOOPS} are allowed`;
    return err(expressionFailure(message));
  }
  try {
    return ok(environment.parse(text));
  } catch (error) {
    return err(fromError(error));
  }
}

/** Parses and type-checks an expression. */
export function compileExpression<Value extends boolean | string>(
  text: string,
  type: ExpressionType,
): Result<Expression<Value>, ExpressionFailure> {
  return parse(text).andThen((parsed) => {
    const check = parsed.check();
    if (!check.valid) {
      return err(fromError(check.error));
    }
    const found = String(check.type);
    if (found !== type && found !== 'dyn') {
      return err(expressionFailure(`gives ${found}; wanted ${type}`));
    }
    return ok(evaluatorOf<Value>(parsed, type));
  });
}

function evaluatorOf<Value>(
  parsed: ParseResult,
  type: ExpressionType,
): Expression<Value> {
  const wanted = type === 'bool' ? 'boolean' : 'string';
  return (context) => {
    try {
      const value: unknown = parsed(context as never);
      return typeof value === wanted
        ? ok(value as Value)
        : err({kind: 'evaluation', message: `gave a ${typeof value}`});
    } catch (error) {
      const {summary} = error as RangedError;
      const message = summary ?? describeError(error);
      return err({kind: 'evaluation', message});
    }
  };
}
