/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Sends orders to inference engines to load or unload models. */
export type {EngineFailure, FencedOrder} from './EngineClient';
export {EngineClient, HttpEngineClient} from './EngineClient';
export type {OrderControllerParts} from './OrderController';
export {OrderController} from './OrderController';
export type {
  EngineState,
  Placement,
  PlanLimits,
  PlannedOrder,
} from './OrderPlan';
export {planOrders} from './OrderPlan';
