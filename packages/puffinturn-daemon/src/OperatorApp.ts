/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** HTTP API for operators. */
import type {HttpBindings} from '@hono/node-server';
import type {Context, Next} from 'hono';
import {Hono} from 'hono';
import type {GatewayMetrics} from 'puffinturn-gateway';
import type {BodyFailure} from 'puffinturn-server';
import {BODY_REFUSALS, readBody} from 'puffinturn-server';
import type {HashedApiKey} from 'puffinturn-settings';
import {
  DeclarationSchema,
  findApiKey,
  parseJson,
  validateValue,
} from 'puffinturn-settings';

import type {OperatorApi, OperatorFailure} from './OperatorApi';

/** Dependencies of the operators' HTTP API. */
export interface OperatorAppParts {
  readonly api: OperatorApi;
  readonly keys: readonly HashedApiKey[];
  readonly metrics: GatewayMetrics;
  /** Updates the gauges before the metrics are read. */
  readonly refreshMetrics: () => void;
}

interface Variables {
  /** Name of the key that authenticated the request. */
  operator: string;
}

type Environment = {Bindings: HttpBindings; Variables: Variables};

const STATUS_BY_FAILURE = {
  invalid: 400,
  'region-unreachable': 503,
  'unknown-region': 404,
} as const;

/** Maximum size of a declaration, bytes; a larger body is read no further. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Creates the application. All paths under `/v1` require an operator key. */
export function createOperatorApp(parts: OperatorAppParts): Hono<Environment> {
  const {api, metrics} = parts;
  const app = new Hono<Environment>();

  app.get('/healthz', (context) => context.text('ok'));
  app.use('/v1/*', (context, next) => authenticate(parts, context, next));
  app.get('/metrics', async (context) => {
    parts.refreshMetrics();
    const text = await metrics.registry.metrics();
    return context.text(text, 200, {
      'content-type': metrics.registry.contentType,
    });
  });
  app.get('/v1/status', async (context) => context.json(await api.status()));
  app.get('/v1/config', async (context) => {
    const config = await api.config();
    return config.match(
      (entries) => context.json({entries}),
      (failure) => respondWithFailure(context, failure),
    );
  });
  app.post('/v1/declarations', (context) => declare(parts, context));
  app.get('/v1/timeline', async (context) => {
    const {box, budget, request, since} = context.req.query();
    const sinceMs = since === undefined ? undefined : Number(since);
    const filter = {box, budget, request, since: sinceMs};
    return context.json({events: await api.timeline(filter)});
  });
  return app;
}

async function authenticate(
  {keys}: OperatorAppParts,
  context: Context<Environment>,
  next: Next,
): Promise<Response | undefined> {
  const header = context.req.header('authorization') ?? '';
  const key = findApiKey(keys, header.replace(/^bearer /i, ''));
  if (key === undefined) {
    const message = 'an operator key is needed';
    return context.json({error: {kind: 'invalid-key', message}}, 401);
  }
  context.set('operator', key.name);
  await next();
  return undefined;
}

async function declare(
  {api}: OperatorAppParts,
  context: Context<Environment>,
): Promise<Response> {
  const bytes = await readBody(context, MAX_BODY_BYTES);
  if (bytes.isErr()) {
    return rejectBody(context, bytes.error);
  }
  const checked = parseJson(bytes.value, 'request').andThen((body) =>
    validateValue(DeclarationSchema, body, 'request'),
  );
  if (checked.isErr()) {
    return respondWithFailure(context, checked.error);
  }
  const reply = await api.declare(checked.value, context.get('operator'));
  return reply.match(
    (value) => context.json(value, outcomeStatusCode(value.outcome.kind)),
    (failure) => respondWithFailure(context, failure),
  );
}

function rejectBody(
  context: Context<Environment>,
  {kind, message}: BodyFailure,
): Response {
  switch (kind) {
    case 'body-broken':
      return context.json({error: {kind: 'incomplete', message}}, 400);
    case 'body-too-large': {
      const limit = `at most ${MAX_BODY_BYTES} bytes are taken`;
      return context.json({error: {kind: 'too-large', message: limit}}, 413);
    }
    case 'body-no-room':
    case 'body-stalled': {
      const {retryAfterS, status} = BODY_REFUSALS[kind];
      const headers = {'retry-after': String(retryAfterS)};
      return context.json({error: {kind, message}}, status, headers);
    }
  }
}

function outcomeStatusCode(kind: string): 200 | 409 | 422 {
  switch (kind) {
    case 'accepted':
      return 200;
    case 'rejected':
      return 422;
    default:
      return 409;
  }
}

function respondWithFailure(
  context: Context<Environment>,
  failure: OperatorFailure,
): Response {
  return context.json({error: failure}, STATUS_BY_FAILURE[failure.kind]);
}
