/** The process of the stand-in store: `store.js IP PORT`. */
import { StandInStore } from '@auburnturn/stand-ins'
import { now, tell } from './messages.js'
import type { ToStore } from './messages.js'

const [ip = '', port = ''] = process.argv.slice(2)
const store = await StandInStore.create({ ip, port: Number(port) })

process.on('message', (message: ToStore) => {
  switch (message.kind) {
    case 'put':
      store.put(message.key, message.value)
      return tell({ kind: 'acknowledged', order: message.order, at: now() })
    case 'remove':
      store.remove(message.key)
      return tell({ kind: 'acknowledged', order: message.order, at: now() })
    case 'refuse':
      store.errorStatus = message.status
      return
    case 'forget':
      store.discardHistory()
  }
})
process.on('disconnect', () => { process.exit(0) })
tell({ kind: 'ready' })
