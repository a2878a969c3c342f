/** Process of a stand-in target: `target.js VM SERVICE ID IP PORT`. */
import { StandInTarget } from '@auburnturn/stand-ins'
import type { ReceivedRequest } from '@auburnturn/stand-ins'
import type { ServerResponse } from 'node:http'
import { now, sendToParent } from './messages.js'
import type { TargetCommand } from './messages.js'

const [vm = '', service = '', id = '', ip = '', port = ''] = process.argv.slice(2)

/** Maximum number of concurrent requests; more are refused with the header that proves that they were not executed. */
const slots = 8

/** Execution time of a request, in milliseconds. */
const workMs = 40

let executionCount = 0
const target = await StandInTarget.create({ id, ip, port: Number(port) })
target.overrideResponse = (request, response) => {
  if (target.running >= slots) {
    response.writeHead(503, { 'x-attempt-id': request.id, 'x-not-executed': '1', 'x-instance-id': id, ...target.demands }).end()
  } else {
    execute(request, response)
  }
  return 'answered'
}
process.on('message', ({ perSecond }: TargetCommand) => { target.demands = perSecond === undefined ? {} : { 'server-limit': String(perSecond) } })
process.on('disconnect', () => { process.exit(0) })
sendToParent({ kind: 'ready' })

function execute ({ id: requestId, path }: ReceivedRequest, response: ServerResponse): void {
  const execution = `${id}#${++executionCount}`
  const content = `${execution} ran ${requestId}`
  const startedAt = now()
  target.running++
  sendToParent({ kind: 'event', event: { kind: 'execution-started', execution, sending: requestId, call: requestId, target: id, at: startedAt } })
  sendToParent({ kind: 'work', execution: { requestId, target: id, vm: Number(vm), service, path, startedAt } })
  const timer = setTimeout(() => {
    finish('whole', content)
    response.writeHead(200, { 'x-attempt-id': requestId, 'x-response-seal': execution, 'x-instance-id': id, 'x-server-load': target.load, ...target.demands }).end(content)
  }, workMs)
  response.once('close', () => { if (!response.writableFinished) finish('cut', '') })
  let ended = false
  function finish (completion: 'whole' | 'cut', text: string): void {
    if (ended) return
    ended = true
    clearTimeout(timer)
    target.running--
    sendToParent({ kind: 'event', event: { kind: 'execution-ended', execution, how: completion, content: text, at: now() } })
  }
}
