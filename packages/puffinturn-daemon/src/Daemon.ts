/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Runs a box as a process, with its disk, network link and HTTP servers. */
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
import type {BoundedServerParts} from 'puffinturn-server';
import {deriveServerLimits, FORWARDING_SHARES} from 'puffinturn-server';
import type {Settings} from 'puffinturn-settings';
import {readFleetKey} from 'puffinturn-settings';
import {TcpLink} from 'puffinturn-wire';
import type {Clock, Failure} from 'shared';
import {Random, SystemClock} from 'shared';
import type {Logger} from 'tslog';

import type {FleetTopology} from './Box';
import {Box} from './Box';
import type {TlsMaterial} from './HttpServer';
import {HttpServer, readTls} from './HttpServer';
import {OperatorApi} from './OperatorApi';
import {createOperatorApp} from './OperatorApp';
import {PlatformListPoller} from './PlatformListPoller';

const POLL_INTERVAL_MS = 50;

/** Reason why a daemon failed to start; the message names the file or address. */
export type StartFailure = Failure;

/** Components that a running daemon owns. */
interface DaemonComponents {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly box: Box;
  readonly callers: HttpServer;
  readonly operators: HttpServer;
  /** Disposed in reverse order, after the servers and the box. */
  readonly resources: readonly AsyncDisposable[];
  /** Result of the health check for load balancers. */
  readonly health: {isPassing: boolean};
}

/** A running box process. */
export class Daemon implements AsyncDisposable {
  private constructor(
    private readonly components: DaemonComponents,
    private readonly log: Logger<unknown>,
  ) {}

  /** Starts a daemon with the given settings. */
  static start(
    settings: Settings,
    log: Logger<unknown>,
  ): ResultAsync<Daemon, StartFailure> {
    return safeTry(() => start(settings, log)).map(
      (components) => new Daemon(components, log),
    );
  }

  /** Port of the HTTP server for callers. */
  get callerPort(): number {
    return this.components.callers.port;
  }

  /** Port of the HTTP server for operators. */
  get operatorPort(): number {
    return this.components.operators.port;
  }

  /** The box that this daemon runs. */
  get box(): Box {
    return this.components.box;
  }

  /**
   * Shuts down gracefully. The health check fails at once; new requests are
   * accepted for `drainNoticeMs`, until load balancers have noticed, and requests
   * in flight may finish for `stopMs`. Aborting the signal skips both waits.
   * Returns the number of requests that were still in flight at the end.
   */
  async stop(signal: AbortSignal): Promise<number> {
    const {box, clock, health, settings} = this.components;
    const {drainNoticeMs, stopMs} = settings.limits;
    health.isPassing = false;
    this.log.info('stopping', {inFlight: this.inFlightCount});
    await box.announceShutdown();
    await clock.sleep(drainNoticeMs, signal);
    box.gateway.rejectNewRequests();
    const deadline = clock.now() + stopMs;
    while (
      this.inFlightCount > 0 &&
      clock.now() < deadline &&
      !signal.aborted
    ) {
      await clock.sleep(POLL_INTERVAL_MS, signal);
    }
    const cutOffCount = this.inFlightCount;
    this.log.info('stopped', {cutOff: cutOffCount});
    return cutOffCount;
  }

  /** Requests being run or settled, or whose responses are being sent, if these are more. */
  private get inFlightCount(): number {
    const {box, callers} = this.components;
    return Math.max(box.gateway.inFlightCount, callers.openRequestCount);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const {box, callers, operators, resources} = this.components;
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
  const topology: FleetTopology = {
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
  const platformList: {poller: PlatformListPoller | undefined} = {
    poller: undefined,
  };
  const box = yield* Box.start({
    client,
    clock,
    disk,
    engines: new HttpEngineClient(),
    isGoneOnPlatform: (name) => platformList.poller?.isGone(name) === true,
    responseRetentionMs: limits.keepAnswerMs,
    atMostOnceRetentionMs: limits.keepMarkedMs,
    link,
    metrics,
    generateId: () => randomUUID(),
    topology,
    random: new Random(randomInt(0x7fff_ffff)),
  });
  const resources: AsyncDisposable[] = [disk, link, client];
  if (settings.platformList !== undefined) {
    platformList.poller = new PlatformListPoller(
      settings.platformList,
      clock,
      (leaving) => box.pools.setPlatformLeaving(leaving),
    );
    resources.push(platformList.poller);
  }
  const health = {isPassing: true};
  const serverLimits = deriveServerLimits(
    limits,
    FORWARDING_SHARES,
    limits.clients,
  );
  const serverParts = (address: string): BoundedServerParts => ({
    clock,
    limits: serverLimits,
    observer: {
      onLimit: (limit) => metrics.clientLimits.inc({address, limit}),
      onReport: (report) => log.warn('clients limited', {address, ...report}),
    },
  });
  const callers = yield* HttpServer.open(
    createCallerApp({
      maxBodyBytes: limits.bodyBytes,
      gateway: box.gateway,
      isHealthy: () =>
        health.isPassing && !box.member.config.isBoxDrained(settings.box),
      member: box.member,
      metrics,
    }),
    settings.callers,
    serverParts('callers'),
  );
  const servers = new Map([['callers', callers]]);
  const operators = yield* HttpServer.open(
    createOperatorApp({
      api: new OperatorApi(box, topology, link, clock),
      keys: settings.operators.keys,
      metrics,
      refreshMetrics: () => {
        box.gateway.refreshMetrics();
        for (const [address, {usage}] of servers) {
          metrics.setClientUsage(address, usage);
        }
      },
    }),
    settings.operators,
    serverParts('operators'),
  );
  servers.set('operators', operators);
  log.info('started', {
    box: settings.box,
    callers: callers.port,
    operators: operators.port,
  });
  const components: DaemonComponents = {
    box,
    callers,
    clock,
    health,
    operators,
    resources,
    settings,
  };
  return ok<DaemonComponents, StartFailure>(components);
}

function readOptionalTls(
  settings: Settings,
): ResultAsync<TlsMaterial | undefined, StartFailure> {
  const {tls} = settings.fleet;
  return tls === undefined ? okAsync(undefined) : readTls(tls);
}

/** Waits until a daemon accepts requests; fails with `not-ready` on timeout. */
export function waitUntilReady(
  daemon: Daemon,
  timeoutMs: number,
): ResultAsync<void, StartFailure> {
  const clock = new SystemClock();
  const poll = async () => {
    const deadline = clock.now() + timeoutMs;
    while (!daemon.box.gateway.isReady) {
      if (clock.now() >= deadline) {
        const message = 'the box did not become ready in time';
        return err<void, StartFailure>({kind: 'not-ready', message});
      }
      await clock.sleep(POLL_INTERVAL_MS);
    }
    return ok<void, StartFailure>(undefined);
  };
  return new Async(poll());
}
