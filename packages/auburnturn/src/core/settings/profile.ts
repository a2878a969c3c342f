import { z } from 'zod'

const milliseconds = z.int().min(1).max(3_600_000)
const share = z.number().min(0).max(1)
const name = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/, 'Use lower-case letters, digits and hyphens, starting with a letter.')

const idempotencyRule = z.strictObject({
  method: z.string().regex(/^[A-Z]+$/),
  /** A path, or a prefix ending in `*`. */
  path: z.string().startsWith('/'),
  idempotent: z.boolean()
})

/** How the calls of a service are treated. Every key has a safe default. */
export const profileSchema = z.strictObject({
  /** For the night shift: what this profile is for and whom to ask. */
  note: z.string().max(2000).default(''),
  /** Which calls come first when slots are short. */
  class: z.enum(['critical', 'internal', 'browse']).default('internal'),
  timeouts: z.strictObject({
    /** From the head of the request to the end of the answer. */
    callMs: milliseconds.default(5_000),
    connectMs: milliseconds.default(250),
    /** Longest wait for a slot. */
    queueMs: milliseconds.default(500),
    /** Longest silence from the caller while it sends. */
    callerIdleMs: milliseconds.default(10_000)
  }).prefault({}),
  idempotency: z.strictObject({
    /** Methods that may repeat unless a rule says otherwise. */
    methods: z.array(z.string()).default(['GET', 'HEAD', 'OPTIONS']),
    /** First match wins, before the methods. */
    rules: z.array(idempotencyRule).max(200).default([])
  }).prefault({}),
  retry: z.strictObject({
    /** Retries as a share of first attempts. */
    share: share.default(0.1),
    /** Attempts for one call, the first included. */
    attempts: z.int().min(1).max(5).default(2),
    /** A second attempt for an idempotent call that is late at a slow target, within the same share. */
    hedge: z.boolean().default(true)
  }).prefault({}),
  measuring: z.strictObject({
    messagesPerSecond: z.number().min(0).max(10_000).default(20),
    bytesPerSecond: z.number().min(0).max(1_000_000).default(2_000),
    /** Share of one core. */
    coreShare: share.default(0.002)
  }).prefault({}),
  admission: z.strictObject({
    /** Calls that run at once on one target. */
    slots: z.int().min(1).max(10_000).default(20),
    /** Calls that wait for a slot on one target. */
    queue: z.int().min(0).max(100_000).default(40),
    /** A node runs a call itself while its busy share of slots is below this. */
    localBelow: share.default(0.7)
  }).prefault({}),
  drain: z.strictObject({
    /** After this long a leaving target receives no new work. */
    newWorkMs: milliseconds.default(2_000)
  }).prefault({}),
  quarantine: z.strictObject({
    /** Crashes after which a request that was in flight at each is refused. */
    crashes: z.int().min(1).max(100).default(2),
    expiryMs: milliseconds.default(600_000)
  }).prefault({}),
  tickets: z.strictObject({
    /** How long the answer to a ticket is remembered. */
    windowMs: milliseconds.default(600_000),
    /** Larger answers are not recorded; a resend then hears "may have run". */
    answerBytes: z.int().min(0).max(1_048_576).default(16_384),
    /** Memory for all recorded answers of one target. */
    memoryBytes: z.int().min(65_536).max(67_108_864).default(16_777_216)
  }).prefault({}),
  membership: z.strictObject({
    /** A list that loses more than this share at once is not believed at once. */
    floor: share.default(0.5)
  }).prefault({}),
  body: z.strictObject({
    maxBytes: z.int().min(0).max(1_073_741_824).default(16_777_216),
    /** Longest request body that is kept for another attempt. */
    replayBytes: z.int().min(0).max(1_048_576).default(65_536)
  }).prefault({})
})

/** Which profile a service picks. */
export const serviceSchema = z.strictObject({
  profile: name,
  note: z.string().max(2000).default('')
})

/** A profile with every default filled in. */
export type Profile = z.output<typeof profileSchema>

/** The configuration entry of one service. */
export type ServiceChoice = z.output<typeof serviceSchema>
