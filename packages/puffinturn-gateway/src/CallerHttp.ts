/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** HTTP interface for callers: the OpenAI API and plain services. */
import type {HttpBindings} from '@hono/node-server';
import type {Context} from 'hono';
import {Hono} from 'hono';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {BoxMember, Team} from 'puffinturn-membership';
import type {BodyFailure} from 'puffinturn-server';
import {BODY_REFUSALS, readBody} from 'puffinturn-server';
import {parseUtf8Json} from 'shared';

import type {
  BufferedResponse,
  ResponseHead,
  ResponseReader,
} from './BufferedResponse';
import {validateCompletion} from './CompletionBody';
import type {CallerResponse, Gateway} from './Gateway';
import {JSON_CONTENT_TYPE, MAX_KEY_LENGTH} from './GatewayConstants';
import type {GatewayFailure} from './GatewayFailure';
import {createFailure, formatErrorBody, OUTCOME} from './GatewayFailure';
import type {GatewayMetrics} from './GatewayMetrics';
import type {CallerRequest} from './RequestPlan';

type HttpContext = Context<{Bindings: HttpBindings}>;

/** Dependencies and settings of the HTTP interface. */
export interface CallerHttpParts {
  readonly gateway: Gateway;
  readonly member: BoxMember;
  readonly metrics: GatewayMetrics;
  /** Maximum size of a request body, bytes. */
  readonly maxBodyBytes: number;
  /** Whether the load balancer should send requests to this box. */
  readonly isHealthy: () => boolean;
}

/** Headers that must not be repeated, as their value would be ambiguous. */
const NON_REPEATABLE_HEADERS = [
  'authorization',
  'idempotency-key',
  'content-type',
];

