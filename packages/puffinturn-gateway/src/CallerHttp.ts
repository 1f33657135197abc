/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The callers' HTTP interface: OpenAI's protocol and plain services. */
import type {HttpBindings} from '@hono/node-server';
import type {Context} from 'hono';
import {Hono} from 'hono';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import type {BoxMember, Team} from 'puffinturn-membership';

import type {Answer, AnswerHead, AnswerReader} from './Answer';
import {checkCompletion} from './CompletionBody';
import type {CallerAnswer, Gateway} from './Gateway';
import {MAX_KEY_LENGTH} from './GatewayConstants';
import type {GatewayFailure} from './GatewayFailure';
import {errorBody, gatewayFailure, OUTCOME} from './GatewayFailure';
import type {GatewayMetrics} from './GatewayMetrics';
import type {CallerRequest} from './Plan';

type HttpContext = Context<{Bindings: HttpBindings}>;

/** What the interface needs. */
export interface CallerHttpParts {
  readonly gateway: Gateway;
  readonly member: BoxMember;
  readonly metrics: GatewayMetrics;
  /** Largest body of a request, bytes. */
  readonly bodyBytes: number;
  /** Whether the balancer should send requests here. */
  readonly isHealthy: () => boolean;
}

/** Headers that must not come twice, as they could be read in two ways. */
const SINGLE_HEADERS = ['authorization', 'idempotency-key', 'content-type'];

/** Headers that concern one connection or this system only. */
const OWN_HEADERS = new Set([
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

const JSON_TYPE = 'application/json';

/** The application; serve it with a Node server. */
export function callerHttp(
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
      refuse,
    ),
  );
  app.post('/v1/chat/completions', (context) =>
    completion(parts, context, 'chat'),
  );
  app.post('/v1/completions', (context) => completion(parts, context, 'text'));
  app.all('/services/:service/*', (context) => service(parts, context));
  app.notFound(() => refuse(gatewayFailure('not_found', 'no such path')));
  app.onError((error) => {
    const failure = gatewayFailure('bad_request', error.message);
    return refuse({...failure, outcome: OUTCOME.unknown, status: 500});
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
  const repeated = repeatedHeader(context.env.incoming.rawHeaders);
  if (repeated !== undefined) {
    const message = `the header ${repeated} came more than once`;
    return err(gatewayFailure('bad_request', message));
  }
  const [scheme, key] = (context.req.header('authorization') ?? '').split(' ');
  const bearer = scheme?.toLowerCase() === 'bearer' && key ? key : undefined;
  const team = bearer === undefined ? undefined : member.config.teamOf(bearer);
  if (team !== undefined) {
    return ok(team);
  }
  // A key may be newer than the configuration that this box has.
  if (bearer !== undefined && (await member.refresh())) {
    const added = member.config.teamOf(bearer);
    if (added !== undefined) {
      return ok(added);
    }
  }
  return member.isReady
    ? err(gatewayFailure('invalid_key', 'a valid bearer key is needed'))
    : err(gatewayFailure('not_ready', 'this box is not up to date', 1_000));
}

function repeatedHeader(rawHeaders: readonly string[]): string | undefined {
  const names = rawHeaders
    .filter((_, position) => position % 2 === 0)
    .map((name) => name.toLowerCase());
  return SINGLE_HEADERS.find(
    (single) => names.filter((name) => name === single).length > 1,
  );
}

async function readBody(
  context: HttpContext,
  limit: number,
): Promise<Result<Uint8Array, GatewayFailure>> {
  const tooLarge = (): Result<Uint8Array, GatewayFailure> =>
    err(gatewayFailure('body_too_large', `at most ${limit} bytes are taken`));
  if (Number(context.req.header('content-length') ?? 0) > limit) {
    return tooLarge();
  }
  const parts: Uint8Array[] = [];
  let length = 0;
  try {
    for await (const part of context.env.incoming) {
      length += part.length;
      if (length > limit) {
        return tooLarge();
      }
      parts.push(part);
    }
  } catch {
    return err(gatewayFailure('bad_request', 'the body broke off'));
  }
  return ok(Buffer.concat(parts));
}

function parseBody(body: Uint8Array): Result<unknown, GatewayFailure> {
  try {
    const text = new TextDecoder('utf-8', {fatal: true}).decode(body);
    return ok(JSON.parse(text));
  } catch {
    return err(gatewayFailure('bad_request', 'the body is not JSON in UTF-8'));
  }
}

function callerKey(context: HttpContext): Result<string, GatewayFailure> {
  const key = context.req.header('idempotency-key') ?? '';
  return key.length > MAX_KEY_LENGTH
    ? err(gatewayFailure('bad_request', 'the Idempotency-Key is too long'))
    : ok(key);
}

function upstreamHeaders(context: HttpContext): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(context.req.header())) {
    if (!OWN_HEADERS.has(name)) {
      headers[name] = value;
    }
  }
  return headers;
}

