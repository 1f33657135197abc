/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Handlers between undici and the sender of a request. */
import type {Dispatcher} from 'undici';
import {DecoratorHandler} from 'undici';

/** Passes on what undici reports of a response; subclasses change a part of it. */
export abstract class ResponseHandler extends DecoratorHandler {
  constructor(protected readonly handler: Dispatcher.DispatchHandler) {
    super(handler);
  }

  /**
   * Called for each interim response and for the final one, while a DecoratorHandler takes
   * one call only.
   */
  onResponseStart(
    ...response: Parameters<
      NonNullable<Dispatcher.DispatchHandler['onResponseStart']>
    >
  ): void {
    this.handler.onResponseStart?.(...response);
  }
}
