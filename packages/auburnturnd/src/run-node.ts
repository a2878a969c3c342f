import { Logger, Node } from 'auburnturn'
import type { NodeSettings } from 'auburnturn'
import { exitCodes } from './exit-codes.js'

/** Signals on which the daemon shuts down. */
const shutdownSignals = ['SIGTERM', 'SIGINT'] as const

/** Runs one node until a shutdown signal, then drains the calls in flight and exits; a second signal exits immediately. */
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

/** Resolves with the name of the first shutdown signal; the second one exits the process immediately. */
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

/** Logs an uncaught error and exits, since the state of the process is unknown after it. */
function exitOnUncaughtError (logger: Logger): void {
  const logAndExit = (error: unknown): void => {
    logger.error('uncaught', { error: error instanceof Error ? error.stack ?? error.message : String(error) })
    process.exit(exitCodes.failed)
  }
  process.on('uncaughtException', logAndExit)
  process.on('unhandledRejection', logAndExit)
}
