/** A node's own word about its incarnation, as the subject of a notice. */
export interface OwnWord {
  readonly service: string
  readonly id: string
  readonly incarnation: string
}

/** The subject of a notice about one incarnation of a member. */
export function formatOwnWord ({ service, id, incarnation }: OwnWord): string {
  return `${service}/${id}/${incarnation}`
}

/** Reads what `formatOwnWord` wrote; undefined for anything else. */
export function parseOwnWord (subject: string): OwnWord | undefined {
  const [service, id, incarnation, rest] = subject.split('/')
  if (service === undefined || id === undefined || incarnation === undefined || rest !== undefined) return undefined
  return { service, id, incarnation }
}
