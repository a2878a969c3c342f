import { z } from 'zod'
import type { Member } from '../membership/types.js'

/** A page of configuration entries as the platform publishes it. */
export const configurationPageSchema = z.object({
  revision: z.int().min(0),
  entries: z.array(z.object({
    key: z.string(),
    version: z.int().min(0),
    text: z.string().nullish().transform(text => text ?? undefined)
  }))
})

const port = z.int().min(0).max(65_535)

const membersSchema = z.array(z.object({
  id: z.string(),
  service: z.string(),
  region: z.string(),
  failureDomain: z.string(),
  ip: z.string(),
  peerPort: port,
  controlPort: port,
  state: z.enum(['live', 'leaving'])
}))

/** A page of member lists as the platform publishes it. */
export const memberPageSchema = z.object({
  revision: z.int().min(0),
  lists: z.array(z.object({
    service: z.string(),
    version: z.int().min(0),
    members: membersSchema
  }))
})

/** The members of a JSON text; undefined when it is not a list of members. */
export function parseMembers (text: string): Member[] | undefined {
  try {
    return membersSchema.safeParse(JSON.parse(text)).data
  } catch {
    return undefined
  }
}
