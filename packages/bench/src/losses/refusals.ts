/** Lines of one event with one cause, for one service, in one span of a day. */
export interface CauseCount {
  readonly event: string
  readonly cause: string
  readonly service: string
  count: number
  /** Sum of the milliseconds that the requests took until then. */
  tookMs: number
}

const linePattern = /^\s*(-?\d+\.\d+) \S+ .*\bevent=(request-failed|refused) (.*)$/

/**
 * Counts the log lines of failed requests and of refusals by cause. Nodes drop lines above their rate limit, so that the counts
 * show shares and not totals.
 */
export function countCauses (log: string, fromS: number, toS: number): CauseCount[] {
  const counts = new Map<string, CauseCount>()
  for (const line of log.split('\n')) {
    const [, second, event, text] = linePattern.exec(line) ?? []
    if (event === undefined || text === undefined || Number(second) < fromS || Number(second) >= toS) continue
    const read = (name: string): string => new RegExp(`\\b${name}=(\\S+)`).exec(text)?.[1] ?? ''
    const key = `${event} ${read('cause')} ${read('service')}`
    const count = counts.get(key) ?? { event, cause: read('cause'), service: read('service'), count: 0, tookMs: 0 }
    counts.set(key, count)
    count.count++
    count.tookMs += Number(read('tookMs'))
  }
  return [...counts.values()].sort((one, other) => other.count - one.count)
}
