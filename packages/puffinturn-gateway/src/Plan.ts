/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** What one request needs: decided by policy, priced by its pool. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {BoxMember, Target, Team} from 'puffinturn-membership';
import type {PolicyDecision, PolicyFailure} from 'puffinturn-policy';
import {digestBytes} from 'shared';

import type {CompletionBody} from './CompletionBody';
import type {GatewayFailure} from './GatewayFailure';
import {gatewayFailure} from './GatewayFailure';
import type {Pools} from './Pools';

/** A request of an authenticated caller. */
export interface CallerRequest {
  readonly team: Team;
  /** Set for model requests. */
  readonly completion: CompletionBody | undefined;
  /** The service's name; empty for model requests. */
  readonly service: string;
  readonly method: string;
  /** The path that the upstream sees, with its query. */
  readonly path: string;
  /** Headers for the upstream and for policies; names in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** The body as JSON for policies; null when it is none. */
  readonly json: unknown;
  /** The caller's key; empty when there is none. */
  readonly key: string;
}

/** What a request will need and cost at most. */
export interface Plan {
  readonly request: CallerRequest;
  readonly configIndex: number;
  readonly decision: PolicyDecision;
  readonly target: Target;
  readonly key: string;
  readonly generatedKey: boolean;
  readonly digest: string;
  /** Upper bound of the prompt, tokens. */
  readonly promptTokens: number;
  /** Upper bound of the completion, tokens. */
  readonly maxTokens: number;
  /** Worst-case cost, budget units. */
  readonly reserve: number;
}

/** What planning needs. */
export interface PlanParts {
  readonly member: BoxMember;
  readonly pools: Pools;
  /** Units that each budget had left when this box last heard. */
  readonly budgets: ReadonlyMap<string, bigint>;
  readonly wallTime: () => number;
  readonly newKey: () => string;
}

/** Decides and prices a request under the configuration that is known now. */
export function planRequest(
  parts: PlanParts,
  request: CallerRequest,
): Result<Plan, GatewayFailure> {
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
    .mapErr(policyFailure)
    .andThen((decision) => {
      const target = config.target(decision.pool);
      if (target === undefined || !serves(target, request)) {
        const message = `${decision.pool} does not serve this request`;
        return err(gatewayFailure('not_found', message));
      }
      return keyOf(parts, request, decision).andThen((key) =>
        price(parts, {
          configIndex: config.index,
          decision,
          key,
          request,
          target,
        }),
      );
    });
}

function policyFailure(failure: PolicyFailure): GatewayFailure {
  return failure.kind === 'evaluation-failed'
    ? gatewayFailure('policy_failed', failure.message)
    : gatewayFailure('policy_refused', failure.message);
}

function serves(target: Target, {completion, service}: CallerRequest): boolean {
  return target.kind === 'pool'
    ? completion !== undefined && target.spec.models.includes(completion.model)
    : completion === undefined && target.name === service;
}

/**
 * The key that claims the request. A business key goes before the caller's,
 * since only it also stops a second order sent under another caller's key.
 */
function keyOf(
  parts: PlanParts,
  request: CallerRequest,
  decision: PolicyDecision,
): Result<{key: string; generatedKey: boolean}, GatewayFailure> {
  if (decision.key !== undefined) {
    const key = `business ${decision.pool} ${decision.key}`;
    return ok({generatedKey: false, key});
  }
  if (request.key !== '') {
    return ok({generatedKey: false, key: `caller ${request.key}`});
  }
  if (decision.marked) {
    const message =
      'a request that must not be repeated needs an Idempotency-Key';
    return err(gatewayFailure('key_required', message));
  }
  return ok({generatedKey: true, key: `box ${parts.newKey()}`});
}

interface Priced {
  readonly configIndex: number;
  readonly decision: PolicyDecision;
  readonly key: {readonly key: string; readonly generatedKey: boolean};
  readonly request: CallerRequest;
  readonly target: Target;
}

function price(
  parts: PlanParts,
  {configIndex, decision, key, request, target}: Priced,
): Result<Plan, GatewayFailure> {
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
  const {promptBound} = parts.pools.of(target);
  const promptTokens =
    promptBound.tokens(completion.promptBytes) +
    completion.messages * spec.tokensPerMessage;
  const room = spec.contextTokens - promptTokens;
  if (room <= 0) {
    const message = `the prompt may take ${promptTokens} tokens of ${spec.contextTokens}`;
    return err(gatewayFailure('context_too_long', message));
  }
  const asked = completion.maxTokens || spec.defaultMaxTokens;
  const maxTokens = Math.min(asked, decision.maxTokens ?? asked, room);
  const reserve =
    promptTokens * spec.price.prompt + maxTokens * spec.price.completion;
  return ok({...base, maxTokens, promptTokens, reserve});
}
