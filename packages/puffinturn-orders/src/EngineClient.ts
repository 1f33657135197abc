/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** How orders reach engines. */
import type {ResultAsync} from 'neverthrow';
import {errAsync, ResultAsync as Async} from 'neverthrow';
import type {Failure} from 'shared';
import {describeError} from 'shared';
import {request} from 'undici';
import {z} from 'zod';

const TIMEOUT_MS = 10_000;
const HTTP_OK = 200;
const HTTP_CONFLICT = 409;

/** Why an order has no effect that is known. */
export type EngineFailure =
  | Failure<'old-fence'>
  /** It may or may not have been carried out. */
  | Failure<'unreachable'>;

/** An order as an engine gets it. */
export interface FencedOrder {
  readonly fence: number;
  readonly kind: 'load' | 'unload';
  readonly model: string;
}

/** Talks to engines about what they hold. */
export abstract class EngineClient {
  /** Models that an engine holds. */
  abstract models(url: string): ResultAsync<string[], EngineFailure>;

  /** Sends one order; resolves with the models held after it. */
  abstract order(
    url: string,
    order: FencedOrder,
  ): ResultAsync<string[], EngineFailure>;
}

const ModelsSchema = z.object({models: z.array(z.string()).max(10_000)});

function unreachable(message: string): EngineFailure {
  return {kind: 'unreachable', message};
}

/** Engines over HTTP. */
export class HttpEngineClient extends EngineClient {
  override models(url: string): ResultAsync<string[], EngineFailure> {
    return this.send(`${url}/stats`, undefined);
  }

  override order(
    url: string,
    order: FencedOrder,
  ): ResultAsync<string[], EngineFailure> {
    return this.send(`${url}/orders`, order);
  }

  private send(
    url: string,
    order: FencedOrder | undefined,
  ): ResultAsync<string[], EngineFailure> {
    const sent = request(url, {
      body: order === undefined ? null : JSON.stringify(order),
      bodyTimeout: TIMEOUT_MS,
      headersTimeout: TIMEOUT_MS,
      method: order === undefined ? 'GET' : 'POST',
    }).then(async (answer) => ({
      body: (await answer.body.json()) as unknown,
      status: answer.statusCode,
    }));
    return Async.fromPromise(sent, (error) =>
      unreachable(describeError(error)),
    ).andThen(({body, status}) => {
      if (status === HTTP_CONFLICT) {
        const message = 'the engine has seen a newer order';
        return errAsync<string[], EngineFailure>({kind: 'old-fence', message});
      }
      const parsed = ModelsSchema.safeParse(body);
      return status === HTTP_OK && parsed.success
        ? Async.fromSafePromise(Promise.resolve(parsed.data.models))
        : errAsync(unreachable(`status ${status}`));
    });
  }
}
