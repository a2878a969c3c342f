/** The process of a stand-in target: `target.js VM SERVICE ID IP PORT`. */
import { StandInTarget } from '@auburnturn/stand-ins'
import type { ReceivedRequest } from '@auburnturn/stand-ins'
import type { ServerResponse } from 'node:http'
import { now, tell } from './messages.js'

const [vm = '', service = '', id = '', ip = '', port = ''] = process.argv.slice(2)

/** Requests that it runs at a time; it refuses those beyond, with proof. */
const slots = 8

/** How long it works on a request, in milliseconds. */
const workMs = 40

let runs = 0
const target = await StandInTarget.create({ id, ip, port: Number(port) })
target.overrideResponse = (arrival, response) => {
  if (target.running >= slots) {
    response.writeHead(503, { 'x-attempt-id': arrival.id, 'x-not-executed': '1', 'x-instance-id': id }).end()
  } else {
    run(arrival, response)
  }
  return 'answered'
}
process.on('disconnect', () => { process.exit(0) })
tell({ kind: 'ready' })

function run ({ id: sending, path }: ReceivedRequest, response: ServerResponse): void {
  const execution = `${id}#${++runs}`
  const content = `${execution} ran ${sending}`
  const at = now()
  target.running++
  tell({ kind: 'event', event: { kind: 'execution-started', execution, sending, call: sending, target: id, at } })
  tell({ kind: 'work', work: { sending, target: id, vm: Number(vm), service, path, at } })
  const timer = setTimeout(() => {
    end('whole', content)
    response.writeHead(200, { 'x-attempt-id': sending, 'x-response-seal': execution, 'x-instance-id': id, 'x-server-load': target.load }).end(content)
  }, workMs)
  response.once('close', () => { if (!response.writableFinished) end('cut', '') })
  let ended = false
  function end (how: 'whole' | 'cut', text: string): void {
    if (ended) return
    ended = true
    clearTimeout(timer)
    target.running--
    tell({ kind: 'event', event: { kind: 'execution-ended', execution, how, content: text, at: now() } })
  }
}