async function completion(
  parts: CallerHttpParts,
  context: HttpContext,
  kind: 'chat' | 'text',
): Promise<Response> {
  const team = await authenticate(parts, context);
  if (team.isErr()) {
    return refuse(team.error);
  }
  const body = await readBody(context, parts.bodyBytes);
  const request = body.andThen((bytes) =>
    parseBody(bytes).andThen((json) =>
      checkCompletion(json, kind).andThen((checked) =>
        callerKey(context).map((key): CallerRequest => ({
          body: bytes,
          completion: checked,
          headers: upstreamHeaders(context),
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
    ? refuse(request.error)
    : respond(parts, context, request.value);
}

async function service(
  parts: CallerHttpParts,
  context: HttpContext,
): Promise<Response> {
  const team = await authenticate(parts, context);
  if (team.isErr()) {
    return refuse(team.error);
  }
  const name = context.req.param('service') ?? '';
  const body = await readBody(context, parts.bodyBytes);
  const request = body.andThen((bytes) =>
    callerKey(context).map((key): CallerRequest => {
      const isJson = context.req.header('content-type')?.includes(JSON_TYPE);
      const {pathname, search} = new URL(context.req.url);
      return {
        body: bytes,
        completion: undefined,
        headers: upstreamHeaders(context),
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
    ? refuse(request.error)
    : respond(parts, context, request.value);
}

async function respond(
  {gateway, metrics}: CallerHttpParts,
  context: HttpContext,
  request: CallerRequest,
): Promise<Response> {
  const handled = await gateway.handle(request);
  if (handled.isErr()) {
    const {kind: code, outcome} = handled.error;
    const target = request.service || (request.completion?.model ?? '');
    metrics.requests.inc({code, outcome, target});
    return refuse(handled.error);
  }
  return answerResponse(handled.value, context);
}

async function answerResponse(
  {answer, requestId}: CallerAnswer,
  context: HttpContext,
): Promise<Response> {
  const reader = answer.read();
  const leave = (): void => reader[Symbol.dispose]();
  context.env.outgoing.once('close', leave);
  const head = await reader.head();
  if (head === undefined) {
    const failure = answer.end?.kind === 'failed' ? answer.end.failure : null;
    return refuse(
      failure ?? gatewayFailure('upstream_failed', 'no answer'),
      requestId,
    );
  }
  const headers = headersOf(head, requestId);
  if (answer.end?.kind === 'whole') {
    const body = Buffer.concat(await reader.chunks());
    leave();
    return new Response(bodyFor(head, body), {headers, status: head.status});
  }
  const stream = streamOf(answer, reader);
  return new Response(stream, {headers, status: head.status});
}

/** Statuses whose responses must not have a body. */
const BODILESS = new Set([204, 205, 304]);

function bodyFor({status}: AnswerHead, body: Buffer): Buffer | null {
  return BODILESS.has(status) ? null : body;
}

function headersOf(head: AnswerHead, requestId: string): Headers {
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

/** The body of an answer that is still coming, at the caller's own pace. */
function streamOf(
  answer: Answer,
  reader: AnswerReader,
): ReadableStream<Uint8Array> {
  return new ReadableStream({
    cancel: () => reader[Symbol.dispose](),
    async pull(controller) {
      const chunks = await reader.chunks();
      if (chunks.length > 0) {
        controller.enqueue(Buffer.concat(chunks));
        return;
      }
      if (answer.end?.kind === 'failed') {
        const body = errorBody(answer.end.failure);
        // No terminating event follows, so that nobody takes it for whole.
        const event = `event: error\ndata: ${body}\n\n`;
        controller.enqueue(new TextEncoder().encode(event));
      }
      reader[Symbol.dispose]();
      controller.close();
    },
  });
}

function refuse(failure: GatewayFailure, requestId?: string): Response {
  const headers = new Headers({
    'content-type': JSON_TYPE,
    'puffinturn-outcome': failure.outcome,
  });
  if (requestId !== undefined) {
    headers.set('puffinturn-request', encodeURIComponent(requestId));
  }
  if (failure.retryAfterMs !== undefined) {
    const seconds = Math.ceil(failure.retryAfterMs / 1_000);
    headers.set('retry-after', String(seconds));
  }
  return new Response(errorBody(failure), {headers, status: failure.status});
}
