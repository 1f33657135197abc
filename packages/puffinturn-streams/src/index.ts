/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Which version of a service began a stream, known at several boxes. */
export type {ControlOriginsParts, KnownVersions} from './ControlOrigins';
export {ControlOrigins} from './ControlOrigins';
export type {FoundOrigin, Lookup, MissedOrigin, OriginQuery} from './Lookup';
export {LOOKUP} from './Lookup';
export type {ReplicaBox} from './ReplicaSelector';
export type {KeyedOrigin, StreamOrigin} from './StreamOrigin';
export {streamKey} from './StreamOrigin';
export type {StreamOriginsParts} from './StreamOrigins';
export {StreamOrigins} from './StreamOrigins';
