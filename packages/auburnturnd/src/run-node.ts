import { Logger, Node } from 'auburnturn'
import type { NodeSettings } from 'auburnturn'
import { exitCodes } from './exit-codes.js'

/** Signals that end the daemon. */
const shutdownSignals = ['SIGTERM', 'SIGINT'] as const

/** Runs one node until a signal ends it: the first lets calls in flight end, a second one ends at once. */
export async function runNode (settings: NodeSettings, warnings: readonly string[]): Promise<void> {
  const logger = Logger.create(settings.log.level)
  for (const warning of warnings) logger.warn('settings-risky', { warning })
  exitOnUncaughtError(logger)
  const firstSignal = waitForSignal(logger)
  const node = await Node.create(settings, { logger })
  logger.info('node-started', { id: settings.id, service: settings.service, callers: node.callersPort, operator: node.operatorPort })
  const signal = await firstSignal
  logger.info('node-draining', { signal })
  await node.drain()
  await node.close()
  logger.info('node-ended')
  process.exit(exitCodes.ok)
}

/** Resolves with the first signal; the second one ends the process. */
async function waitForSignal (logger: Logger): Promise<string> {
  return await new Promise(resolve => {
    let firstReceived = false
    const handleSignal = (signal: string): void => {
      if (firstReceived) {
        logger.warn('node-ended-at-once', { signal })
        process.exit(exitCodes.failed)
      }
      firstReceived = true
      resolve(signal)
    }
    for (const signal of shutdownSignals) process.on(signal, handleSignal)
  })
}

/** An error that nothing caught leaves the process in an unknown state: one line, then the end. */
function exitOnUncaughtError (logger: Logger): void {
  const report = (error: unknown): void => {
    logger.error('uncaught', { error: error instanceof Error ? error.stack ?? error.message : String(error) })
    process.exit(exitCodes.failed)
  }
  process.on('uncaughtException', report)
  process.on('unhandledRejection', report)
}
