import { ManualClock } from 'auburnturn/core/clock'
import { Logger } from 'auburnturn/core/logger'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Settings } from '../src/core/settings.js'
import { SettingsMonitor } from '../src/settings-monitor.js'

const test = suite('settings monitor')

function createSettings (retryRatio: number): Settings {
  return {
    name: 'n',
    ip: '10.0.0.1',
    failureDomain: 'a',
    service: 's',
    upstream: '10.0.0.1:1',
    listen: { callers: '10.0.0.1:2', nodes: '10.0.0.1:3', readiness: '10.0.0.1:4' },
    internalPorts: [5, 6],
    store: '10.0.0.2:7',
    memoryMb: 250,
    bounds: { graceMs: 6_000, retryRatio, retryAllowance: 60, probesPerSecond: 60 }
  }
}

test('changed settings are reported without a signal, invalid settings are ignored', async () => {
  const clock = ManualClock.create()
  const reported: number[] = []
  let readSettings = (): Settings => createSettings(0.2)
  const monitor = SettingsMonitor.create({ settings: createSettings(0.2), readSettings: () => readSettings(), clock, logger: Logger.createSilent(), checkIntervalMs: 100, onChange: ({ bounds }) => { reported.push(bounds.retryRatio) } })
  await clock.advance(300)
  assert.equal(reported, [])
  readSettings = () => { throw new Error('invalid') }
  await clock.advance(300)
  assert.equal(reported, [])
  readSettings = () => createSettings(0.5)
  await clock.advance(300)
  assert.equal(reported, [0.5])
  readSettings = () => createSettings(0.6)
  monitor.check()
  assert.equal(reported, [0.5, 0.6])
  monitor.close()
})

test.run()
