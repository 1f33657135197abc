/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Bounds the interim responses before a final one (RFC 9110, section 15.2). They may come
 * without end, and undici reads them until the time-out of the head.
 */
import {isFinalStatus} from 'shared';
import type {Dispatcher} from 'undici';

import {MAX_INTERIM_RESPONSES} from './GatewayConstants';
import {ResponseHandler} from './ResponseHandler';

/** Fails requests with too many interim responses. */
export const limitInterimResponses: Dispatcher.DispatcherComposeInterceptor =
  (dispatch) => (options, handler) =>
    dispatch(options, new InterimHandler(handler));

/** Counts the interim responses to one request. */
class InterimHandler extends ResponseHandler {
  private interimCount = 0;

  override onResponseStart(
    ...response: Parameters<ResponseHandler['onResponseStart']>
  ): void {
    const [controller, status] = response;
    this.interimCount += isFinalStatus(status) ? 0 : 1;
    if (this.interimCount > MAX_INTERIM_RESPONSES) {
      controller.abort(new Error('too many interim responses'));
    } else {
      super.onResponseStart(...response);
    }
  }
}
