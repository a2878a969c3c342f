import type { Cancel, Clock } from 'auburnturn/core/clock'
import type { TargetReport } from '../targets/index.js'
import { encodeReport, encodeShortReport } from './codec.js'
import type { Report } from './codec.js'
import { farLoadStep, fullReportMs, heartbeatMs, loadSpacingMs, lookMs, nearLoadStep, slownessStep } from './constants.js'

/** Addresses of other nodes, by whether they are in the same failure domain. */
export interface Receivers {
  readonly near: readonly string[]
  readonly far: readonly string[]
}

/** What a group of receivers was told last. */
interface Told {
  readonly loadStep: number
  report: Report | undefined
  /** When the last report went out, and the last full one. */
  toldAt: number
  fullAt: number
}

/** Tells the nodes that want it how the own target does: changes at once, and a heartbeat; all hear of another lifetime or state. */
export class Reporter {
  private readonly options: ReporterOptions
  private readonly cancel: Cancel
  private readonly near: Told = { loadStep: nearLoadStep, report: undefined, toldAt: -Infinity, fullAt: -Infinity }
  private readonly far: Told = { loadStep: farLoadStep, report: undefined, toldAt: -Infinity, fullAt: -Infinity }
  /** What all nodes were told last. */
  private known: TargetReport | undefined

  private constructor (options: ReporterOptions) {
    this.options = options
    this.cancel = options.clock.every(lookMs, () => { this.tell() })
  }

  static create (options: ReporterOptions): Reporter {
    return new Reporter(options)
  }

  /** Looks at the present figures and sends them where they are worth it. */
  tell (): void {
    const { describe, receivers, others } = this.options
    const report = describe()
    if (this.known === undefined || isOther(report.target, this.known)) {
      this.known = report.target
      this.sendAll(report, others())
      // One that missed it can't read shorter ones: the next is full again.
      this.note(this.near, 'short', report)
      this.note(this.far, 'short', report)
      this.near.fullAt = this.far.fullAt = -Infinity
      return
    }
    const near = this.chooseKind(this.near, report)
    const far = this.chooseKind(this.far, report)
    if (near === 'none' && far === 'none') return
    const groups = receivers()
    this.tellGroup(this.near, near, groups.near, report)
    this.tellGroup(this.far, far, groups.far, report)
  }

  /** Tells a node that has just asked for reports. */
  greet (ip: string): void {
    this.sendAll(this.options.describe(), [ip])
  }

  close (): void {
    this.cancel()
  }

  /** What a group needs to hear now. */
  private chooseKind (told: Told, report: Report): 'full' | 'short' | 'none' {
    const now = this.options.clock.now()
    const kind = now - told.fullAt >= fullReportMs ? 'full' : 'short'
    if (told.report === undefined || report.configurationVersion !== told.report.configurationVersion) return 'full'
    if (now - told.toldAt >= heartbeatMs || isOtherPace(report.target, told.report.target)) return kind
    const changed = now - told.toldAt >= loadSpacingMs && isOtherLoad(report.target, told.report.target, told.loadStep)
    return changed ? kind : 'none'
  }

  private tellGroup (told: Told, kind: 'full' | 'short' | 'none', ips: readonly string[], report: Report): void {
    if (kind === 'none') return
    this.note(told, kind, report)
    if (kind === 'full') return this.sendAll(report, ips)
    const bytes = encodeShortReport(report.target)
    for (const ip of ips) this.options.send(bytes, ip)
  }

  private note (told: Told, kind: 'full' | 'short', report: Report): void {
    told.report = report
    told.toldAt = this.options.clock.now()
    if (kind === 'full') told.fullAt = told.toldAt
  }

  private sendAll (report: Report, ips: Iterable<string>): void {
    const bytes = encodeReport(report)
    for (const ip of ips) this.options.send(bytes, ip)
  }
}

/** Whether all nodes need to hear of it: another lifetime of the target, or another state. */
function isOther (one: TargetReport, other: TargetReport): boolean {
  return one.id !== other.id || one.state !== other.state || one.fresh !== other.fresh
}

function isOtherPace (one: TargetReport, other: TargetReport): boolean {
  const slowness = one.slowness / other.slowness
  return slowness > slownessStep || slowness < 1 / slownessStep
}

function isOtherLoad (one: TargetReport, other: TargetReport, step: number): boolean {
  return Math.abs(one.running + one.waiting - other.running - other.waiting) >= step
}

interface ReporterOptions {
  readonly clock: Clock
  readonly describe: () => Report
  /** Nodes that want reports. */
  readonly receivers: () => Receivers
  /** Addresses of all other nodes. */
  readonly others: () => Iterable<string>
  readonly send: (bytes: Buffer, ip: string) => void
}
