/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Schema of declarations, which operators keep in files. */
import {z} from 'zod';

const MAX_NAME_LENGTH = 100;
const MAX_LIST_LENGTH = 1_000;
const MAX_EXPRESSION_LENGTH = 4_000;

/** Schema of the names of declared resources, boxes, halls and regions. */
export const NameSchema = z
  .string()
  .max(MAX_NAME_LENGTH)
  .regex(
    /^[a-z0-9][a-z0-9._-]*$/,
    'a name of a-z, 0-9, dot, dash and underscore',
  );

const NonNegativeIntSchema = z.int().min(0);
const PositiveIntSchema = z.int().min(1);
const ExpressionSchema = z.string().min(1).max(MAX_EXPRESSION_LENGTH);

/** Schema of a SHA-256 digest in hexadecimal. */
export const Sha256Schema = z
  .string()
  .regex(/^[0-9a-f]{64}$/, 'a SHA-256 in lower-case hexadecimal');

/** Schema of an API key, of which only the digest is stored. */
export const HashedApiKeySchema = z.strictObject({
  name: NameSchema,
  sha256: Sha256Schema,
});

const UpstreamSchema = z.strictObject({
  /** Data hall where the upstream runs. */
  hall: NameSchema,
  name: NameSchema,
  /** Maximum number of concurrent requests. */
  slots: PositiveIntSchema,
  url: z.url({protocol: /^https?$/}),
});

const UpstreamsSchema = z
  .array(UpstreamSchema)
  .max(MAX_LIST_LENGTH)
  .refine(
    (upstreams) =>
      new Set(upstreams.map(({name}) => name)).size === upstreams.length,
    'upstreams with names that differ',
  );

const TeamSpecSchema = z.strictObject({
  keys: z.array(HashedApiKeySchema).max(20),
  /** Weight in fair sharing between teams when a pool is overloaded. */
  weight: PositiveIntSchema.max(1_000).default(1),
});

const BudgetSpecSchema = z.strictObject({
  /** Region that owns the budget and grants parts of it to other regions. */
  home: NameSchema,
  /** Total number of prepaid units that may be spent. */
  limit: NonNegativeIntSchema.max(Number.MAX_SAFE_INTEGER / 4),
  team: NameSchema,
});

const OrdersSchema = z.strictObject({
  /** Whether engines reject orders with a stale fencing token. */
  checksFences: z.boolean().default(true),
  /** Maximum number of concurrent model loads from the weight store. */
  loadsAtOnce: PositiveIntSchema.max(100).default(1),
  /** Number of engines that should have each model loaded. */
  placements: z
    .array(
      z.strictObject({
        copies: PositiveIntSchema.max(MAX_LIST_LENGTH),
        model: z.string().min(1).max(200),
      }),
    )
    .max(MAX_LIST_LENGTH),
});

const PoolSpecSchema = z.strictObject({
  /** Maximum number of tokens in prompt and completion together. */
  contextTokens: PositiveIntSchema.default(32_768),
  /** Maximum number of completion tokens if the caller sets none. */
  defaultMaxTokens: PositiveIntSchema.default(1_024),
  models: z.array(z.string().min(1).max(200)).min(1).max(MAX_LIST_LENGTH),
  /** Model loading; undefined if it is managed elsewhere. */
  orders: OrdersSchema.optional(),
  /** Price of one token in budget units. */
  price: z.strictObject({
    completion: NonNegativeIntSchema,
    prompt: NonNegativeIntSchema,
  }),
  target: z
    .strictObject({
      betweenTokensMs: PositiveIntSchema.default(32),
      firstTokenMs: PositiveIntSchema.default(1_100),
    })
    .prefault({}),
  /** Maximum number of prompt tokens that the chat template adds per message. */
  tokensPerMessage: NonNegativeIntSchema.default(8),
  upstreams: UpstreamsSchema,
});

const ServiceSpecSchema = z.strictObject({
  /** Price of one call in budget units. */
  callPrice: NonNegativeIntSchema,
  upstreams: UpstreamsSchema,
});

