/** Identifies the incarnation that a node announces as started or leaving. */
export interface IncarnationAnnouncement {
  readonly service: string
  readonly id: string
  readonly incarnation: string
}

/** Formats an announcement as the subject of a notice: `SERVICE/MEMBER/INCARNATION`. */
export function formatAnnouncement ({ service, id, incarnation }: IncarnationAnnouncement): string {
  return `${service}/${id}/${incarnation}`
}

/** Parses the output of `formatAnnouncement`; undefined for any other subject. */
export function parseAnnouncement (subject: string): IncarnationAnnouncement | undefined {
  const [service, id, incarnation, rest] = subject.split('/')
  if (service === undefined || id === undefined || incarnation === undefined || rest !== undefined) return undefined
  return { service, id, incarnation }
}
