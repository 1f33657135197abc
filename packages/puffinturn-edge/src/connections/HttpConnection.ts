/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * HTTP/1.1 connection to an upstream, for one request at a time. Bytes that arrive after
 * a complete response or without an open request close the connection, so that they are
 * not taken for the next response.
 */
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {performance} from 'node:perf_hooks';

import type {ReadLoad, ReadSource} from 'shared';
import {ChunkCollector, readScheduler} from 'shared';

import {TunnelFrameReader} from '../tunnels/TunnelFrames';
import type {ConnectionState} from './ConnectionState';
import {getConnectionState} from './ConnectionState';
import type {ResponseEvents, ResponseHead} from './ResponseParser';
import {ResponseParser} from './ResponseParser';
import type {ResponseSource} from './UpstreamResponse';
import {UpstreamResponse} from './UpstreamResponse';

/** A serialized request. */
export interface OutgoingRequest {
  readonly method: string;
  /** Request line and headers, including the final empty line. */
  readonly head: string;
  readonly body: Buffer;
}

/** Callbacks of the sender of a request. */
export interface ResponseListener {
  /**
   * Called when the connection is established, before the request is sent. The request may
   * reach the upstream unless the listener disposes the connection.
   */
  onConnected(): void;
  /** Called when the head of a response arrives. */
  onResponse(response: UpstreamResponse): void;
  /** Called when the connection ends before the head of a response. */
  onFailure(cause: string): void;
}

/** Address of an upstream, or of another edge that carries a tunnel to it. */
export interface ConnectionRoute {
  readonly host: string;
  readonly port: number;
  /** Sent first to another edge; undefined for a direct connection. */
  readonly ticket?: Uint8Array | undefined;
}

/** Keeps connections between requests. */
export interface ConnectionOwner {
  /**
   * Offers an idle connection for reuse. Returns false if it is not kept. `keepAliveMs`
   * is the timeout in the upstream's `Keep-Alive` header, if any.
   */
  release(connection: HttpConnection, keepAliveMs: number | undefined): boolean;
  /** Called when bytes arrive over a direct connection. */
  recordRead(): void;
  /** Called when the bytes of a connection cost too much work. */
  recordCostlyReads(load: ReadLoad): void;
  /** Called when the connection is closed. */
  remove(connection: HttpConnection): void;
}

/** Maximum number of bytes per read; they may hold a piece every 6 bytes. */
const READ_BUFFER_BYTES = 16 * 1024;

/**
 * Read buffer of all connections, to avoid an allocation per read. Each read is parsed
 * before the next one, and the parser copies the bytes that it passes on.
 */
const readBuffer = Buffer.allocUnsafeSlow(READ_BUFFER_BYTES);

