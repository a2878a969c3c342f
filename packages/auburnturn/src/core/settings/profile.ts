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
    .describe('A path, or a prefix ending in *.'),
  idempotent: z.boolean().describe('true: the call may repeat; false: it runs at most once.')
})

const timeouts = z.strictObject({
  callMs: milliseconds.default(5_000)
    .describe('From the head of the request to the end of the answer, in milliseconds.'),
  connectMs: milliseconds.default(250)
    .describe('To open a connection, in milliseconds.'),
  queueMs: milliseconds.default(500)
    .describe('Longest wait for a slot, in milliseconds.'),
  callerIdleMs: milliseconds.default(10_000)
    .describe('Longest silence from the caller while it sends, in milliseconds.')
})

const idempotency = z.strictObject({
  methods: z.array(method).max(20).default(['GET', 'HEAD', 'OPTIONS'])
    .describe('Methods that may repeat unless a rule says otherwise.'),
  rules: z.array(idempotencyRule).max(200).default([])
    .describe('Exceptions by method and path; the first match wins, before the methods.')
})

const retry = z.strictObject({
  share: share.default(0.1)
    .describe('Retries as a share of first attempts, 0 to 1.'),
  attempts: z.int().min(1).max(5).default(2)
    .describe('Attempts for one call, the first included.'),
  hedge: z.boolean().default(true)
    .describe('A second attempt for an idempotent call that is late at a slow target, within the same share.')
})

const measuring = z.strictObject({
  messagesPerSecond: z.number().min(0).max(10_000).default(5)
    .describe('Messages that one node may send only to measure, a second.'),
  bytesPerSecond: z.number().min(0).max(1_000_000).default(1_500)
    .describe('Bytes that one node may send only to measure, a second.'),
  coreShare: share.default(0.001)
    .describe('Share of one core that one node may spend on measuring.')
})

const admission = z.strictObject({
  slots: z.int().min(1).max(10_000).default(20)
    .describe('Calls that run at once on one target.'),
  queue: z.int().min(0).max(100_000).default(40)
    .describe('Calls that wait for a slot on one target.'),
  localBelow: share.default(0.7)
    .describe('A node runs a call itself while its busy share of slots is below this.')
})

const drain = z.strictObject({
  newWorkMs: milliseconds.default(2_000)
    .describe('After this long a leaving target receives no new work, in milliseconds.')
})

const quarantine = z.strictObject({
  crashes: z.int().min(1).max(100).default(2)
    .describe('Crashes after which a request that was in flight at each is refused.'),
  expiryMs: milliseconds.default(600_000)
    .describe('How long a crashing request stays refused, in milliseconds.')
})

const tickets = z.strictObject({
  windowMs: milliseconds.default(600_000)
    .describe('How long the answer to a ticket is remembered, in milliseconds.'),
  answerBytes: z.int().min(0).max(1_048_576).default(16_384)
    .describe('Larger answers are not recorded; a resend then hears "may have run".'),
  memoryBytes: z.int().min(65_536).max(67_108_864).default(16_777_216)
    .describe('Memory for all recorded answers of one target, in bytes.')
})

const membership = z.strictObject({
  floor: share.default(0.5)
    .describe('A list that loses more than this share at once is not believed at once.')
})

const body = z.strictObject({
  maxBytes: z.int().min(0).max(1_073_741_824).default(16_777_216)
    .describe('Longest request body that is accepted, in bytes.'),
  replayBytes: z.int().min(0).max(1_048_576).default(65_536)
    .describe('Longest request body that is kept for another attempt, in bytes.')
})

/** How the calls of a service are treated. Every key has a safe default. */
export const profileSchema = z.strictObject({
  note: z.string().max(2000).default('')
    .describe('For the night shift: what this profile is for and whom to ask.'),
  class: z.enum(['critical', 'internal', 'browse']).default('internal')
    .describe('Which calls come first when slots are short: critical, then internal, then browse.'),
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

/** Which profile a service picks. */
export const serviceSchema = z.strictObject({
  profile: nameSchema.describe('The name of a profile of the configuration.'),
  note: z.string().max(2000).default('').describe('For the night shift.')
})

/** A profile with every default filled in. */
export type Profile = z.output<typeof profileSchema>

/** The configuration entry of one service. */
export type ServiceConfiguration = z.output<typeof serviceSchema>
