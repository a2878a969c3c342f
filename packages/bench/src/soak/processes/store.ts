/** Process of the stand-in store: `store.js IP PORT`. */
import { StandInStore } from '@auburnturn/stand-ins'
import { now, sendToParent } from './messages.js'
import type { StoreCommand } from './messages.js'

const [ip = '', port = ''] = process.argv.slice(2)
const store = await StandInStore.create({ ip, port: Number(port) })

process.on('message', (message: StoreCommand) => {
  switch (message.kind) {
    case 'put':
      store.put(message.key, message.value)
      return sendToParent({ kind: 'acknowledged', changeId: message.changeId, acknowledgedAt: now() })
    case 'remove':
      store.remove(message.key)
      return sendToParent({ kind: 'acknowledged', changeId: message.changeId, acknowledgedAt: now() })
    case 'refuse':
      store.errorStatus = message.status
      return
    case 'forget':
      store.discardHistory()
  }
})
process.on('disconnect', () => { process.exit(0) })
sendToParent({ kind: 'ready' })
