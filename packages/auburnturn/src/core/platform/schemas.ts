import { z } from 'zod'
import type { Entry } from '../configuration/types.js'
import { decodeMembers } from './decode-members.js'
import type { ConfigurationPage, ListedMembers, MemberPage } from './types.js'

const version = z.int().min(0)

const entrySchema = z.object({
  key: z.string(),
  version,
  text: z.string().nullish().transform(text => text ?? undefined)
})

const listSchema = z.object({
  service: z.string().min(1),
  version,
  members: z.unknown().transform(decodeMembers)
})

/** Schema of a page of configuration entries in a response of the platform. Entries that can't be used are left out. */
export const configurationPageSchema = z.object({ revision: version, entries: z.array(z.unknown()) }).transform(({ revision, entries }): ConfigurationPage => {
  const decoded = entries.flatMap((entry): Entry[] => {
    const { data } = entrySchema.safeParse(entry)
    return data === undefined ? [] : [data]
  })
  // Versions are revisions of the platform. A later one would outrank all that the platform publishes for that key.
  const usable = decoded.filter(entry => entry.version <= revision)
  return { revision, entries: usable, leftOut: entries.length - usable.length }
})

/** Schema of a page of member lists in a response of the platform. Lists and members that can't be used are left out. */
export const memberPageSchema = z.object({ revision: version, lists: z.array(z.unknown()) }).transform(({ revision, lists }): MemberPage => {
  const usable = lists.flatMap((list): ListedMembers[] => {
    const { data } = listSchema.safeParse(list)
    return data?.members === undefined || data.version > revision ? [] : [{ service: data.service, version: data.version, ...data.members }]
  })
  return { revision, lists: usable, leftOut: lists.length - usable.length }
})
