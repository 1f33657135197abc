/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Structured log lines that record the decisions of a process. */
export type {
  CostlyReads,
  Decision,
  EndedTokens,
  ResponseCount,
  ResumptionOutcome,
  TeamGrantCounts,
  TeamTokenAmount,
  TeamTokenCounts,
  TokenState,
  VersionResponseCounts,
} from './Decision';
export {RESUMPTION_OUTCOME} from './Decision';
export type {DecisionLogParts} from './DecisionLog';
export {
  DecisionLog,
  InMemoryDecisionLog,
  JsonDecisionLog,
  NoopDecisionLog,
} from './DecisionLog';
export {selectLargestTeams} from './selectLargestTeams';
