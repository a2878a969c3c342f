import { ManualClock } from 'auburnturn/core/clock'
import { Logger } from 'auburnturn/core/logger'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Settings } from '../src/core/settings.js'
import { SettingsMonitor } from '../src/settings-monitor.js'

const test = suite('settings watch')

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

test('settings that change without a signal are taken, those that are not valid are not', async () => {
  const clock = ManualClock.create()
  const taken: number[] = []
  let read = (): Settings => createSettings(0.2)
  const watch = SettingsMonitor.create({ settings: createSettings(0.2), readSettings: () => read(), clock, logger: Logger.createSilent(), checkIntervalMs: 100, onChange: ({ bounds }) => { taken.push(bounds.retryRatio) } })
  await clock.advance(300)
  assert.equal(taken, [])
  read = () => { throw new Error('not valid') }
  await clock.advance(300)
  assert.equal(taken, [])
  read = () => createSettings(0.5)
  await clock.advance(300)
  assert.equal(taken, [0.5])
  read = () => createSettings(0.6)
  watch.check()
  assert.equal(taken, [0.5, 0.6])
  watch.close()
})

test.run()
