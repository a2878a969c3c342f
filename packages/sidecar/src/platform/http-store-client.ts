import type { Clock } from 'auburnturn/core/clock'
import type { Configuration } from '../core/configuration/index.js'
import { ConnectionPool, exchange } from '../core/exchange/index.js'
import type { BodyMemory, ExchangeResult } from '../core/exchange/index.js'
import type { Change, StoreClient, StoreAnswer } from '../core/following/index.js'
import { configurationKey, decodeConfiguration } from './configuration.js'
import { asNonNegativeNumber, asJsonObject, parseJson, asNonEmptyString } from './json-values.js'
import type { JsonObject } from './json-values.js'
import { decodeTarget, targetKeyPrefix } from './targets.js'

/** Longest time for a new connection to the store, in milliseconds. */
const connectTimeoutMs = 500

/** Longest time for a read, in milliseconds. */
const listTimeoutMs = 1_500

/** Longest time for one item, in milliseconds: other nodes have it as well. */
const keyReadTimeoutMs = 700

/** Time beyond the wait that was asked for, in milliseconds. */
const watchTimeoutMarginMs = 600

/** Longest list that is read, in pages; a longer one is a fault of the store. */
const maxListPages = 1_000

/** Kinds of calls, which differ in price. */
type StoreCallKind = 'list' | 'cheap-list' | 'watch' | 'read'

/** A page of items, or of changes. */
type PageResult =
  | { readonly kind: 'page', readonly entries: readonly unknown[], readonly revision: number, readonly hasMore: boolean }
  | { readonly kind: 'forgotten' }
  | { readonly kind: 'failed', readonly cause: string }

/** The platform's store: the operator's configuration and the targets' own entries. */
export class HttpStoreClient implements StoreClient {
  private readonly host: string
  private readonly clock: Clock
  private readonly connections: ConnectionPool
  private readonly onCall: (kind: StoreCallKind) => void

  private constructor ({ address, clock, memory, onCall }: HttpStoreClientOptions) {
    this.host = address
    this.clock = clock
    this.onCall = onCall
    this.connections = ConnectionPool.create({ address, limit: 2, clock, memory })
  }

  static create (options: HttpStoreClientOptions): HttpStoreClient {
    return new HttpStoreClient(options)
  }

  /** Pages are not a snapshot: what changes meanwhile comes again behind the revision of the first. */
  async list (how: 'cheap' | 'newest'): Promise<StoreAnswer> {
    const changes: Change[] = []
    let revision: number | undefined
    let after = ''
    for (let pages = 0; pages < maxListPages; pages++) {
      this.onCall(how === 'cheap' ? 'cheap-list' : 'list')
      const stale = how === 'cheap' ? '&allow_stale=1' : ''
      const behind = after === '' ? '' : `&after=${encodeURIComponent(after)}`
      const page = await this.fetchPage(`/api/kv-range?prefix=${behind}${stale}`, listTimeoutMs, 'items')
      if (page.kind !== 'page') return page
      revision ??= page.revision
      changes.push(...decodeEntries(page.entries))
      const last = asNonEmptyString(asJsonObject(page.entries.at(-1))?.['key'])
      if (!page.hasMore || last === undefined) return { kind: 'changes', changes, revision }
      after = last
    }
    return { kind: 'failed', cause: 'endless list' }
  }

  async watch (revision: number, waitMs: number): Promise<StoreAnswer> {
    this.onCall('watch')
    const page = await this.fetchPage(`/api/kv-watch?prefix=&after=${revision}&wait_ms=${Math.round(waitMs)}`, waitMs + watchTimeoutMarginMs, 'events')
    if (page.kind !== 'page') return page
    return { kind: 'changes', changes: decodeEntries(page.entries), revision: page.revision }
  }

  async readConfiguration (): Promise<Configuration | undefined> {
    this.onCall('read')
    const reply = await this.sendGet(`/api/kv-key?key=${encodeURIComponent(configurationKey)}`, keyReadTimeoutMs)
    if (reply.kind !== 'answer' || reply.status !== 200) return undefined
    const item = asJsonObject(parseJson(reply.body))
    const change = item === undefined ? undefined : decodeEntry(configurationKey, item)
    return change?.kind === 'configuration' ? change.configuration : undefined
  }

  close (): void {
    this.connections.close()
  }

  private async sendGet (path: string, timeoutMs: number): Promise<ExchangeResult> {
    const { connections, clock, host } = this
    return await exchange({ connections, clock, method: 'GET', path, headers: ['host', host], body: Buffer.alloc(0), connectMs: connectTimeoutMs, timeoutMs })
  }

  private async fetchPage (path: string, timeoutMs: number, list: 'items' | 'events'): Promise<PageResult> {
    const reply = await this.sendGet(path, timeoutMs)
    if (reply.kind !== 'answer') return { kind: 'failed', cause: reply.cause }
    if (reply.status === 410) return { kind: 'forgotten' }
    if (reply.status !== 200) return { kind: 'failed', cause: `status ${reply.status}` }
    const body = asJsonObject(parseJson(reply.body))
    const revision = asNonNegativeNumber(body?.['current_rev'])
    const entries = body?.[list]
    if (body === undefined || revision === undefined || !Array.isArray(entries)) return { kind: 'failed', cause: 'unreadable answer' }
    return { kind: 'page', entries, revision, hasMore: body['has_more'] === true }
  }
}

function decodeEntries (entries: readonly unknown[]): Change[] {
  return entries.flatMap(entry => {
    const fields = asJsonObject(entry)
    const key = asNonEmptyString(fields?.['key'])
    return fields === undefined || key === undefined ? [] : decodeEntry(key, fields) ?? []
  })
}

/** Undefined for keys that mean nothing here. */
function decodeEntry (key: string, fields: JsonObject): Change | undefined {
  const id = key.startsWith(targetKeyPrefix) ? key.slice(targetKeyPrefix.length) : undefined
  if (fields['tombstone'] === true) return id === undefined ? undefined : { kind: 'gone', id }
  if (id === undefined && key !== configurationKey) return undefined
  const value = parseJson(Buffer.from(asNonEmptyString(fields['value']) ?? '', 'base64'))
  if (id === undefined) {
    const configuration = decodeConfiguration(value)
    return configuration === undefined ? { kind: 'unusable', key, id } : { kind: 'configuration', configuration }
  }
  const target = decodeTarget(key, value)
  return target === undefined ? { kind: 'unusable', key, id } : { kind: 'target', target }
}

interface HttpStoreClientOptions {
  readonly address: string
  readonly clock: Clock
  /** Bounds its answers, with all others. */
  readonly memory: BodyMemory
  /** Called before each call, which is priced. */
  readonly onCall: (kind: StoreCallKind) => void
}
