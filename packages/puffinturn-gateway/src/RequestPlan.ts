/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Plans a request: policy decision, key and worst-case cost. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {BoxMember, RequestTarget, Team} from 'puffinturn-membership';
import type {PolicyDecision, PolicyFailure} from 'puffinturn-policy';
import {digestBytes} from 'shared';

import type {CompletionBody} from './CompletionBody';
import type {GatewayFailure} from './GatewayFailure';
import {createFailure} from './GatewayFailure';
import type {PoolRegistry} from './PoolRegistry';

/** A request of an authenticated caller. */
export interface CallerRequest {
  readonly team: Team;
  /** Set only for model requests. */
  readonly completion: CompletionBody | undefined;
  /** Name of the service; empty for model requests. */
  readonly service: string;
  readonly method: string;
  /** Path and query sent to the upstream. */
  readonly path: string;
  /** Headers for the upstream and for policies; names are in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** The body as JSON for policies; null if it is not JSON. */
  readonly json: unknown;
  /** The Idempotency-Key of the caller; empty if there is none. */
  readonly key: string;
}

/** A request with its policy decision and upper bounds of its usage and cost. */
export interface RequestPlan {
  readonly request: CallerRequest;
  readonly configIndex: number;
  readonly decision: PolicyDecision;
  readonly target: RequestTarget;
  readonly key: string;
  readonly isKeyGenerated: boolean;
  readonly digest: string;
  /** Upper bound of the prompt, tokens. */
  readonly promptTokens: number;
  /** Upper bound of the completion, tokens. */
  readonly maxTokens: number;
  /** Worst-case cost, budget units. */
  readonly reserve: number;
}

/** Dependencies of planning. */
export interface RequestPlanParts {
  readonly member: BoxMember;
  readonly pools: PoolRegistry;
  /** Last known number of available units by budget. */
  readonly budgets: ReadonlyMap<string, bigint>;
  readonly wallTime: () => number;
  readonly generateKey: () => string;
}

/** Plans a request with the current configuration. */
export function planRequest(
  parts: RequestPlanParts,
  request: CallerRequest,
): Result<RequestPlan, GatewayFailure> {
  const {config} = parts.member;
  const {completion, team} = request;
  return config.policies
    .decide(
      {
        body: request.json,
        headers: request.headers,
        key: request.key,
        maxTokens: completion?.maxTokens ?? 0,
        method: request.method,
        model: completion?.model ?? '',
        path: request.path,
        promptTokens: completion?.promptBytes ?? 0,
        service: request.service,
        team: team.name,
      },
      parts.budgets,
      new Date(parts.wallTime()),
    )
    .mapErr(toGatewayFailure)
    .andThen((decision) => {
      const target = config.findTarget(decision.pool);
      if (target === undefined || !canServe(target, request)) {
        const message = `${decision.pool} does not serve this request`;
        return err(createFailure('not_found', message));
      }
      return resolveKey(parts, request, decision).andThen((key) =>
        priceRequest(parts, {
          configIndex: config.index,
          decision,
          key,
          request,
          target,
        }),
      );
    });
}

function toGatewayFailure(failure: PolicyFailure): GatewayFailure {
  return failure.kind === 'evaluation-failed'
    ? createFailure('policy_failed', failure.message)
    : createFailure('policy_refused', failure.message);
}

function canServe(
  target: RequestTarget,
  {completion, service}: CallerRequest,
): boolean {
  return target.kind === 'pool'
    ? completion !== undefined && target.spec.models.includes(completion.model)
    : completion === undefined && target.name === service;
}

/**
 * The key that identifies the request in the ledger. A business key from the
 * policy takes precedence, because it also detects duplicates that were sent
 * with a different Idempotency-Key.
 */
function resolveKey(
  parts: RequestPlanParts,
  request: CallerRequest,
  decision: PolicyDecision,
): Result<{key: string; isKeyGenerated: boolean}, GatewayFailure> {
  if (decision.key !== undefined) {
    const key = `business ${decision.pool} ${decision.key}`;
    return ok({isKeyGenerated: false, key});
  }
  if (request.key !== '') {
    return ok({isKeyGenerated: false, key: `caller ${request.key}`});
  }
  if (decision.runsAtMostOnce) {
    const message =
      'a request that must not be repeated needs an Idempotency-Key';
    return err(createFailure('key_required', message));
  }
  return ok({isKeyGenerated: true, key: `box ${parts.generateKey()}`});
}

interface PricingInput {
  readonly configIndex: number;
  readonly decision: PolicyDecision;
  readonly key: {readonly key: string; readonly isKeyGenerated: boolean};
  readonly request: CallerRequest;
  readonly target: RequestTarget;
}

function priceRequest(
  parts: RequestPlanParts,
  {configIndex, decision, key, request, target}: PricingInput,
): Result<RequestPlan, GatewayFailure> {
  const digest = digestBytes(
    Buffer.concat([
      Buffer.from(`${request.method} ${request.path}\n`),
      request.body,
    ]),
  );
  const base = {...key, configIndex, decision, digest, request, target};
  const {completion} = request;
  if (target.kind === 'service' || completion === undefined) {
    const reserve = target.kind === 'service' ? target.spec.callPrice : 0;
    return ok({...base, maxTokens: 0, promptTokens: 0, reserve});
  }
  const {spec} = target;
  const {promptTokenBound} = parts.pools.getPool(target);
  const promptTokens =
    promptTokenBound.maxTokens(completion.promptBytes) +
    completion.messages * spec.tokensPerMessage;
  const availableTokens = spec.contextTokens - promptTokens;
  if (availableTokens <= 0) {
    const message = `the prompt may take ${promptTokens} tokens of ${spec.contextTokens}`;
    return err(createFailure('context_too_long', message));
  }
  const requestedTokens = completion.maxTokens || spec.defaultMaxTokens;
  const maxTokens = Math.min(
    requestedTokens,
    decision.maxTokens ?? requestedTokens,
    availableTokens,
  );
  const reserve =
    promptTokens * spec.price.prompt + maxTokens * spec.price.completion;
  return ok({...base, maxTokens, promptTokens, reserve});
}
