import { createServer } from 'node:http'
import { listen } from './net.mjs'

/** An application target, as PROTOCOL.md describes it. A request runs for `workMs`, and is dropped when its connection closes. */
export class Target {
  constructor ({ id, service, zone, slots, workMs, createBody, record }) {
    Object.assign(this, { id, service, zone, slots, workMs, createBody, record })
    this.running = 0
    /** How many times as long as usual the target works. */
    this.slowness = 1
    this.runs = []
    this.server = createServer((request, response) => { this.serve(request, response) })
  }

  static async create ({ ip, port, ...options }) {
    const target = new Target({ workMs: 290, slots: 18, zone: 'a', createBody: id => Buffer.from(`answer to ${id}`), ...options })
    target.address = `${ip}:${await listen(target.server, ip, port)}`
    return target
  }

  /** What the target says of itself in the store. */
  get entry () {
    this.born ??= Date.now()
    return {
      address: this.address,
      info: { service: this.service, version: 'v1', zone: this.zone, slots: this.slots },
      status: { state: 'ready', sequence: 1, cold_remaining_ms: 0 },
      born: this.born
    }
  }

  serve (request, response) {
    const head = { 'x-instance-id': this.id, 'x-server-load': `${this.running},0,${this.slots},${100 * this.slowness}` }
    const attempt = request.headers['x-attempt-id']
    if (request.url === '/health') {
      request.resume()
      if (attempt !== undefined) head['x-attempt-id'] = attempt
      return response.writeHead(200, { ...head, 'content-length': 0 }).end()
    }
    let bytes = 0
    request.on('data', chunk => { bytes += chunk.length })
    request.on('end', () => { this.run({ request, response, attempt, bytes, head }) })
  }

  run ({ request, response, attempt, bytes, head }) {
    const answer = { ...head, 'x-attempt-id': attempt ?? '' }
    if (attempt === undefined) return response.writeHead(400, { ...answer, 'x-not-executed': '1', 'content-length': 0 }).end()
    if (request.headers['x-expect-instance'] !== undefined && request.headers['x-expect-instance'] !== this.id) {
      return response.writeHead(421, { ...answer, 'x-not-executed': '1', 'content-length': 0 }).end()
    }
    if (this.running >= this.slots) return response.writeHead(503, { ...answer, 'x-not-executed': '1', 'content-length': 0 }).end()
    this.running++
    const run = { attempt, target: this.id, service: this.service, caller: request.headers['x-caller-service'], path: request.url, bytes }
    this.runs.push(run)
    this.record(`run ${attempt} at ${this.id} of ${this.service}, caller ${run.caller}, ${bytes} bytes`)
    const timer = setTimeout(() => {
      const body = this.createBody(attempt)
      response.writeHead(200, { ...answer, 'x-response-seal': `seal.${this.id}`, 'content-length': body.length }).end(body)
    }, this.workMs * this.slowness)
    response.once('close', () => {
      clearTimeout(timer)
      this.running--
    })
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }
}
