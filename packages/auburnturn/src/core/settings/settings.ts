import { z } from 'zod'

const ip = z.union([z.ipv4(), z.ipv6()])
const port = z.int().min(0).max(65_535)
const address = z.strictObject({ ip, port })

/** The settings of one node: who it is, where it listens, what it stands beside. */
export const settingsSchema = z.strictObject({
  /** The target's name in the membership list. */
  id: z.string().min(1).max(200),
  service: z.string().regex(/^[a-z][a-z0-9-]{0,62}$/),
  region: z.string().min(1).max(100),
  failureDomain: z.string().min(1).max(100),
  /** Where callers send their calls. */
  callers: address,
  /** Where other nodes send calls. */
  peers: address,
  /** Where other nodes send control messages. */
  control: address,
  /** Dump, metrics and health. */
  operator: address.prefault({ ip: '127.0.0.1', port: 0 }),
  /** The upstream on this VM. */
  upstream: address,
  /** The platform's configuration and membership service. */
  platform: z.array(address).min(1).max(8),
  /** Bound on what the whole fleet reads of the platform. */
  platformReads: z.strictObject({
    /** Nodes expected in the whole fleet; a starting node knows no other figure. */
    fleetSize: z.int().min(1).max(1_000_000).default(1),
    /** Reads a second of all nodes together. */
    readsPerSecond: z.number().min(1).max(100_000).default(200)
  }).prefault({}),
  /** Services this node's callers use; their members are followed. Empty means all. */
  calls: z.array(z.string()).max(200).default([]),
  limits: z.strictObject({
    /** Connections to one target's node. */
    connectionsPerTarget: z.int().min(1).max(1000).default(16),
    callerConnections: z.int().min(1).max(100_000).default(260),
    headerBytes: z.int().min(1024).max(1_048_576).default(16_384)
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(['debug', 'info', 'warn', 'error']).default('info')
  }).prefault({})
})

/** The settings with every default filled in. */
export type NodeSettings = z.output<typeof settingsSchema>
