import { z } from 'zod'

const milliseconds = z.int().min(1).max(3_600_000)
const share = z.number().min(0).max(1)
const nameFormat = 'lower-case letters, digits and hyphens, starting with a letter, at most 63'

/** The name of a service or profile. */
export const nameSchema = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/, nameFormat)

const method = z.string().regex(/^[A-Z]{1,20}$/, 'a method in capital letters, such as "GET"')

const idempotencyRule = z.strictObject({
  method,
  path: z.string().startsWith('/', 'a path that starts with /, or a prefix that ends in *').max(2000)
    .describe('A path, or a prefix that ends in *.'),
  idempotent: z.boolean().describe('true: the call may run more than once; false: it runs at most once.')
})

const timeouts = z.strictObject({
  callMs: milliseconds.default(5_000)
    .describe('Maximum time from the head of the request to the end of the answer, in milliseconds.'),
  connectMs: milliseconds.default(250)
    .describe('Maximum time to open a connection, in milliseconds.'),
  queueMs: milliseconds.default(500)
    .describe('Maximum wait for a slot, in milliseconds.'),
  callerIdleMs: milliseconds.default(10_000)
    .describe('Maximum time without data from the caller while it sends, in milliseconds.')
})

const idempotency = z.strictObject({
  methods: z.array(method).max(20).default(['GET', 'HEAD', 'OPTIONS'])
    .describe('Methods whose calls may run more than once, unless a rule says otherwise.'),
  rules: z.array(idempotencyRule).max(200).default([])
    .describe('Exceptions by method and path. The first matching rule applies, and takes precedence over the methods.')
})

const retry = z.strictObject({
  share: share.default(0.1)
    .describe('Retries as a share of first attempts, 0 to 1.'),
  attempts: z.int().min(1).max(5).default(2)
    .describe('Maximum attempts for one call, including the first.'),
  hedge: z.boolean().default(true)
    .describe('Whether an idempotent call that is overdue at a slow target gets a second attempt, within the same share.')
})

const measuring = z.strictObject({
  messagesPerSecond: z.number().min(0).max(10_000).default(5)
    .describe('Maximum messages per second that one node sends only for measuring.'),
  bytesPerSecond: z.number().min(0).max(1_000_000).default(1_500)
    .describe('Maximum bytes per second that one node sends only for measuring.'),
  coreShare: share.default(0.001)
    .describe('Maximum share of one core that one node uses for measuring.')
})

const admission = z.strictObject({
  slots: z.int().min(1).max(10_000).default(20)
    .describe('Maximum calls that run concurrently on one target.'),
  queue: z.int().min(0).max(100_000).default(40)
    .describe('Maximum calls that wait for a slot on one target.'),
  localBelow: share.default(0.7)
    .describe('A node runs a call on its own target while the share of busy slots is below this.')
})

const drain = z.strictObject({
  newWorkMs: milliseconds.default(2_000)
    .describe('Time after which a leaving target receives no new work, in milliseconds.')
})

const quarantine = z.strictObject({
  crashes: z.int().min(1).max(100).default(2)
    .describe('Number of crashes after which a request that was in flight at each of them is refused.'),
  expiryMs: milliseconds.default(600_000)
    .describe('How long a request that causes crashes is refused, in milliseconds.')
})

const tickets = z.strictObject({
  windowMs: milliseconds.default(600_000)
    .describe('How long the answer to a ticket is stored, in milliseconds.'),
  answerBytes: z.int().min(0).max(1_048_576).default(16_384)
    .describe('Larger answers are not recorded, and a resend then receives "may have run".'),
  memoryBytes: z.int().min(65_536).max(67_108_864).default(16_777_216)
    .describe('Maximum memory for all recorded answers of one target, in bytes.')
})

const membership = z.strictObject({
  floor: share.default(0.5)
    .describe('A member list that loses more than this share of members in one change is not applied immediately.')
})

const body = z.strictObject({
  maxBytes: z.int().min(0).max(1_073_741_824).default(16_777_216)
    .describe('Maximum size of a request body, in bytes.'),
  replayBytes: z.int().min(0).max(1_048_576).default(65_536)
    .describe('Maximum size of a request body that is kept for another attempt, in bytes.')
})

/** Schema of a profile: how the calls of a service are handled. Every key has a safe default. */
export const profileSchema = z.strictObject({
  note: z.string().max(2000).default('')
    .describe('For operators on call: what this profile is for and whom to ask.'),
  class: z.enum(['critical', 'internal', 'browse']).default('internal')
    .describe('Priority of calls when slots are scarce: critical first, then internal, then browse.'),
  timeouts: timeouts.prefault({}),
  idempotency: idempotency.prefault({}),
  retry: retry.prefault({}),
  measuring: measuring.prefault({}),
  admission: admission.prefault({}),
  drain: drain.prefault({}),
  quarantine: quarantine.prefault({}),
  tickets: tickets.prefault({}),
  membership: membership.prefault({}),
  body: body.prefault({})
})

/** Schema of a service configuration: the profile that the service uses. */
export const serviceSchema = z.strictObject({
  profile: nameSchema.describe('Name of a profile in the configuration.'),
  note: z.string().max(2000).default('').describe('For operators on call.')
})

/** A parsed profile, including all defaults. */
export type Profile = z.output<typeof profileSchema>

/** A parsed service configuration, including all defaults. */
export type ServiceConfiguration = z.output<typeof serviceSchema>
