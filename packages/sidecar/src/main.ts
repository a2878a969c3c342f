/** The program beside each upstream: reads its settings, runs one node, ends on SIGTERM. */
import { Clock } from 'auburnturn/core/clock'
import { describeFault, isFault } from 'auburnturn/core/errors'
import { Logger } from 'auburnturn/core/logger'
import { Random } from 'auburnturn/core/random'
import { Node } from './node.js'
import { readSettings, settingsVariable } from './platform/index.js'

async function main (): Promise<void> {
  const logger = Logger.create('info', line => { process.stdout.write(`${line}\n`) })
  const ending = new Promise<void>(resolve => { process.once('SIGTERM', resolve) })
  process.on('SIGHUP', () => { logger.info('reload-asked') })
  const settings = readSettings(process.env[settingsVariable] ?? 'settings.jsonc')
  const node = await Node.create({ settings, clock: Clock.create(), random: Random.create(process.hrtime()[1]), logger })
  logger.info('node-started', { name: settings.name, service: settings.service, sinceStartMs: Math.round(performance.now()) })
  await ending
  await node.drain()
  process.exit(0)
}

main().catch((error: unknown) => {
  process.stderr.write(`auburnturn: ${isFault(error) ? describeFault(error) : error instanceof Error ? error.stack : String(error)}\n`)
  process.exit(1)
})
