import type { Clock } from '../clock/index.js'
import type { Store } from '../configuration/index.js'
import type { Logger } from '../logger/index.js'
import type { Directory } from '../membership/index.js'
import type { Platform } from '../platform/index.js'
import type { Part } from '../supervisor/types.js'
import { watchMs } from '../platform/constants.js'

/** Pause after a failed read, in milliseconds. */
const retryMs = 1_000

/** Follows the platform's configuration into the store. */
export function followConfiguration ({ platform, store, ...context }: ReaderContext & { store: Store }): Part {
  let revision = 0
  return follow('configuration', context, async signal => {
    const page = await platform.readConfiguration(revision, watchMs, signal)
    for (const entry of page.entries) store.accept(entry, 'platform')
    revision = page.revision
  })
}

/** Follows the platform's member lists into the directory. */
export function followMembers ({ platform, directory, ...context }: ReaderContext & { directory: Directory }): Part {
  let revision = 0
  return follow('members', context, async signal => {
    const page = await platform.readMembers(revision, watchMs, signal)
    for (const list of page.lists) directory.accept(list)
    revision = page.revision
  })
}

function follow (name: string, { clock, logger }: { clock: Clock, logger: Logger }, read: (signal: AbortSignal) => Promise<void>): Part {
  const closing = new AbortController()
  const loop = async (): Promise<void> => {
    while (!closing.signal.aborted) {
      try {
        await read(closing.signal)
      } catch (error) {
        if (closing.signal.aborted) return
        logger.warn('platform-silent', { what: name, error: String(error) })
        await clock.sleep(retryMs, closing.signal)
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

interface ReaderContext {
  readonly platform: Platform
  readonly clock: Clock
  readonly logger: Logger
}
