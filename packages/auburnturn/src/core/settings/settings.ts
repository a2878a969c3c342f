import { z } from 'zod'
import { nameSchema } from './profile.js'

const ip = z.union([z.ipv4(), z.ipv6()], { error: 'an IP number in double quotes, such as "10.0.0.7"' })
const port = z.int().min(0).max(65_535)
const address = z.strictObject({ ip, port })

const limits = z.strictObject({
  connectionsPerTarget: z.int().min(1).max(1000).default(16)
    .describe('Maximum connections to the node of one target.'),
  callerConnections: z.int().min(1).max(100_000).default(260)
    .describe('Maximum connections from callers.'),
  headerBytes: z.int().min(1024).max(1_048_576).default(16_384)
    .describe('Maximum size of a request head, in bytes.')
})

const platformReads = z.strictObject({
  fleetSize: z.int().min(1).max(1_000_000).default(1)
    .describe('Nodes expected in the whole fleet; a starting node knows no other figure.'),
  readsPerSecond: z.number().min(1).max(100_000).default(200)
    .describe('Maximum reads per second of all nodes together.')
})

const log = z.strictObject({
  level: z.enum(['debug', 'info', 'warn', 'error']).default('info')
    .describe('Events below this level are not logged.')
})

/** Schema of the settings of one node: its identity, its listening addresses, its upstream and the platform. */
export const settingsSchema = z.strictObject({
  id: z.string().min(1).max(200).describe('Id of the target in the membership list.'),
  service: nameSchema.describe('The service that the upstream runs.'),
  region: z.string().min(1).max(100),
  failureDomain: z.string().min(1).max(100),
  callers: address.describe('Address on which callers send calls to this node.'),
  peers: address.describe('Address on which other nodes send calls to this node.'),
  control: address.describe('Address on which other nodes send control messages to this node.'),
  operator: address.prefault({ ip: '127.0.0.1', port: 0 }).describe('Address of dump, metrics and health. A loopback address by default.'),
  upstream: address.describe('Address of the upstream on this VM.'),
  platform: z.array(address).min(1).max(8).describe('Endpoints of the platform\'s configuration and membership service.'),
  platformReads: platformReads.prefault({}).describe('Limit on the reads that the whole fleet sends to the platform.'),
  calls: z.array(nameSchema).max(200).default([])
    .describe('Services that the callers of this node use. The node follows their members. Empty means all services.'),
  limits: limits.prefault({}),
  log: log.prefault({})
})

/** Parsed node settings, including all defaults. */
export type NodeSettings = z.output<typeof settingsSchema>
