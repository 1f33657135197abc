/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** A request whose connection can be left unread while its body is collected. */
import {IncomingMessage} from 'node:http';

/** Stops and resumes reading a connection without buffering what it still brings. */
export class PacedRequest extends IncomingMessage {
  private isSuspended = false;

  /** Pausing the request itself would read on until its buffer is full. */
  suspendReading(): void {
    this.isSuspended = true;
    this.socket.pause();
  }

  resumeReading(): void {
    this.isSuspended = false;
    if (!this.socket.destroyed) {
      super._read(0);
    }
  }

  /** Called by the stream when it wants more bytes. */
  override _read(size: number): void {
    if (!this.isSuspended) {
      super._read(size);
    }
  }
}
