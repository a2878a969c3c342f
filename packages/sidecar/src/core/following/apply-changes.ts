import type { Logger } from 'auburnturn/core/logger'
import type { CurrentConfiguration } from '../configuration/index.js'
import type { Change } from '../store/index.js'
import type { Directory, ListedTarget } from '../targets/index.js'
import type { UnusableEntries } from './unusable-entries.js'

/** The local state that changes of the store are applied to. */
export interface ApplyContext {
  readonly directory: Directory
  readonly configuration: CurrentConfiguration
  /** The entries that can't be used and were logged. */
  readonly unusableEntries: UnusableEntries
  readonly logger: Logger
}

/** Applies changes of the store; with `fullList` they are its complete content and replace all listed targets. */
export function applyChanges (changes: readonly Change[], fullList: boolean, context: ApplyContext): void {
  const { directory } = context
  if (fullList) directory.replace(changes.flatMap((change): ListedTarget[] => change.kind === 'target' ? [change.target] : []))
  for (const change of changes) applyChange(change, fullList, context)
  for (const key of context.unusableEntries.record(changes)) context.logger.warn('entry-unusable', { key })
}

function applyChange (change: Change, fullList: boolean, { directory, configuration, logger }: ApplyContext): void {
  switch (change.kind) {
    case 'configuration': {
      const offer = configuration.offer(change.configuration)
      logger.info('configuration-offered', { version: change.configuration.version, offer, routes: change.configuration.routes.length })
      break
    }
    case 'target': {
      const { id, service, state, address } = change.target
      if (!fullList) directory.put(change.target)
      logger.info('target-listed', { id, service, state, address })
      break
    }
    case 'gone':
      directory.remove(change.id)
      logger.info('target-gone', { id: change.id })
      break
    case 'unusable':
      if (change.id !== undefined) directory.remove(change.id)
  }
}
