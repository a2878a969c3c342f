/** The process of callers at some VMs, who keep their connections as long as the node does. */
import { Agent, request } from 'node:http'
import type { IncomingMessage } from 'node:http'
import { callerWaitMs, ports } from '../constants.js'
import { now, tell } from './messages.js'
import type { ToCallers } from './messages.js'
import type { Told } from '../types.js'

/** Idle connections are left before the nodes' limit of 15 s, in milliseconds. */
const idleMs = 10_000

const agent = new Agent({ keepAlive: true, timeout: idleMs })
const paths = ['/pages/', '/orders/', '/extra/'] as const
let sendings = 0

process.on('message', ({ vms, perSecond }: ToCallers) => {
  for (const vm of vms) setInterval(() => { call(vm) }, 1_000 / perSecond)
})
process.on('disconnect', () => { process.exit(0) })
tell({ kind: 'ready' })

function call ({ index, ip }: ToCallers['vms'][number]): void {
  const turn = sendings++
  const sending = `${process.pid}-${turn}`
  const path = paths[turn % paths.length] as string
  const idempotent = path !== '/orders/'
  const sentAt = now()
  tell({ kind: 'event', event: { kind: 'call-sent', sending, call: sending, idempotent, ticketed: false, timeoutMs: callerWaitMs, at: sentAt } })
  const end = (result: Told['result']): void => {
    tell({ kind: 'told', told: { sending, vm: index, path, sentAt, endedAt: now(), result } })
  }
  const body = idempotent ? '' : 'order'
  const sent = request({
    agent,
    host: ip,
    port: ports.callers,
    path: `${path}${turn}`,
    method: idempotent ? 'GET' : 'POST',
    headers: { host: 'shop.example', 'x-attempt-id': sending, 'x-deadline-ms': String(callerWaitMs), ...(idempotent ? {} : { 'content-length': String(body.length) }) }
  }, answer => { read(sending, answer, end) })
  sent.once('error', (error: NodeJS.ErrnoException) => {
    if (left) return end('left')
    // A kept connection may be closed just as a request is on its way.
    end(error.code === 'ECONNREFUSED' ? 'unreached' : sent.reusedSocket ? 'cut-on-kept' : 'cut')
  })
  let left = false
  sent.setTimeout(callerWaitMs, () => {
    left = true
    tell({ kind: 'event', event: { kind: 'caller-left', sending, at: now() } })
    sent.destroy(new Error('the caller has waited long enough'))
  })
  sent.end(body)
}

function read (sending: string, answer: IncomingMessage, end: (result: Told['result']) => void): void {
  const status = answer.statusCode ?? 0
  const execution = String(answer.headers['x-response-seal'] ?? '')
  let content = ''
  if (status === 200) tell({ kind: 'event', event: { kind: 'answer-head', sending, execution, at: now() } })
  answer.on('data', (chunk: Buffer) => { content += chunk.toString('latin1') })
  answer.once('end', () => {
    if (status === 200) tell({ kind: 'event', event: { kind: 'answer-ended', sending, execution, whole: true, content, at: now() } })
    else tell({ kind: 'event', event: { kind: 'refused', sending, verdict: isPromise(status) ? 'not-run' : 'may-have-run', cause: `status ${status}`, at: now() } })
    end(status)
  })
  answer.once('error', () => { end('cut') })
}

/** Statuses that promise that the request did not run. */
function isPromise (status: number): boolean {
  return status === 503 || status === 429 || status === 408 || status === 421 || status === 404
}
