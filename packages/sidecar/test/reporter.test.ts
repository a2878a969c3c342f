import { ManualClock } from 'auburnturn/core/clock'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { unlimited } from '../src/core/rate-limit/index.js'
import { decodeReport, Reporter } from '../src/core/reports/index.js'
import type { Report } from '../src/core/reports/index.js'
import type { TargetReport } from '../src/core/targets/index.js'

const test = suite('reporter')

/** Subscribed nodes, in the own failure domain and in others. */
const subscribers = { sameDomain: ['10.0.0.1', '10.0.0.2'], crossDomain: ['10.1.0.1'] }

/** A reporter with its target, and a record of the reports sent to each node. */
class ReporterFixture {
  readonly clock = ManualClock.create()
  target: TargetReport = { id: 'i-1', service: 'shop', failureDomain: 'a', state: 'up', fresh: false, running: 0, waiting: 0, limit: 8, slowness: 1, failures: 0, rateLimit: unlimited, rateAllowance: unlimited }
  version = 1
  readonly reporter: Reporter
  private readonly sent: Array<{ readonly ip: string, readonly kind: string }> = []

  constructor () {
    this.reporter = Reporter.create({
      clock: this.clock,
      describe: (): Report => ({ kind: 'full', target: this.target, configurationVersion: this.version }),
      subscribers: () => subscribers,
      otherAddresses: () => [...subscribers.sameDomain, ...subscribers.crossDomain, '10.1.0.2'],
      send: (bytes, ip) => { this.sent.push({ ip, kind: decodeReport(bytes)?.kind ?? 'unreadable' }) }
    })
  }

  /** Advances the clock, then returns the kinds of reports sent to a node and clears the record of all nodes. */
  async takeSentKinds (ip: string, advanceMs: number): Promise<string[]> {
    await this.clock.advance(advanceMs)
    return this.sent.splice(0).filter(sent => sent.ip === ip).map(({ kind }) => kind)
  }

  /** Changes the target and lets the reporter check it. */
  change (changes: Partial<TargetReport>): void {
    this.target = { ...this.target, ...changes }
    this.reporter.reportChanges()
  }
}

test('large fleet: an idle node sends each subscriber two short reports a second, and few full ones', async () => {
  const fixture = new ReporterFixture()
  await fixture.takeSentKinds('10.0.0.1', 3_000)
  const kinds = await fixture.takeSentKinds('10.0.0.1', 10_000)
  assert.ok(kinds.length <= 2 * 10, `${kinds.length}`)
  assert.ok(kinds.filter(kind => kind === 'full').length <= 4, kinds.join())
  fixture.reporter.close()
})

test('a change of slowness is reported immediately and replaces the heartbeat', async () => {
  const fixture = new ReporterFixture()
  await fixture.takeSentKinds('10.0.0.1', 3_000)
  let reports = 0
  for (let change = 0; change < 10; change++) {
    fixture.change({ slowness: change % 2 === 0 ? 4 : 1 })
    reports += (await fixture.takeSentKinds('10.0.0.1', 400)).length
  }
  assert.is(reports, 10)
  fixture.reporter.close()
})

test('burst: load that changes with each request is reported at a limited rate', async () => {
  const fixture = new ReporterFixture()
  await fixture.takeSentKinds('10.0.0.1', 3_000)
  for (let running = 0; running < 100; running += 2) {
    fixture.change({ running })
    await fixture.clock.advance(4)
  }
  const { length } = await fixture.takeSentKinds('10.0.0.1', 0)
  assert.ok(length >= 3 && length <= 6, `${length}`)
  fixture.reporter.close()
})

test('a new incarnation is reported in full to all nodes, and again to subscribers, since a report may be lost', async () => {
  const fixture = new ReporterFixture()
  await fixture.takeSentKinds('10.1.0.2', 3_000)
  fixture.change({ id: 'i-2' })
  assert.equal(await fixture.takeSentKinds('10.1.0.2', 0), ['full'])
  assert.equal(await fixture.takeSentKinds('10.0.0.1', 600), ['full'])
  fixture.reporter.close()
})

test('subscribers receive a new configuration version in a full report', async () => {
  const fixture = new ReporterFixture()
  await fixture.takeSentKinds('10.0.0.1', 3_000)
  fixture.version = 2
  fixture.reporter.reportChanges()
  assert.equal(await fixture.takeSentKinds('10.0.0.1', 0), ['full'])
  fixture.reporter.close()
})

test.run()
