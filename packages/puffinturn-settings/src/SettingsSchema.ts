/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The schema of a box's settings file. */
import {z} from 'zod';

import {HashedKeySchema, NameSchema} from './DeclarationSchema';

const AddressSchema = z.strictObject({
  host: z.union([z.ipv4(), z.ipv6()]),
  port: z.int().min(0).max(65_535),
});

const TlsSchema = z.strictObject({
  /** Authority that the other side's certificate must come from. */
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
  /** Where other boxes reach it. */
  port: z.int().min(1).max(65_535),
  region: NameSchema,
});

/** How a box's settings file must look. */
export const SettingsSchema = z
  .strictObject({
    /** This box's name; one of `fleet.boxes`. */
    box: NameSchema,
    callers: ListenSchema,
    /** Folder for all files of this box; needed by control boxes. */
    dataFolder: z.string().min(1),
    fleet: z.strictObject({
      boxes: z.array(FleetBoxSchema).min(1),
      /** File with the key that all boxes share. */
      keyFile: z.string(),
      /** The region that orders declarations for all regions. */
      primaryRegion: NameSchema,
      tls: TlsSchema.optional(),
    }),
    limits: z
      .strictObject({
        /** Largest body of a request, bytes. */
        bodyBytes: z
          .int()
          .min(1_024)
          .default(4 * 1024 * 1024),
        /** Time that the balancer needs to see a red health check. */
        drainNoticeMs: z.int().min(0).default(3_000),
        /** How long answers stay for retries. */
        keepAnswerMs: z.int().min(1_000).default(600_000),
        /** How long the keys of never-repeated requests stay. */
        keepMarkedMs: z.int().min(1_000).default(604_800_000),
        /** Longest time for requests in flight at a planned stop. */
        stopMs: z.int().min(1_000).default(120_000),
      })
      .prefault({}),
    logs: z
      .strictObject({
        format: z.enum(['json', 'pretty']).default('json'),
        level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
      })
      .prefault({}),
    operators: ListenSchema.extend({keys: z.array(HashedKeySchema).min(1)}),
    /** The platform's list of live and leaving boxes, if there is one. */
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
/** One box of the fleet, as every box's settings list it. */
export type FleetBox = z.output<typeof FleetBoxSchema>;
/** Files for TLS on one side. */
export type TlsSettings = z.output<typeof TlsSchema>;
