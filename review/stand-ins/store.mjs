import { createServer } from 'node:http'
import { listen } from './net.mjs'

/** Largest number of items in one page of a list. */
const pageItems = 500

/** The platform's store in memory, as PROTOCOL.md describes it: items, their history and watches. */
export class Store {
  constructor () {
    this.items = new Map()
    this.history = []
    this.revision = 10
    this.watches = new Set()
    this.server = createServer((request, response) => { this.serve(new URL(request.url, 'http://store'), response) })
  }

  static async create (ip) {
    const store = new Store()
    store.address = `${ip}:${await listen(store.server, ip)}`
    return store
  }

  put (key, value) {
    const item = { key, value: Buffer.from(JSON.stringify(value)).toString('base64'), revision: ++this.revision, created_rev: this.items.get(key)?.created_rev ?? this.revision, lease: 0 }
    this.items.set(key, item)
    this.change(item)
  }

  remove (key) {
    this.items.delete(key)
    this.change({ key, revision: ++this.revision, tombstone: true })
  }

  change (event) {
    this.history.push(event)
    for (const answer of [...this.watches]) answer()
  }

  serve (url, response) {
    const query = url.searchParams
    response.setHeader('store-era', 1)
    switch (url.pathname) {
      case '/api/kv-key': return this.read(query, response)
      case '/api/kv-range': return this.list(query, response)
      case '/api/kv-watch': return this.watch(query, response)
      default: return send(response, 404, {})
    }
  }

  read (query, response) {
    const item = this.items.get(query.get('key'))
    if (item === undefined) return send(response, 404, {})
    send(response, 200, { ...item, current_rev: this.revision })
  }

  list (query, response) {
    const prefix = query.get('prefix') ?? ''
    const after = query.get('after') ?? ''
    const keys = [...this.items.keys()].filter(key => key.startsWith(prefix) && key > after).sort()
    const items = keys.slice(0, pageItems).map(key => this.items.get(key))
    send(response, 200, { items, has_more: keys.length > pageItems, current_rev: this.revision })
  }

  watch (query, response) {
    const prefix = query.get('prefix') ?? ''
    const after = Number(query.get('after'))
    if (after > this.revision) return send(response, 410, {})
    const find = () => this.history.filter(({ key, revision }) => key.startsWith(prefix) && revision > after)
    const answer = () => {
      clearTimeout(timer)
      this.watches.delete(answer)
      send(response, 200, { events: find(), current_rev: this.revision })
    }
    const timer = setTimeout(answer, Number(query.get('wait_ms')))
    this.watches.add(answer)
    if (find().length > 0) answer()
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }
}

function send (response, status, body) {
  const bytes = Buffer.from(JSON.stringify(body))
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': bytes.length }).end(bytes)
}
