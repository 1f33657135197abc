/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Client for the model API of inference engines. */
import type {ResultAsync} from 'neverthrow';
import {errAsync, ResultAsync as Async} from 'neverthrow';
import type {Failure} from 'shared';
import {describeError, readJsonBody} from 'shared';
import {request} from 'undici';
import {z} from 'zod';

/** Time for the whole response. */
const REQUEST_TIMEOUT_MS = 10_000;

const MAX_REPLY_BYTES = 4 * 1024 * 1024;
const HTTP_OK = 200;
const HTTP_CONFLICT = 409;

/** Why a request to an engine failed. */
export type EngineFailure =
  /** The engine has already accepted a higher fencing token. */
  | Failure<'old-fence'>
  /** No valid response; the order may or may not have been executed. */
  | Failure<'unreachable'>;

/** An order as sent to an engine. `fence` is its fencing token. */
export interface FencedOrder {
  readonly fence: number;
  readonly kind: 'load' | 'unload';
  readonly model: string;
}

/** Reads and changes the models that are loaded on an engine. */
export abstract class EngineClient {
  /** Returns the models loaded on an engine. */
  abstract listModels(url: string): ResultAsync<string[], EngineFailure>;

  /** Sends an order. Resolves to the models loaded after it. */
  abstract sendOrder(
    url: string,
    order: FencedOrder,
  ): ResultAsync<string[], EngineFailure>;
}

const ModelsReplySchema = z.object({models: z.array(z.string()).max(10_000)});

function unreachable(message: string): EngineFailure {
  return {kind: 'unreachable', message};
}

/** Calls engines over HTTP. */
export class HttpEngineClient extends EngineClient {
  override listModels(url: string): ResultAsync<string[], EngineFailure> {
    return this.send(`${url}/stats`, undefined);
  }

  override sendOrder(
    url: string,
    order: FencedOrder,
  ): ResultAsync<string[], EngineFailure> {
    return this.send(`${url}/orders`, order);
  }

  private send(
    url: string,
    order: FencedOrder | undefined,
  ): ResultAsync<string[], EngineFailure> {
    const responsePromise = request(url, {
      body: order === undefined ? null : JSON.stringify(order),
      headersTimeout: REQUEST_TIMEOUT_MS,
      method: order === undefined ? 'GET' : 'POST',
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    const reply = Async.fromPromise(responsePromise, (error) =>
      unreachable(describeError(error)),
    ).andThen((response) =>
      readJsonBody(response.body, MAX_REPLY_BYTES)
        .map((body) => ({body, status: response.statusCode}))
        .mapErr(({message}) => unreachable(message)),
    );
    return reply.andThen(({body, status}) => {
      if (status === HTTP_CONFLICT) {
        const message =
          'the engine has already accepted a higher fencing token';
        return errAsync<string[], EngineFailure>({kind: 'old-fence', message});
      }
      const parsed = ModelsReplySchema.safeParse(body);
      return status === HTTP_OK && parsed.success
        ? Async.fromSafePromise(Promise.resolve(parsed.data.models))
        : errAsync(unreachable(`invalid response with HTTP status ${status}`));
    });
  }
}
