/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */
/** Quarantine of requests that crash upstreams. */
export type {PendingReport as Untold} from './CrashEvidence';
export {CrashEvidence} from './CrashEvidence';
export type {
  Crash,
  CrashImage,
  CrashReport,
  Quarantine,
  ReportedCrash,
} from './CrashRegister';
export {
  CrashRegister,
  NO_CRASHES,
  NO_QUARANTINE,
  NO_REPORT,
} from './CrashRegister';
export type {CrashWatchParts, WatchedUpstream} from './CrashWatch';
export {CrashWatch} from './CrashWatch';
export type {RequestContent} from './Fingerprint';
export {fingerprintOf} from './Fingerprint';
export type {ListenerState} from './ListenerProbe';
export {LISTENER, probeListener} from './ListenerProbe';
