/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Replicated budgets, requests and declarations of a region. */
export type {BoxEntry} from './BoxTable';
export type {BudgetState} from './BudgetAccount';
export {
  allocatedUnits,
  availableUnits,
  committedUnits,
  outstandingGrants,
} from './BudgetAccount';
export type {ControlClientParts, SubmitOptions} from './ControlClient';
export {ControlClient} from './ControlClient';
export type {
  BudgetReport,
  ConfigReply,
  ControlFailure,
  ControlReply,
  ControlRequest,
  DeclareReply,
  RegionReport,
} from './ControlMessages';
export {CONTROL_SERVICE} from './ControlMessages';
export type {ControlServiceParts} from './ControlService';
export {ControlService} from './ControlService';
export type {DeclarationEntry} from './DeclarationTable';
export type {RegionSupply} from './GrantSplit';
export {computeGrantTarget} from './GrantSplit';
export {Ledger} from './Ledger';
export type {LedgerBreakage} from './LedgerBreakage';
export {MAX_STORED_RESPONSE_BYTES, ORPHAN_TIMEOUT_MS} from './LedgerConstants';
export type {
  AdmitOutcome,
  AttemptOutcome,
  DeclareOutcome,
  LedgerOutcome,
  OpenOrder,
  OrderOutcome,
  RequestView,
} from './LedgerOutcomes';
export type {
  AdmitRecord,
  AttemptId,
  LedgerRecord,
  RequestState,
  StoredResponse,
} from './LedgerRecords';
export {REQUEST_STATE} from './LedgerRecords';
export type {RequestEntry} from './RequestTable';
