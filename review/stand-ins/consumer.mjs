import { request } from 'node:http'

let attempts = 0

/**
 * Sends one request on a connection of its own, and waits for the whole answer until its time limit. Resolves with the status, or 0 if
 * the connection ended without a whole answer ('cut'), or -1 if there was none at the time limit ('late').
 */
export async function send ({ machine, method = 'GET', host, path, body = Buffer.alloc(0), limitMs, record, agent = false, onSent = () => {} }) {
  const id = `${process.pid.toString(16)}-${(++attempts).toString(16).padStart(8, '0')}`
  const sentAt = Date.now()
  record(`sent ${id} ${method} ${path}, ${body.length} bytes, to ${machine.name}`)
  let kept = false
  const result = await new Promise(resolve => {
    const headers = { host, 'x-attempt-id': id, 'x-deadline-ms': String(limitMs) }
    if (method !== 'GET') headers['content-length'] = body.length
    const call = request({ host: machine.ip, port: machine.ports.outbound, method, path, headers, agent }, answer => {
      const chunks = []
      answer.on('data', chunk => { chunks.push(chunk) })
      answer.once('end', () => { resolve({ status: answer.statusCode, headers: answer.headers, body: Buffer.concat(chunks) }) })
      answer.once('error', () => { resolve({ status: 0, detail: 'answer cut' }) })
    })
    const timer = setTimeout(() => {
      resolve({ status: -1, detail: 'no answer in time' })
      call.destroy()
    }, limitMs)
    call.once('finish', onSent)
    call.once('socket', () => { kept = call.reusedSocket })
    call.once('close', () => { clearTimeout(timer) })
    call.once('error', error => { resolve({ status: 0, detail: error.code }) })
    call.end(body)
  })
  const tookMs = Date.now() - sentAt
  record(`got ${id} ${result.status} ${result.detail ?? ''} after ${tookMs} ms`)
  return { id, sentAt, tookMs, kept, ...result }
}
