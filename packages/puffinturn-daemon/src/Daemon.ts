/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** A box as a process: settings, disk, link, HTTP servers, planned stop. */
import {randomInt, randomUUID} from 'node:crypto';

import type {ResultAsync} from 'neverthrow';
import {err, ok, okAsync, ResultAsync as Async, safeTry} from 'neverthrow';
import {
  createCallerApp,
  GatewayMetrics,
  HttpUpstreamClient,
} from 'puffinturn-gateway';
import {FolderDisk} from 'puffinturn-log';
import {HttpEngineClient} from 'puffinturn-orders';
import type {Settings} from 'puffinturn-settings';
import {readFleetKey} from 'puffinturn-settings';
import {TcpLink} from 'puffinturn-wire';
import type {Clock, Failure} from 'shared';
import {Random, SystemClock} from 'shared';
import type {Logger} from 'tslog';

import type {FleetPlace} from './Box';
import {Box} from './Box';
import type {TlsMaterial} from './HttpServer';
import {HttpServer, readTls} from './HttpServer';
import {OperatorApi} from './OperatorApi';
import {operatorHttp} from './OperatorHttp';
import {PlatformList} from './PlatformList';

const STOP_POLL_MS = 50;

/** Why a daemon could not start; the message names the file or address. */
export type StartFailure = Failure;

/** Everything that a running daemon owns, in order of creation. */
interface Owned {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly box: Box;
  readonly callers: HttpServer;
  readonly operators: HttpServer;
  readonly resources: readonly AsyncDisposable[];
  readonly health: {green: boolean};
}

/** See the module comment. */
export class Daemon implements AsyncDisposable {
  private constructor(
    private readonly owned: Owned,
    private readonly log: Logger<unknown>,
  ) {}

  /** Starts everything that the settings ask for. */
  static start(
    settings: Settings,
    log: Logger<unknown>,
  ): ResultAsync<Daemon, StartFailure> {
    return safeTry(() => start(settings, log)).map(
      (owned) => new Daemon(owned, log),
    );
  }

  /** The port for callers. */
  get callerPort(): number {
    return this.owned.callers.port;
  }

  /** The port for operators. */
  get operatorPort(): number {
    return this.owned.operators.port;
  }

  /** The box itself. */
  get box(): Box {
    return this.owned.box;
  }

  /**
   * Planned stop: the health check goes red at once, new requests are taken
   * until the balancer has seen it, and those in flight are finished.
   * Returns how many were cut off.
   */
  async stop(signal: AbortSignal): Promise<number> {
    const {box, clock, health, settings} = this.owned;
    const {drainNoticeMs, stopMs} = settings.limits;
    health.green = false;
    this.log.info('stopping', {inFlight: box.gateway.inFlightCount});
    await box.prepareStop();
    await clock.sleep(drainNoticeMs, signal);
    box.gateway.rejectNewRequests();
    const end = clock.now() + stopMs;
    while (
      box.gateway.inFlightCount > 0 &&
      clock.now() < end &&
      !signal.aborted
    ) {
      await clock.sleep(STOP_POLL_MS, signal);
    }
    const cut = box.gateway.inFlightCount;
    this.log.info('stopped', {cutOff: cut});
    return cut;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const {box, callers, operators, resources} = this.owned;
    await callers[Symbol.asyncDispose]();
    await operators[Symbol.asyncDispose]();
    await box[Symbol.asyncDispose]();
    for (const resource of [...resources].reverse()) {
      await resource[Symbol.asyncDispose]();
    }
  }
}

async function* start(settings: Settings, log: Logger<unknown>) {
  const clock = new SystemClock();
  const {fleet, limits} = settings;
  const place: FleetPlace = {
    box: settings.box,
    boxes: fleet.boxes,
    primaryRegion: fleet.primaryRegion,
  };
  const self = fleet.boxes.find(({name}) => name === settings.box);
  const key = yield* readFleetKey(fleet.keyFile);
  const tls = yield* readOptionalTls(settings);
  const disk = yield* FolderDisk.open(settings.dataFolder);
  const link = yield* TcpLink.open({
    addressOf: (name) => fleet.boxes.find((box) => box.name === name),
    box: settings.box,
    clock,
    key,
    listen: {host: self?.host ?? '127.0.0.1', port: self?.port ?? 0},
    tls: tls && {ca: tls.ca, cert: tls.cert, key: tls.key},
  });
  const client = new HttpUpstreamClient();
  const metrics = new GatewayMetrics();
  metrics.collectProcessMetrics();
  const listed: {list: PlatformList | undefined} = {list: undefined};
  const box = yield* Box.start({
    client,
    clock,
    disk,
    engines: new HttpEngineClient(),
    isListedGone: (name) => listed.list?.isGone(name) === true,
    responseRetentionMs: limits.keepAnswerMs,
    atMostOnceRetentionMs: limits.keepMarkedMs,
    link,
    metrics,
    newName: () => randomUUID(),
    place,
    random: new Random(randomInt(0x7fff_ffff)),
  });
  const resources: AsyncDisposable[] = [disk, link, client];
  if (settings.platformList !== undefined) {
    listed.list = new PlatformList(settings.platformList, clock, (leaving) =>
      box.pools.setPlatformLeaving(leaving),
    );
    resources.push(listed.list);
  }
  const health = {green: true};
  const callers = yield* HttpServer.open(
    createCallerApp({
      maxBodyBytes: limits.bodyBytes,
      gateway: box.gateway,
      isHealthy: () =>
        health.green && !box.member.config.isBoxDrained(settings.box),
      member: box.member,
      metrics,
    }),
    settings.callers,
  );
  const operators = yield* HttpServer.open(
    operatorHttp({
      api: new OperatorApi(box, place, link, clock),
      keys: settings.operators.keys,
      metrics,
      refreshMetrics: () => box.gateway.refreshMetrics(),
    }),
    settings.operators,
  );
  log.info('started', {
    box: settings.box,
    callers: callers.port,
    operators: operators.port,
  });
  const owned: Owned = {
    box,
    callers,
    clock,
    health,
    operators,
    resources,
    settings,
  };
  return ok<Owned, StartFailure>(owned);
}

function readOptionalTls(
  settings: Settings,
): ResultAsync<TlsMaterial | undefined, StartFailure> {
  const {tls} = settings.fleet;
  return tls === undefined ? okAsync(undefined) : readTls(tls);
}

/** Waits until a daemon may start new work; false when the time is up. */
export function waitReady(
  daemon: Daemon,
  timeoutMs: number,
): ResultAsync<void, StartFailure> {
  const clock = new SystemClock();
  const wait = async () => {
    const end = clock.now() + timeoutMs;
    while (!daemon.box.gateway.isReady) {
      if (clock.now() >= end) {
        const message = 'the box is not ready';
        return err<void, StartFailure>({kind: 'not-ready', message});
      }
      await clock.sleep(STOP_POLL_MS);
    }
    return ok<void, StartFailure>(undefined);
  };
  return new Async(wait());
}
