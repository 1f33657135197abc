/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */
/** Quarantine of requests that crash upstreams. */
export type {
  CrashDetectorParts,
  InterruptedRequest,
  WatchedUpstream,
} from './CrashDetector';
export {CrashDetector} from './CrashDetector';
export type {
  Answer,
  Crash,
  CrashReport,
  CrashSnapshot,
  Quarantine,
  QuarantineEntry,
  ReportedCrash,
} from './CrashRegistry';
export {
  CrashRegistry,
  EMPTY_CRASH_REPORT,
  EMPTY_CRASH_SNAPSHOT,
  EMPTY_QUARANTINE,
} from './CrashRegistry';
export type {RequestContent} from './Fingerprint';
export {fingerprintOf} from './Fingerprint';
export type {ListenerState} from './ListenerProbe';
export {LISTENER_STATE, listenerStateOf, probeListener} from './ListenerProbe';
export type {PendingReport} from './LocalQuarantine';
export {LocalQuarantine} from './LocalQuarantine';
export type {PromptContent} from './PartFeatures';
export {partFeaturesOf} from './PartFeatures';
