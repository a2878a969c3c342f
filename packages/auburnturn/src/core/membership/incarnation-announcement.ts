/** A node's own word about its incarnation, as the subject of a notice. */
export interface IncarnationAnnouncement {
  readonly service: string
  readonly id: string
  readonly incarnation: string
}

/** The subject of a notice about one incarnation of a member. */
export function formatAnnouncement ({ service, id, incarnation }: IncarnationAnnouncement): string {
  return `${service}/${id}/${incarnation}`
}

/** Reads what `formatOwnWord` wrote; undefined for anything else. */
export function parseAnnouncement (subject: string): IncarnationAnnouncement | undefined {
  const [service, id, incarnation, rest] = subject.split('/')
  if (service === undefined || id === undefined || incarnation === undefined || rest !== undefined) return undefined
  return { service, id, incarnation }
}
