import { z } from 'zod'
import type { Member } from '../membership/types.js'

/** Schema of a page of configuration entries in a response of the platform. */
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

/** Schema of a page of member lists in a response of the platform. */
export const memberPageSchema = z.object({
  revision: z.int().min(0),
  lists: z.array(z.object({
    service: z.string(),
    version: z.int().min(0),
    members: membersSchema
  }))
})

/** Parses a JSON list of members; returns `undefined` if the text is not one. */
export function parseMembers (text: string): Member[] | undefined {
  try {
    return membersSchema.safeParse(JSON.parse(text)).data
  } catch {
    return undefined
  }
}
