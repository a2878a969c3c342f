import { ManualClock } from 'auburnturn/core/clock'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { decodeReport, Reporter } from '../src/core/reports/index.js'
import type { Report } from '../src/core/reports/index.js'
import type { TargetReport } from '../src/core/targets/index.js'

const test = suite('reporter')

/** Nodes that listen, in the own failure domain and in others. */
const receivers = { sameDomain: ['10.0.0.1', '10.0.0.2'], crossDomain: ['10.1.0.1'] }

/** A reporter, what it tells of, and what it sent to each node. */
class Bench {
  readonly clock = ManualClock.create()
  target: TargetReport = { id: 'i-1', service: 'shop', failureDomain: 'a', state: 'up', fresh: false, running: 0, waiting: 0, limit: 8, slowness: 1, failures: 0 }
  version = 1
  readonly reporter: Reporter
  private readonly sent: Array<{ readonly ip: string, readonly kind: string }> = []

  constructor () {
    this.reporter = Reporter.create({
      clock: this.clock,
      describe: (): Report => ({ kind: 'full', target: this.target, configurationVersion: this.version }),
      receivers: () => receivers,
      otherNodes: () => [...receivers.sameDomain, ...receivers.crossDomain, '10.1.0.2'],
      send: (bytes, ip) => { this.sent.push({ ip, kind: decodeReport(bytes)?.kind ?? 'unreadable' }) }
    })
  }

  /** Takes what a node was sent since the last time. */
  async take (ip: string, advanceMs: number): Promise<string[]> {
    await this.clock.advance(advanceMs)
    return this.sent.splice(0).filter(sent => sent.ip === ip).map(({ kind }) => kind)
  }

  change (changes: Partial<TargetReport>): void {
    this.target = { ...this.target, ...changes }
    this.reporter.reportChanges()
  }
}

test('large fleet: a calm node sends each listener two short reports a second, and few full ones', async () => {
  const bench = new Bench()
  await bench.take('10.0.0.1', 3_000)
  const kinds = await bench.take('10.0.0.1', 10_000)
  assert.ok(kinds.length <= 2 * 10, `${kinds.length}`)
  assert.ok(kinds.filter(kind => kind === 'full').length <= 4, kinds.join())
  bench.reporter.close()
})

test('a change of pace goes at once and stands for the heartbeat', async () => {
  const bench = new Bench()
  await bench.take('10.0.0.1', 3_000)
  let reports = 0
  for (let change = 0; change < 10; change++) {
    bench.change({ slowness: change % 2 === 0 ? 4 : 1 })
    reports += (await bench.take('10.0.0.1', 400)).length
  }
  assert.is(reports, 10)
  bench.reporter.close()
})

test('burst: load that changes with each request is told with pauses', async () => {
  const bench = new Bench()
  await bench.take('10.0.0.1', 3_000)
  for (let running = 0; running < 100; running += 2) {
    bench.change({ running })
    await bench.clock.advance(4)
  }
  const { length } = await bench.take('10.0.0.1', 0)
  assert.ok(length >= 3 && length <= 6, `${length}`)
  bench.reporter.close()
})

test('all nodes hear of another lifetime, and listeners once more, since a report may get lost', async () => {
  const bench = new Bench()
  await bench.take('10.1.0.2', 3_000)
  bench.change({ id: 'i-2' })
  assert.equal(await bench.take('10.1.0.2', 0), ['full'])
  assert.equal(await bench.take('10.0.0.1', 600), ['full'])
  bench.reporter.close()
})

test('listeners hear of a new configuration in a full report', async () => {
  const bench = new Bench()
  await bench.take('10.0.0.1', 3_000)
  bench.version = 2
  bench.reporter.reportChanges()
  assert.equal(await bench.take('10.0.0.1', 0), ['full'])
  bench.reporter.close()
})

test.run()
