import { z } from 'zod'
import type { Member } from '../membership/types.js'

/** Maximum length of the names in a member, in characters: those in the settings of a node are no longer. */
const maxNameLength = 200

const name = z.string().min(1).max(maxNameLength)
const port = z.int().min(1).max(65_535)

const memberSchema = z.object({
  id: name,
  service: name,
  region: name,
  failureDomain: name,
  ip: z.union([z.ipv4(), z.ipv6()]),
  peerPort: port,
  controlPort: port,
  state: z.enum(['live', 'leaving'])
})

/** The members that can be used, and the number of those that were left out. */
export interface DecodedMembers {
  readonly members: Member[]
  readonly leftOut: number
}

/** Decodes a list of members; undefined if it is no list. Members that can't be used are left out: the others hold. */
export function decodeMembers (value: unknown): DecodedMembers | undefined {
  if (!Array.isArray(value)) return undefined
  const members = value.flatMap((member: unknown) => memberSchema.safeParse(member).data ?? [])
  return { members, leftOut: value.length - members.length }
}

/** Parses a JSON list of members, as `decodeMembers`; undefined if the text is not one. */
export function parseMembers (text: string): Member[] | undefined {
  try {
    return decodeMembers(JSON.parse(text))?.members
  } catch {
    return undefined
  }
}
