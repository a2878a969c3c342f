import { z } from 'zod'
import { nameSchema } from './profile.js'

const ip = z.union([z.ipv4(), z.ipv6()], { error: 'an IP number in double quotes, such as "10.0.0.7"' })
const port = z.int().min(0).max(65_535)
const address = z.strictObject({ ip, port })

const limits = z.strictObject({
  connectionsPerTarget: z.int().min(1).max(1000).default(16)
    .describe('Connections to the node of one target.'),
  callerConnections: z.int().min(1).max(100_000).default(260)
    .describe('Connections from callers.'),
  headerBytes: z.int().min(1024).max(1_048_576).default(16_384)
    .describe('Longest head of a request, in bytes.')
})

const platformReads = z.strictObject({
  fleetSize: z.int().min(1).max(1_000_000).default(1)
    .describe('Nodes expected in the whole fleet; a starting node knows no other figure.'),
  readsPerSecond: z.number().min(1).max(100_000).default(200)
    .describe('Reads a second of all nodes together.')
})

const log = z.strictObject({
  level: z.enum(['debug', 'info', 'warn', 'error']).default('info')
    .describe('Events below this level are not logged.')
})

/** The settings of one node: who it is, where it listens, what it stands beside. */
export const settingsSchema = z.strictObject({
  id: z.string().min(1).max(200).describe('The name of the target in the membership list.'),
  service: nameSchema.describe('The service that the upstream runs.'),
  region: z.string().min(1).max(100),
  failureDomain: z.string().min(1).max(100),
  callers: address.describe('Where callers send their calls.'),
  peers: address.describe('Where other nodes send calls.'),
  control: address.describe('Where other nodes send control messages.'),
  operator: address.prefault({ ip: '127.0.0.1', port: 0 }).describe('Dump, metrics and health; a loopback address by default.'),
  upstream: address.describe('The upstream on this VM.'),
  platform: z.array(address).min(1).max(8).describe('Entrances to the platform\'s configuration and membership service.'),
  platformReads: platformReads.prefault({}).describe('Bound on what the whole fleet reads of the platform.'),
  calls: z.array(nameSchema).max(200).default([])
    .describe('Services that the callers of this node use; their members are followed. Empty means all.'),
  limits: limits.prefault({}),
  log: log.prefault({})
})

/** The settings with every default filled in. */
export type NodeSettings = z.output<typeof settingsSchema>
