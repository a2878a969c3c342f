/** Runs a part of one's own under the supervisor: it fails once and is started again. */
import { Clock, Logger, Supervisor } from 'auburnturn'

const logger = Logger.create('error', line => { console.log(line.replace(/^time=\S+ /, '')) })
const supervisor = Supervisor.create({ clock: Clock.create(), logger })

let starts = 0
const restarted = new Promise(resolve => {
  supervisor.add('reader', async fail => {
    starts++
    if (starts === 1) setImmediate(() => { fail(new Error('the source went away')) })
    else resolve()
    return { close: async () => {}, dump: () => ({ starts }) }
  })
})

await restarted
await supervisor.close()
console.log(`started ${starts} times`)
