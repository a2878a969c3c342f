import type { CrashSync } from '../core/quarantine/index.js'
import { computeIdChecksum } from '../core/reports/index.js'
import type { Message } from '../core/reports/index.js'
import type { LocalState } from './local-state.js'
import type { StoreSync } from './store-sync.js'

/** Handles a datagram of the node at `ip`. */
export function receiveMessage (ip: string, message: Message, { state, storeSync, crashSync, recordSubscription }: MessageReceivers): void {
  switch (message.kind) {
    case 'full':
      state.recordReport(ip, message.target)
      return storeSync.receiveVersion(ip, message.target.failureDomain, message.configurationVersion)
    case 'short':
      return state.directory.recordFigures(ip, message.figures, id => computeIdChecksum(id) === message.idChecksum)
    case 'subscription':
      return recordSubscription(ip)
    case 'reader':
      return storeSync.receiveReaderNotice(ip, message)
    case 'changes':
      return storeSync.receiveChanges(ip, message)
    case 'crash':
      return crashSync()?.receiveNotice(message)
    case 'crash-digest':
      return crashSync()?.receiveDigest(ip, message)
  }
}

/** What messages are passed to. */
export interface MessageReceivers {
  readonly state: LocalState
  readonly storeSync: StoreSync
  /** Returns the present synchronisation of crashes; undefined before messages can be sent. */
  readonly crashSync: () => CrashSync | undefined
  /** Called with the address of a node that subscribes to the reports of this node, or renews its subscription. */
  readonly recordSubscription: (ip: string) => void
}
