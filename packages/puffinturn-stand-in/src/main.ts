#!/usr/bin/env node
/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Entry point: `puffinturn-stand-in FILE` starts the servers listed in a JSON file. */
import {readFile} from 'node:fs/promises';

import {z} from 'zod';

import {DEFAULT_PROFILE, Engine} from './Engine';
import {PlainService} from './PlainService';
import {PlatformStandIn} from './PlatformStandIn';
import type {StandInServer} from './StandInServer';

const ConfigSchema = z.strictObject({
  engines: z
    .array(
      z.strictObject({
        port: z.int(),
        profile: z
          .strictObject({
            slots: z.int().optional(),
            stepMs: z.number().optional(),
          })
          .optional(),
      }),
    )
    .default([]),
  platform: z.strictObject({port: z.int()}).optional(),
  services: z.array(z.strictObject({port: z.int()})).default([]),
});

async function main(file: string): Promise<void> {
  const config = ConfigSchema.parse(JSON.parse(await readFile(file, 'utf8')));
  const servers: StandInServer[] = [];
  for (const {port, profile = {}} of config.engines) {
    const {slots = DEFAULT_PROFILE.slots, stepMs = DEFAULT_PROFILE.stepMs} =
      profile;
    const engine = new Engine({...DEFAULT_PROFILE, slots, stepMs});
    servers.push(await engine.listen(port));
  }
  for (const {port} of config.services) {
    servers.push(await new PlainService().listen(port));
  }
  if (config.platform !== undefined) {
    servers.push(await new PlatformStandIn().listen(config.platform.port));
  }
  process.stdout.write(`${servers.length} stand-ins are ready\n`);
  await new Promise<void>((resolve) => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
  await Promise.all(servers.map((server) => server[Symbol.asyncDispose]()));
}

await main(process.argv[2] ?? '');
