/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Schema of the settings file of a box. */
import {ClientLimitsSchema} from 'puffinturn-server';
import {z} from 'zod';

import {HashedApiKeySchema, NameSchema} from './DeclarationSchema';

const AddressSchema = z.strictObject({
  host: z.union([z.ipv4(), z.ipv6()]),
  port: z.int().min(0).max(65_535),
});

const TlsSchema = z.strictObject({
  /** CA certificate that the peer's certificate is verified against. */
  caFile: z.string().optional(),
  certFile: z.string(),
  keyFile: z.string(),
});

const ListenSchema = AddressSchema.extend({tls: TlsSchema.optional()});

const FleetBoxSchema = z.strictObject({
  control: z.boolean().default(false),
  hall: NameSchema,
  host: z.union([z.ipv4(), z.ipv6()]),
  name: NameSchema,
  /** Port for connections from other boxes. */
  port: z.int().min(1).max(65_535),
  region: NameSchema,
});

/** Schema of the settings of one box. */
export const SettingsSchema = z
  .strictObject({
    /** Name of this box; must be listed in `fleet.boxes`. */
    box: NameSchema,
    callers: ListenSchema,
    /** Folder for the persistent files of this box; used by control boxes. */
    dataFolder: z.string().min(1),
    fleet: z.strictObject({
      boxes: z.array(FleetBoxSchema).min(1),
      /** File with the secret key shared by all boxes. */
      keyFile: z.string(),
      /** Region that determines the order of declarations for all regions. */
      primaryRegion: NameSchema,
      tls: TlsSchema.optional(),
    }),
    limits: z
      .strictObject({
        /** Maximum size of a request body, bytes. */
        bodyBytes: z
          .int()
          .min(1_024)
          .default(4 * 1024 * 1024),
        /** What clients may take up; what is not set depends on the machine. */
        clients: ClientLimitsSchema.strict().prefault({}),
        /** Descriptors that the process may open. */
        descriptors: z.int().min(64).default(4_096),
        /** Time for the load balancer to notice a failing health check before a stop. */
        drainNoticeMs: z.int().min(0).default(3_000),
        /** How long responses are kept for retries by the caller. */
        keepAnswerMs: z.int().min(1_000).default(600_000),
        /** How long the keys of requests that must not be repeated are kept. */
        keepMarkedMs: z.int().min(1_000).default(604_800_000),
        /** Memory that the process may use, MB. */
        memoryMb: z.int().min(64).default(350),
        /** Maximum time for requests in flight to finish during a graceful shutdown. */
        stopMs: z.int().min(1_000).default(120_000),
      })
      .prefault({}),
    logs: z
      .strictObject({
        format: z.enum(['json', 'pretty']).default('json'),
        level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
      })
      .prefault({}),
    operators: ListenSchema.extend({keys: z.array(HashedApiKeySchema).min(1)}),
    /** URL of the platform's list of running and draining boxes. */
    platformList: z.url({protocol: /^https?$/}).optional(),
  })
  .refine(
    ({box, fleet}) => fleet.boxes.some(({name}) => name === box),
    'a box that is listed in fleet.boxes',
  )
  .refine(
    ({fleet}) => fleet.boxes.some(({control}) => control),
    'at least one control box in fleet.boxes',
  );

/** The settings of one box. */
export type Settings = z.output<typeof SettingsSchema>;
/** An entry of `fleet.boxes`. */
export type FleetBox = z.output<typeof FleetBoxSchema>;
/** Certificate and key files for TLS. */
export type TlsSettings = z.output<typeof TlsSchema>;
