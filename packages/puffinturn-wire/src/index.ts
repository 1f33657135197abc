/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Remote calls between boxes. */
export type {FrameFailure} from './Frame';
export {encodeFrame, FrameReader} from './Frame';
export type {LinkFailure, ServiceHandler} from './Link';
export {Link} from './Link';
export type {DelayRange} from './MemoryNetwork';
export {MemoryLink, MemoryNetwork} from './MemoryNetwork';
export type {Address, LinkTls, ListenFailure, TcpLinkParts} from './TcpLink';
export {TcpLink} from './TcpLink';
export {MAX_FRAME_BYTES, WIRE_VERSION} from './WireConstants';
