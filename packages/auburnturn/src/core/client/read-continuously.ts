import type { Clock } from '../clock/index.js'
import type { Logger } from '../logger/index.js'
import type { Part } from '../supervisor/types.js'
import { readRetryDelayMs } from './constants.js'

/**
 * Calls `read` in a loop until closed. A failed read is logged and retried after a delay. `what` names the data that is
 * read, for the log.
 */
export function readContinuously (what: string, read: (signal: AbortSignal) => Promise<void>, { clock, logger }: { clock: Clock, logger: Logger }): Part {
  const closing = new AbortController()
  const loop = async (): Promise<void> => {
    while (!closing.signal.aborted) {
      try {
        await read(closing.signal)
      } catch (error) {
        if (closing.signal.aborted) return
        logger.warn('platform-silent', { what, error: String(error) })
        await clock.sleep(readRetryDelayMs, closing.signal)
      }
    }
  }
  const running = loop()
  return {
    async close () {
      closing.abort()
      await running
    }
  }
}