/** Hop-by-hop headers and headers for this system only. */
const NOT_FORWARDED_HEADERS = new Set([
  'accept-encoding',
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'idempotency-key',
  'keep-alive',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

const MS_PER_S = 1_000;

/** Creates the Hono application. */
export function createCallerApp(
  parts: CallerHttpParts,
): Hono<{Bindings: HttpBindings}> {
  const app = new Hono<{Bindings: HttpBindings}>();
  const {gateway, member} = parts;

  app.get('/healthz', (context) =>
    parts.isHealthy() ? context.text('ok') : context.text('stopping', 503),
  );
  app.get('/readyz', (context) =>
    gateway.isReady && parts.isHealthy()
      ? context.text('ready')
      : context.text('not ready', 503),
  );
  app.get('/v1/models', async (context) =>
    (await authenticate(parts, context)).match(
      () => context.json(listModels(member)),
      createErrorResponse,
    ),
  );
  app.post('/v1/chat/completions', (context) =>
    handleCompletion(parts, context, 'chat'),
  );
  app.post('/v1/completions', (context) =>
    handleCompletion(parts, context, 'text'),
  );
  app.all('/services/:service/*', (context) => handleService(parts, context));
  app.notFound(() =>
    createErrorResponse(createFailure('not_found', 'no such path')),
  );
  app.onError((error) => {
    const failure = createFailure('bad_request', error.message);
    return createErrorResponse({
      ...failure,
      outcome: OUTCOME.unknown,
      status: 500,
    });
  });
  return app;
}

function listModels({config}: BoxMember) {
  const models = config
    .allTargets()
    .flatMap((target) => (target.kind === 'pool' ? target.spec.models : []));
  return {
    data: [...new Set(models)].map((id) => ({
      id,
      object: 'model',
      owned_by: 'puffinturn',
    })),
    object: 'list',
  };
}

async function authenticate(
  {member}: CallerHttpParts,
  context: HttpContext,
): Promise<Result<Team, GatewayFailure>> {
  const repeatedHeader = findRepeatedHeader(context.env.incoming.rawHeaders);
  if (repeatedHeader !== undefined) {
    const message = `the header ${repeatedHeader} came more than once`;
    return err(createFailure('bad_request', message));
  }
  const [scheme, key] = (context.req.header('authorization') ?? '').split(' ');
  const token = scheme?.toLowerCase() === 'bearer' && key ? key : undefined;
  const team =
    token === undefined ? undefined : member.config.findTeamByKey(token);
  if (team !== undefined) {
    return ok(team);
  }
  // The key may be newer than the configuration of this box.
  if (token !== undefined && (await member.refreshConfig())) {
    const newTeam = member.config.findTeamByKey(token);
    if (newTeam !== undefined) {
      return ok(newTeam);
    }
  }
  return member.isReady
    ? err(createFailure('invalid_key', 'a valid bearer key is needed'))
    : err(createFailure('not_ready', 'this box is not up to date', 1_000));
}

function findRepeatedHeader(rawHeaders: readonly string[]): string | undefined {
  const names = rawHeaders
    .filter((_, index) => index % 2 === 0)
    .map((name) => name.toLowerCase());
  return NON_REPEATABLE_HEADERS.find(
    (header) => names.filter((name) => name === header).length > 1,
  );
}

async function readCallerBody(
  context: HttpContext,
  limit: number,
): Promise<Result<Uint8Array, GatewayFailure>> {
  const body = await readBody(context, limit);
  return body.mapErr((failure) => describeUnreadBody(failure, limit));
}

function describeUnreadBody(
  {kind, message}: BodyFailure,
  limit: number,
): GatewayFailure {
  switch (kind) {
    case 'body-broken':
      return createFailure('bad_request', 'the body broke off');
    case 'body-too-large':
      return createFailure(
        'body_too_large',
        `at most ${limit} bytes are taken`,
      );
    case 'body-stalled':
    case 'body-no-room':
      return createFailure(
        kind === 'body-stalled' ? 'body_stalled' : 'overloaded',
        message,
        BODY_REFUSALS[kind].retryAfterS * MS_PER_S,
      );
  }
}

function parseBody(body: Uint8Array): Result<unknown, GatewayFailure> {
  return parseUtf8Json(body).mapErr(() =>
    createFailure('bad_request', 'the body is not JSON in UTF-8'),
  );
}

function readIdempotencyKey(
  context: HttpContext,
): Result<string, GatewayFailure> {
  const key = context.req.header('idempotency-key') ?? '';
  return key.length > MAX_KEY_LENGTH
    ? err(createFailure('bad_request', 'the Idempotency-Key is too long'))
    : ok(key);
}

function forwardedHeaders(context: HttpContext): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(context.req.header())) {
    if (!NOT_FORWARDED_HEADERS.has(name)) {
      headers[name] = value;
    }
  }
  return headers;
}

async function handleCompletion(
  parts: CallerHttpParts,
  context: HttpContext,
  kind: 'chat' | 'text',
): Promise<Response> {
  const team = await authenticate(parts, context);
  if (team.isErr()) {
    return createErrorResponse(team.error);
  }
  const body = await readCallerBody(context, parts.maxBodyBytes);
  const request = body.andThen((bytes) =>
    parseBody(bytes).andThen((json) =>
      validateCompletion(json, kind).andThen((checked) =>
        readIdempotencyKey(context).map((key): CallerRequest => ({
          body: bytes,
          completion: checked,
          headers: forwardedHeaders(context),
          json,
          key,
          method: 'POST',
          path: context.req.path,
          service: '',
          team: team.value,
        })),
      ),
    ),
  );
  return request.isErr()
    ? createErrorResponse(request.error)
    : serveRequest(parts, context, request.value);
}