const AllowRuleSchema = z.strictObject({
  action: z.literal('allow'),
  /** CEL expression for the name of the budget. */
  budget: ExpressionSchema,
  deadlineMs: PositiveIntSchema.max(3_600_000).default(60_000),
  /** Whether a slow request may be hedged by sending it to a second upstream. */
  hedge: z.boolean().default(false),
  /** CEL expression for a business key, such as an order number. */
  key: ExpressionSchema.optional(),
  maxTokens: PositiveIntSchema.optional(),
  name: NameSchema,
  /** Pool or service that serves the request. */
  pool: NameSchema,
  /** 0 is the highest priority, 9 the lowest. */
  priority: z.int().min(0).max(9).default(5),
  repeat: z.enum(['allowed', 'never']).default('allowed'),
  when: ExpressionSchema,
});

const RefuseRuleSchema = z.strictObject({
  action: z.literal('refuse'),
  name: NameSchema,
  reason: z.string().min(1).max(500),
  when: ExpressionSchema,
});

const PolicySpecSchema = z.strictObject({
  /** Policies are evaluated in ascending order. */
  order: NonNegativeIntSchema.default(100),
  rules: z
    .array(z.discriminatedUnion('action', [AllowRuleSchema, RefuseRuleSchema]))
    .min(1)
    .max(200),
});

const DrainSpecSchema = z.strictObject({
  /** True starts the drain, false ends it. */
  on: z.boolean(),
  target: z.union([
    z.strictObject({box: NameSchema}),
    // All upstreams in the hall, of all pools and services.
    z.strictObject({hall: NameSchema}),
    z.strictObject({pool: NameSchema, upstream: NameSchema}),
  ]),
});

const ENVELOPE_FIELDS = {
  name: NameSchema,
  /** Version number of the declaration; the highest one is in force. */
  number: PositiveIntSchema.max(Number.MAX_SAFE_INTEGER),
  /** `global`, or the only region where the declaration applies. */
  scope: NameSchema.default('global'),
};

/** Schema of a declaration of any kind. */
export const DeclarationSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    ...ENVELOPE_FIELDS,
    kind: z.literal('budget'),
    spec: BudgetSpecSchema.nullable(),
  }),
  z.strictObject({
    ...ENVELOPE_FIELDS,
    kind: z.literal('drain'),
    spec: DrainSpecSchema.nullable(),
  }),
  z.strictObject({
    ...ENVELOPE_FIELDS,
    kind: z.literal('policy'),
    spec: PolicySpecSchema.nullable(),
  }),
  z.strictObject({
    ...ENVELOPE_FIELDS,
    kind: z.literal('pool'),
    spec: PoolSpecSchema.nullable(),
  }),
  z.strictObject({
    ...ENVELOPE_FIELDS,
    kind: z.literal('service'),
    spec: ServiceSpecSchema.nullable(),
  }),
  z.strictObject({
    ...ENVELOPE_FIELDS,
    kind: z.literal('team'),
    spec: TeamSpecSchema.nullable(),
  }),
]);

/** Schema of a declaration in a file; `puffinturn apply` assigns a missing number. */
export const DeclarationFileSchema = z.preprocess(
  (value) =>
    typeof value === 'object' && value !== null && !('number' in value)
      ? {...value, number: 1}
      : value,
  DeclarationSchema,
);

/** A declaration; a `spec` of null deletes the declared resource. */
export type Declaration = z.output<typeof DeclarationSchema>;
/** Kind of a declared resource. */
export type DeclarationKind = Declaration['kind'];
/** API keys and weight of a team. */
export type TeamSpec = z.output<typeof TeamSpecSchema>;
/** A prepaid budget. */
export type BudgetSpec = z.output<typeof BudgetSpecSchema>;
/** A pool of inference engines that serve the same models. */
export type PoolSpec = z.output<typeof PoolSpecSchema>;
/** A service other than an inference engine, with its upstreams. */
export type ServiceSpec = z.output<typeof ServiceSpecSchema>;
/** Rules that admit or reject requests. */
export type PolicySpec = z.output<typeof PolicySpecSchema>;
/** A drain of a box, of a hall or of one upstream. */
export type DrainSpec = z.output<typeof DrainSpecSchema>;
/** A rule that admits requests. */
export type AllowRule = z.output<typeof AllowRuleSchema>;
/** A rule that rejects requests. */
export type RefuseRule = z.output<typeof RefuseRuleSchema>;
/** A server that requests are forwarded to. */
export type UpstreamSpec = z.output<typeof UpstreamSchema>;
/** An API key, stored as its digest. */
export type HashedApiKey = z.output<typeof HashedApiKeySchema>;
