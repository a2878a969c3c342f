/** Main program of the sidecar: reads the settings, runs one node next to an upstream, and drains it on SIGTERM. */
import { Clock } from 'auburnturn/core/clock'
import { describeFault, isFault } from 'auburnturn/core/errors'
import { Logger } from 'auburnturn/core/logger'
import { Random } from 'auburnturn/core/random'
import { settingsCheckIntervalMs } from './constants.js'
import { LineWriter } from './core/logging/index.js'
import { Node } from './node/index.js'
import { readSettings, settingsVariable } from './platform/index.js'
import { SettingsMonitor } from './settings-monitor.js'

async function main (): Promise<void> {
  const clock = Clock.create()
  const lineWriter = LineWriter.create({ clock })
  const logger = Logger.create('info', line => { lineWriter.write(line) }, () => lineWriter.admit())
  // The handler stays, since a repeated signal must not end the process in the middle of its planned stop.
  const sigterm = new Promise<void>(resolve => { process.on('SIGTERM', resolve) })
  const file = process.env[settingsVariable] ?? 'settings.jsonc'
  const settings = readSettings(file)
  const node = await Node.create({ settings, clock, random: Random.create(process.hrtime()[1]), logger })
  const settingsMonitor = SettingsMonitor.create({ settings, readSettings: () => readSettings(file), clock, logger, checkIntervalMs: settingsCheckIntervalMs, onChange: changed => { node.reload(changed) } })
  process.on('SIGHUP', () => { settingsMonitor.check() })
  logger.info('node-started', { name: settings.name, service: settings.service, sinceStartMs: Math.round(performance.now()) })
  await sigterm
  settingsMonitor.close()
  await node.drain()
  await lineWriter.waitUntilFlushed()
  process.exit(0)
}

main().catch((error: unknown) => {
  process.stderr.write(`auburnturn: ${isFault(error) ? describeFault(error) : error instanceof Error ? error.stack : String(error)}\n`)
  process.exit(1)
})