/** A reusable connection. Disposing it closes the socket immediately. */
export class HttpConnection
  implements ReadSource, ResponseEvents, ResponseSource, Disposable
{
  readonly socket: Socket;
  private readonly connectionState: ConnectionState;
  private readonly parser = new ResponseParser(this);
  private listener: ResponseListener | undefined;
  private method = '';
  private response: UpstreamResponse | undefined;
  private keepAliveMs: number | undefined;
  /** Whether the current response is complete. */
  private isComplete = false;
  /** Whether the connection can't be reused after the current request. */
  private mustClose = false;
  private isConnected = false;
  /** Whether the upstream has ended the connection. */
  private hasInputEnded = false;
  private failureCause = 'closed';
  /** Parts of the current read that were handled by themselves. */
  private pieces = 0;
  /** Bytes of the body in the current read, which are passed on together. */
  private readonly bodyChunks = new ChunkCollector();
  /** Whether the reader of the response has paused it. */
  private isPaused = false;
  /** Whether the connection waits until it is read again after costly reads. */
  private isSuspended = false;
  /** Undefined for a direct connection. */
  private readonly tunnelReader: TunnelFrameReader | undefined;

  constructor(
    {host, port, ticket}: ConnectionRoute,
    private readonly owner: ConnectionOwner,
  ) {
    this.socket = connect({
      host,
      keepAlive: true,
      noDelay: true,
      onread: {
        buffer: readBuffer,
        callback: (length) => {
          this.handleRead(readBuffer.subarray(0, length));
          return true;
        },
      },
      port,
    });
    this.connectionState = getConnectionState(this.socket);
    this.socket.on('connect', () => this.handleConnect());
    this.socket.on('error', (error: NodeJS.ErrnoException) => {
      this.failureCause = error.code ?? error.message;
    });
    this.socket.on('end', () => this.handleEnd());
    this.socket.on('close', () => this.handleClose());
    if (ticket !== undefined) {
      this.mustClose = true;
      this.tunnelReader = this.createTunnelReader();
      this.socket.write(ticket);
    }
  }

  /** Whether another request can be sent. */
  get isUsable(): boolean {
    return !this.mustClose && !this.socket.destroyed;
  }

  /** Sends a request. No other may be sent until its response is complete. */
  send(
    {body, head, method}: OutgoingRequest,
    listener: ResponseListener,
  ): void {
    this.listener = listener;
    this.method = method;
    this.isComplete = false;
    if (this.isConnected) {
      listener.onConnected();
    }
    const {socket} = this;
    if (body.length === 0) {
      socket.write(head, 'latin1');
      return;
    }
    socket.cork();
    socket.write(head, 'latin1');
    socket.write(body);
    socket.uncork();
  }

  pause(): void {
    this.isPaused = true;
    this.socket.pause();
  }

  resume(): void {
    this.isPaused = false;
    this.readUnlessStopped();
  }

  suspendReading(): void {
    this.isSuspended = true;
    this.socket.pause();
  }

  resumeReading(): void {
    this.isSuspended = false;
    this.readUnlessStopped();
  }

  [Symbol.dispose](): void {
    this.mustClose = true;
    this.socket.destroy();
  }

  onCostlyReads(load: ReadLoad): void {
    this.owner.recordCostlyReads(load);
  }

  onMessageBegin(): void {
    this.mustClose ||= this.listener === undefined || this.isComplete;
  }

  onHeaders(head: ResponseHead): boolean {
    if (this.listener === undefined || this.isComplete) {
      return false;
    }
    const response = new UpstreamResponse(head, this.method, this);
    this.response = response;
    this.mustClose ||= !head.keepAlive;
    this.keepAliveMs = keepAliveTimeoutOf(response);
    this.listener.onResponse(response);
    return response.isBodiless;
  }

  onBody(chunk: Buffer): void {
    this.pieces += 1;
    if (this.response !== undefined && !this.isComplete) {
      this.response.pieceCount += 1;
      this.bodyChunks.append(chunk);
    }
  }

  onMessageComplete(): void {
    if (this.response !== undefined && !this.isComplete) {
      this.passBodyOn();
      this.isComplete = true;
      const isIntact = !this.connectionState.hasFailed;
      if (isIntact && this.hasInputEnded) {
        this.response.endWithConnection();
      } else {
        this.response.end(isIntact);
      }
    }
  }

  private handleConnect(): void {
    this.isConnected = true;
    this.listener?.onConnected();
  }

  private handleRead(bytes: Buffer): void {
    const startedAt = performance.now();
    this.pieces = 0;
    this.handleData(bytes);
    this.passBodyOn();
    readScheduler.record(this, {
      bytes: bytes.length,
      pieces: this.pieces,
      tookMs: performance.now() - startedAt,
    });
  }

  private handleData(bytes: Buffer): void {
    if (this.tunnelReader === undefined) {
      this.handleBytes(bytes);
      if (!this.parser.isAwaitingFinal) {
        this.owner.recordRead();
      }
    } else {
      this.tunnelReader.push(bytes);
    }
  }

  /** The end of a tunnel is a failure unless the end of the upstream was reported. */
  private createTunnelReader(): TunnelFrameReader {
    let hasEnded = false;
    this.socket.prependOnceListener('end', () => {
      this.connectionState.hasFailed ||= !hasEnded;
    });
    return new TunnelFrameReader({
      onBytes: (bytes) => this.handleBytes(bytes),
      onEnd: () => {
        hasEnded = true;
        this.handleEnd();
      },
    });
  }

  private handleBytes(bytes: Buffer): void {
    const {socket} = this;
    if (this.listener === undefined) {
      socket.destroy();
      return;
    }
    this.pieces += 1;
    if (!this.parser.parse(bytes)) {
      this.mustClose = true;
      this.failureCause = this.parser.hasTooManyInterim
        ? 'too-many-interim-responses'
        : 'not-http';
      if (!this.isComplete) {
        socket.destroy();
      }
    }
    if (this.isComplete) {
      this.finishRequest();
    }
  }

  /** Passes on the bytes of the body that were parsed so far. */
  private passBodyOn(): void {
    if (this.bodyChunks.byteLength > 0) {
      const bytes = this.bodyChunks.take();
      this.response?.push(bytes);
    }
  }

  private readUnlessStopped(): void {
    const {socket} = this;
    if (!this.isPaused && !this.isSuspended && !socket.destroyed) {
      socket.resume();
    }
  }

  /** Handles the end of input, which completes a response without a length. */
  private handleEnd(): void {
    this.mustClose = true;
    this.hasInputEnded = true;
    if (this.listener !== undefined) {
      this.parser.finish();
    }
  }

  /** Returns the connection to its owner if it is reusable, or closes it. */
  private finishRequest(): void {
    const {keepAliveMs, socket} = this;
    this.listener = undefined;
    this.response = undefined;
    // An early response may arrive while the request is still being sent.
    const isSent = socket.writableLength === 0;
    this.isPaused = false;
    this.isSuspended = false;
    readScheduler.remove(this);
    if (socket.isPaused()) {
      socket.resume();
    }
    if (!this.isUsable || !isSent || !this.owner.release(this, keepAliveMs)) {
      this.mustClose = true;
      socket.destroySoon();
    }
  }

  private handleClose(): void {
    const {response, failureCause, listener} = this;
    this.listener = undefined;
    this.response = undefined;
    this.owner.remove(this);
    readScheduler.remove(this);
    this.parser[Symbol.dispose]();
    if (response === undefined) {
      listener?.onFailure(failureCause);
    } else {
      response.end(false);
    }
  }
}

/** Timeout in the `Keep-Alive` header, ms. */
function keepAliveTimeoutOf({headers}: UpstreamResponse): number | undefined {
  const seconds = /(?:^|[\s,;])timeout=(\d+)/i.exec(
    headers['keep-alive'] ?? '',
  )?.[1];
  return seconds === undefined ? undefined : Number(seconds) * 1_000;
}
