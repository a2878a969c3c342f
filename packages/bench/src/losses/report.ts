/** Counts of one kind of request or one span of time in the report of a played day. */
export interface ReportRow {
  readonly name: string
  /** Number of requests. */
  readonly n: number
  readonly late: number
  readonly refused: number
  readonly failed: number
  /** Worth earned, as a share of what is owed. */
  readonly worth: number
}

/** The parts of the report of a played day that the loss tables need. */
export interface DayReport {
  /** Worth of the day. */
  readonly G: number
  readonly classes: readonly ReportRow[]
  readonly windows: readonly ReportRow[]
  /** How the last attempts of callers that were not served ended: how, how many, an example. */
  readonly unserved_by: ReadonlyArray<readonly [string, number, readonly string[]]>
  /** Prices: what for, the amount, the worth. */
  readonly prices: ReadonlyArray<readonly [string, number, number]>
  readonly events: ReadonlyArray<{ readonly at_s: number, readonly to_s: number, readonly kind: string }>
}

/** What an answer of one kind is worth within its objective and after it. */
export interface KindWorth {
  readonly inTime: number
  readonly late: number
}

/** Reads the worth of each kind of request from the text of a site file. */
export function readWorths (site: string): Map<string, KindWorth> {
  const worths = new Map<string, KindWorth>()
  for (const line of site.split('\n')) {
    const name = /^\s*\{ name = "([^"]+)", service = /.exec(line)?.[1]
    if (name === undefined) continue
    const read = (key: string): number => Number(new RegExp(`\\b${key} = ([\\d.]+)`).exec(line)?.[1] ?? 0)
    worths.set(name, { inTime: read('worth'), late: read('late_worth') })
  }
  return worths
}
