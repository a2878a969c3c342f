/** Numbers of requests from this node to one target. Part of the dump. */
export interface OutstandingCounts {
  /** Requests in flight. */
  underWay: number
  /** Requests in flight that were started after the last report of the target's node, which can't include them. */
  unreported: number
}

const none: Readonly<OutstandingCounts> = { underWay: 0, unreported: 0 }

/** Counts the requests that this node has in flight to each target. */
export class OutstandingRequests {
  private readonly counts = new Map<string, OutstandingCounts>()

  private constructor () {}

  static create (): OutstandingRequests {
    return new OutstandingRequests()
  }

  /** Records that this node has sent a request to a target. */
  recordStart (id: string): void {
    const counts = this.counts.get(id) ?? { ...none }
    counts.underWay++
    counts.unreported++
    this.counts.set(id, counts)
  }

  /** Records that a request sent to a target has ended, whatever its outcome. */
  recordEnd (id: string): void {
    const counts = this.counts.get(id)
    if (counts === undefined) return
    counts.underWay--
    counts.unreported = Math.min(counts.unreported, counts.underWay)
    if (counts.underWay === 0) this.counts.delete(id)
  }

  /** Records a report of the target's node, which includes all requests that were sent before. */
  recordReport (id: string): void {
    const counts = this.counts.get(id)
    if (counts !== undefined) counts.unreported = 0
  }

  read (id: string): Readonly<OutstandingCounts> {
    return this.counts.get(id) ?? none
  }

  dump (): unknown {
    return [...this.counts]
  }
}
