import type { CancelSignal, Clock } from 'auburnturn/core/clock'
import type { Configuration } from '../core/configuration/index.js'
import { ConnectionPool, exchange } from '../core/exchange/index.js'
import type { BodyMemory, ExchangeResult } from '../core/exchange/index.js'
import type { Change, StoreClient, StoreAnswer } from '../core/following/index.js'
import { configurationKey, decodeConfiguration } from './configuration.js'
import { asNonNegativeNumber, asJsonObject, parseJson, asNonEmptyString } from './json-values.js'
import type { JsonObject } from './json-values.js'
import { decodeTarget, targetKeyPrefix } from './targets.js'

/** Maximum number of connections: one for the watch, one for checks, one for other calls. */
const maxConnections = 3

/** Timeout for opening a connection to the store, in milliseconds. */
const connectTimeoutMs = 500

/** Timeout for one page of a list, in milliseconds. */
const listTimeoutMs = 1_500

/** Timeout for reading one item, in milliseconds. It is shorter since other nodes provide the item as well. */
const keyReadTimeoutMs = 700

/**
 * Timeout for checking whether the store answers, in milliseconds. It equals the margin of a watch, so that a slow store fails
 * neither sooner.
 */
const checkTimeoutMs = 600

/** A watch times out this long after its requested wait, in milliseconds. */
const watchTimeoutMarginMs = 600

/** Maximum number of pages of a list; more are treated as a fault of the store. */
const maxListPages = 1_000

/** Kinds of calls to the store; each has a different cost. */
type StoreCallKind = 'list' | 'cheap-list' | 'watch' | 'check' | 'read'

/** Result of a call for a page of items or changes. */
type PageResult =
  | { readonly kind: 'page', readonly entries: readonly unknown[], readonly revision: number, readonly hasMore: boolean }
  /** The store no longer has the history after the requested revision. */
  | { readonly kind: 'forgotten' }
  | { readonly kind: 'failed', readonly cause: string }

/** HTTP client of the platform's store, which holds the operator's configuration and the entries of the targets. */
export class HttpStoreClient implements StoreClient {
  private readonly host: string
  private readonly clock: Clock
  private readonly connections: ConnectionPool
  private readonly onCall: (kind: StoreCallKind) => void

  private constructor ({ address, clock, memory, onCall }: HttpStoreClientOptions) {
    this.host = address
    this.clock = clock
    this.onCall = onCall
    this.connections = ConnectionPool.create({ address, limit: maxConnections, clock, memory })
  }

  static create (options: HttpStoreClientOptions): HttpStoreClient {
    return new HttpStoreClient(options)
  }

  /**
   * Lists the full content. The pages are not a snapshot, so the result has the revision of the first page: a watch from
   * there repeats whatever changed while the other pages were read.
   */
  async list (mode: 'cheap' | 'newest'): Promise<StoreAnswer> {
    const changes: Change[] = []
    let revision: number | undefined
    let afterKey = ''
    for (let pages = 0; pages < maxListPages; pages++) {
      this.onCall(mode === 'cheap' ? 'cheap-list' : 'list')
      const staleParameter = mode === 'cheap' ? '&allow_stale=1' : ''
      const afterParameter = afterKey === '' ? '' : `&after=${encodeURIComponent(afterKey)}`
      const page = await this.fetchPage(`/api/kv-range?prefix=${afterParameter}${staleParameter}`, listTimeoutMs, 'items')
      if (page.kind !== 'page') return page
      revision ??= page.revision
      changes.push(...decodeEntries(page.entries))
      const lastKey = asNonEmptyString(asJsonObject(page.entries.at(-1))?.['key'])
      if (!page.hasMore || lastKey === undefined) return { kind: 'changes', changes, revision }
      afterKey = lastKey
    }
    return { kind: 'failed', cause: 'list has too many pages' }
  }

  /**
   * Watches for changes after a revision; answers at the first change, or after `waitMs` milliseconds without one. Fails once
   * `signal` aborts.
   */
  async watch (revision: number, waitMs: number, signal: CancelSignal): Promise<StoreAnswer> {
    this.onCall('watch')
    const page = await this.fetchPage(`/api/kv-watch?prefix=&after=${revision}&wait_ms=${Math.round(waitMs)}`, waitMs + watchTimeoutMarginMs, 'events', signal)
    if (page.kind !== 'page') return page
    return { kind: 'changes', changes: decodeEntries(page.entries), revision: page.revision }
  }

  /** Returns whether the store answers; the call is a list of few or no items, stale ones allowed. */
  async check (): Promise<boolean> {
    this.onCall('check')
    const key = encodeURIComponent(configurationKey)
    const page = await this.fetchPage(`/api/kv-range?prefix=${key}&after=${key}&allow_stale=1`, checkTimeoutMs, 'items')
    return page.kind === 'page'
  }

  /** Reads the newest configuration; undefined if the call failed or the configuration is invalid. */
  async readConfiguration (): Promise<Configuration | undefined> {
    this.onCall('read')
    const result = await this.sendGet(`/api/kv-key?key=${encodeURIComponent(configurationKey)}`, keyReadTimeoutMs)
    if (result.kind !== 'answer' || result.status !== 200) return undefined
    const item = asJsonObject(parseJson(result.body))
    const change = item === undefined ? undefined : decodeEntry(configurationKey, item)
    return change?.kind === 'configuration' ? change.configuration : undefined
  }

  close (): void {
    this.connections.close()
  }

  private async sendGet (path: string, timeoutMs: number, signal?: CancelSignal): Promise<ExchangeResult> {
    const { connections, clock, host } = this
    return await exchange({ connections, clock, method: 'GET', path, headers: ['host', host], body: Buffer.alloc(0), connectMs: connectTimeoutMs, timeoutMs, signal })
  }

  private async fetchPage (path: string, timeoutMs: number, listField: 'items' | 'events', signal?: CancelSignal): Promise<PageResult> {
    const result = await this.sendGet(path, timeoutMs, signal)
    if (result.kind !== 'answer') return { kind: 'failed', cause: result.cause }
    if (result.status === 410) return { kind: 'forgotten' }
    if (result.status !== 200) return { kind: 'failed', cause: `status ${result.status}` }
    const body = asJsonObject(parseJson(result.body))
    const revision = asNonNegativeNumber(body?.['current_rev'])
    const entries = body?.[listField]
    if (body === undefined || revision === undefined || !Array.isArray(entries)) return { kind: 'failed', cause: 'invalid answer' }
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

/** Decodes an entry; undefined if its key is neither that of the configuration nor that of a target. */
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
  /** `IP:PORT`. */
  readonly address: string
  readonly clock: Clock
  /** Limits the answers of the store, together with all other bodies. */
  readonly memory: BodyMemory
  /** Called before each call, to count its cost. */
  readonly onCall: (kind: StoreCallKind) => void
}