async function handleService(
  parts: CallerHttpParts,
  context: HttpContext,
): Promise<Response> {
  const team = await authenticate(parts, context);
  if (team.isErr()) {
    return createErrorResponse(team.error);
  }
  const name = context.req.param('service') ?? '';
  const body = await readCallerBody(context, parts.maxBodyBytes);
  const request = body.andThen((bytes) =>
    readIdempotencyKey(context).map((key): CallerRequest => {
      const isJson = context.req
        .header('content-type')
        ?.includes(JSON_CONTENT_TYPE);
      const {pathname, search} = new URL(context.req.url);
      return {
        body: bytes,
        completion: undefined,
        headers: forwardedHeaders(context),
        json: isJson === true ? parseBody(bytes).unwrapOr(null) : null,
        key,
        method: context.req.method,
        path: pathname.slice(`/services/${name}`.length) + search,
        service: name,
        team: team.value,
      };
    }),
  );
  return request.isErr()
    ? createErrorResponse(request.error)
    : serveRequest(parts, context, request.value);
}

async function serveRequest(
  {gateway, metrics}: CallerHttpParts,
  context: HttpContext,
  request: CallerRequest,
): Promise<Response> {
  const result = await gateway.handle(request);
  if (result.isErr()) {
    const {kind: code, outcome} = result.error;
    const target = request.service || (request.completion?.model ?? '');
    metrics.requests.inc({code, outcome, target});
    return createErrorResponse(result.error);
  }
  return toHttpResponse(result.value, context);
}

async function toHttpResponse(
  {response, requestId}: CallerResponse,
  context: HttpContext,
): Promise<Response> {
  const reader = response.createReader();
  const closeReader = (): void => reader[Symbol.dispose]();
  context.env.outgoing.once('close', closeReader);
  const head = await reader.waitForHead();
  if (head === undefined) {
    const failure =
      response.end?.kind === 'failed' ? response.end.failure : null;
    return createErrorResponse(
      failure ?? createFailure('upstream_failed', 'no answer'),
      requestId,
    );
  }
  const headers = responseHeaders(head, requestId);
  if (response.end?.kind === 'whole') {
    const body = Buffer.concat(await reader.readAvailable());
    closeReader();
    return new Response(responseBody(head, body), {
      headers,
      status: head.status,
    });
  }
  const stream = createBodyStream(response, reader);
  return new Response(stream, {headers, status: head.status});
}

/** Statuses of responses without a body. */
const BODILESS_STATUSES = new Set([204, 205, 304]);

function responseBody({status}: ResponseHead, body: Buffer): Buffer | null {
  return BODILESS_STATUSES.has(status) ? null : body;
}

function responseHeaders(head: ResponseHead, requestId: string): Headers {
  const headers = new Headers({
    'content-type': head.contentType,
    'puffinturn-outcome': head.outcome,
    'puffinturn-request': encodeURIComponent(requestId),
  });
  if (head.billed !== undefined) {
    headers.set('puffinturn-billed', String(head.billed));
  }
  return headers;
}

/** Streams the body of a response in progress, with back-pressure. */
function createBodyStream(
  response: BufferedResponse,
  reader: ResponseReader,
): ReadableStream<Uint8Array> {
  return new ReadableStream({
    cancel: () => reader[Symbol.dispose](),
    async pull(controller) {
      const chunks = await reader.readAvailable();
      if (chunks.length > 0) {
        controller.enqueue(Buffer.concat(chunks));
        return;
      }
      if (response.end?.kind === 'failed') {
        const body = formatErrorBody(response.end.failure);
        // No [DONE] event follows, so that the response does not look complete.
        const event = `event: error\ndata: ${body}\n\n`;
        controller.enqueue(new TextEncoder().encode(event));
      }
      reader[Symbol.dispose]();
      controller.close();
    },
  });
}

function createErrorResponse(
  failure: GatewayFailure,
  requestId?: string,
): Response {
  const headers = new Headers({
    'content-type': JSON_CONTENT_TYPE,
    'puffinturn-outcome': failure.outcome,
  });
  if (requestId !== undefined) {
    headers.set('puffinturn-request', encodeURIComponent(requestId));
  }
  if (failure.retryAfterMs !== undefined) {
    const seconds = Math.ceil(failure.retryAfterMs / 1_000);
    headers.set('retry-after', String(seconds));
  }
  return new Response(formatErrorBody(failure), {
    headers,
    status: failure.status,
  });
}
