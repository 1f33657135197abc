#!/usr/bin/env node
/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Entry point of the daemon: `puffinturn-daemon SETTINGS_FILE`. */
import {readSettings} from 'puffinturn-settings';

import {Daemon} from './Daemon';
import {createLogger} from './Logging';

/** Exit codes, documented in docs/operators/running.md. */
const EXIT = {cutOff: 3, failed: 1, ok: 0, usage: 2} as const;

async function main(): Promise<number> {
  const file = process.argv[2];
  if (file === undefined || file.startsWith('-')) {
    process.stderr.write('usage: puffinturn-daemon SETTINGS_FILE\n');
    return EXIT.usage;
  }
  const settings = await readSettings(file);
  if (settings.isErr()) {
    process.stderr.write(`${settings.error.message}\n`);
    return EXIT.usage;
  }
  const log = createLogger(settings.value);
  const daemon = await Daemon.start(settings.value, log);
  if (daemon.isErr()) {
    log.error('start failed', daemon.error);
    return EXIT.failed;
  }
  // A second signal ends the graceful shutdown early.
  const forceStop = new AbortController();
  await new Promise<void>((resolve) => {
    const onSignal = (): void => {
      process.on('SIGTERM', () => forceStop.abort());
      process.on('SIGINT', () => forceStop.abort());
      resolve();
    };
    process.once('SIGTERM', onSignal);
    process.once('SIGINT', onSignal);
  });
  const cutOffCount = await daemon.value.stop(forceStop.signal);
  await daemon.value[Symbol.asyncDispose]();
  return cutOffCount > 0 ? EXIT.cutOff : EXIT.ok;
}

process.exit(await main());
