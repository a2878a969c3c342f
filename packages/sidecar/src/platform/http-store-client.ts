import type { CancelSignal, Clock } from 'auburnturn/core/clock'
import { isEarly, isItemOf, isListPage, isWatchPage, SeenContent } from '../core/attribution/index.js'
import type { Configuration } from '../core/configuration/index.js'
import { asJsonObject, asNonEmptyString, parseJson } from '../core/decoding/index.js'
import type { JsonObject } from '../core/decoding/index.js'
import type { BodyLimits } from '../core/bodies/index.js'
import { ConnectionPool, exchange } from '../core/exchange/index.js'
import type { ExchangeResult } from '../core/exchange/index.js'
import type { Change, StoreAnswer, StoreClient, StorePosition } from '../core/store/index.js'
import { configurationKey, decodeConfiguration } from './configuration.js'
import { parseEra, parsePage } from './store-page.js'
import type { Page } from './store-page.js'
import { decodeTarget, targetKeyPrefix } from './targets.js'

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
  | Page & { readonly kind: 'page', readonly era: number }
  /** The store, now in this era, does not have the history after the requested position. */
  | { readonly kind: 'forgotten', readonly era: number }
  | { readonly kind: 'failed', readonly cause: string }

/** HTTP client of the platform's store, which holds the operator's configuration and the entries of the targets. */
export class HttpStoreClient implements StoreClient {
  private readonly host: string
  private readonly clock: Clock
  private readonly bodyLimits: BodyLimits
  private readonly seen = SeenContent.create({ key: configurationKey })
  /** Newest era that an answer has named. */
  private era = 0
  private connections: ConnectionPool
  /** The connection for checks: an answer to a check can't be taken for that to another call. */
  private readonly checkConnections: ConnectionPool
  private readonly onCall: (kind: StoreCallKind) => void

  private constructor ({ address, clock, bodyLimits, onCall }: HttpStoreClientOptions) {
    this.host = address
    this.clock = clock
    this.bodyLimits = bodyLimits
    this.onCall = onCall
    this.connections = this.createConnections()
    this.checkConnections = ConnectionPool.create({ address, limit: 1, clock, bodyLimits })
  }

  static create (options: HttpStoreClientOptions): HttpStoreClient {
    return new HttpStoreClient(options)
  }

  /**
   * Lists the full content. The pages are not a snapshot, so the result has the revision of the first page: a watch from
   * there repeats whatever changed while the other pages were read.
   */
  async list (mode: 'cheap' | 'newest'): Promise<StoreAnswer> {
    const pages: Array<Page & { readonly era: number }> = []
    while (pages.length < maxListPages) {
      const last = pages.at(-1)
      const after = last?.keys.at(-1) ?? ''
      if (last?.hasMore === false) return this.completeList(pages)
      if (last?.keys.length === 0) return { kind: 'failed', cause: 'list does not advance' }
      const page = await this.fetchListPage(mode, after)
      if (page.kind !== 'page') return page
      if (page.era !== (pages[0] ?? page).era) return { kind: 'failed', cause: 'list of two eras' }
      if (!isListPage({ prefix: '', after }, page)) return this.refuse('page of another call')
      if (mode === 'newest' && !this.seen.isNewest(page)) return this.refuseAndForget('page of an earlier list')
      pages.push(page)
    }
    return { kind: 'failed', cause: 'list has too many pages' }
  }

  /**
   * Watches for changes after a position; answers at the first change, or after `waitMs` milliseconds without one. Fails once
   * `signal` aborts.
   */
  async watch ({ era, revision }: StorePosition, waitMs: number, signal?: CancelSignal): Promise<StoreAnswer> {
    const call = { prefix: '', after: revision, waitMs: Math.round(waitMs) }
    this.onCall('watch')
    const page = await this.fetchPage(`/api/kv-watch?prefix=&after=${revision}&wait_ms=${call.waitMs}`, waitMs + watchTimeoutMarginMs, 'events', signal)
    if (page.kind !== 'page') return page
    if (page.era !== era) return { kind: 'forgotten', era: page.era }
    if (!isWatchPage(call, page)) return this.refuse('changes of another watch')
    if (isEarly(call, page, page.tookMs)) this.renewConnections()
    this.seen.record(page, page.removedKeys)
    return { kind: 'changes', changes: decodeEntries(page.entries), era, revision: page.revision }
  }

  /** Returns whether the store answers; the call lists what follows the only item with a prefix, stale items allowed. */
  async check (): Promise<boolean> {
    this.onCall('check')
    const key = encodeURIComponent(configurationKey)
    const result = await this.sendGet(`/api/kv-range?prefix=${key}&after=${key}&allow_stale=1`, checkTimeoutMs, this.checkConnections)
    return result.kind === 'answer' && result.status === 200
  }

  /** Reads the newest configuration; undefined if the call failed or the configuration is invalid. */
  async readConfiguration (): Promise<Configuration | undefined> {
    this.onCall('read')
    const result = await this.sendGet(`/api/kv-key?key=${encodeURIComponent(configurationKey)}`, keyReadTimeoutMs, this.connections)
    if (result.kind !== 'answer' || result.status !== 200) return undefined
    const item = asJsonObject(parseJson(result.body))
    if (item === undefined || !isItemOf(configurationKey, item['key'])) {
      this.renewConnections()
      return undefined
    }
    const change = decodeEntry(configurationKey, item)
    return change?.kind === 'configuration' ? change.configuration : undefined
  }

  close (): void {
    this.connections.close()
    this.checkConnections.close()
  }

  private createConnections (): ConnectionPool {
    const { host: address, clock, bodyLimits } = this
    return ConnectionPool.create({ address, limit: 2, clock, bodyLimits })
  }

  /** Uses the present connections for no further call: an answer on one of them may not belong to its call. */
  private renewConnections (): void {
    this.connections.retire()
    this.connections = this.createConnections()
  }

  /** Fails a call whose answer belongs to another one. */
  private refuse (cause: string): StoreAnswer & PageResult & { kind: 'failed' } {
    this.renewConnections()
    return { kind: 'failed', cause }
  }

  /** The same, after which what was seen is no longer held against the store: the next connection has no earlier answers. */
  private refuseAndForget (cause: string): StoreAnswer {
    this.seen.forget()
    return this.refuse(cause)
  }

  private completeList (pages: ReadonlyArray<Page & { readonly era: number }>): StoreAnswer {
    const { era, revision } = pages[0] ?? { era: 0, revision: 0 }
    const list = { keys: pages.flatMap(({ keys }) => keys), revision }
    if (!this.seen.isWhole(list)) return this.refuseAndForget('part of a list')
    this.seen.record(list)
    return { kind: 'changes', changes: decodeEntries(pages.flatMap(({ entries }) => entries)), era, revision }
  }

  /** In a new era the store may have lost what was seen of it. */
  private startEra (era: number): void {
    this.era = era
    this.seen.forget()
  }

  private async sendGet (path: string, timeoutMs: number, connections: ConnectionPool, signal?: CancelSignal): Promise<ExchangeResult> {
    const { clock, host } = this
    return await exchange({ connections, clock, method: 'GET', path, headers: ['host', host], body: Buffer.alloc(0), connectMs: connectTimeoutMs, timeoutMs, signal, belongs: bearsNoId })
  }

  private async fetchListPage (mode: 'cheap' | 'newest', after: string): Promise<PageResult> {
    this.onCall(mode === 'cheap' ? 'cheap-list' : 'list')
    const staleParameter = mode === 'cheap' ? '&allow_stale=1' : ''
    const afterParameter = after === '' ? '' : `&after=${encodeURIComponent(after)}`
    return await this.fetchPage(`/api/kv-range?prefix=${afterParameter}${staleParameter}`, listTimeoutMs, 'items')
  }

  private async fetchPage (path: string, timeoutMs: number, listField: 'items' | 'events', signal?: CancelSignal): Promise<PageResult> {
    const startedAt = this.clock.now()
    const result = await this.sendGet(path, timeoutMs, this.connections, signal)
    if (result.kind !== 'answer') return { kind: 'failed', cause: result.cause }
    const era = parseEra(result.headers)
    if (era < this.era) return this.refuse('answer of an earlier era')
    if (era > this.era) this.startEra(era)
    if (result.status === 410) return listField === 'events' ? { kind: 'forgotten', era } : this.refuse('answer of a watch')
    if (result.status !== 200) return { kind: 'failed', cause: `status ${result.status}` }
    const page = parsePage(result.body, listField, this.clock.now() - startedAt)
    return page === undefined ? this.refuse('invalid answer') : { kind: 'page', era, ...page }
  }
}

/** The store's answers bear no id; the content of each is checked after it was received whole. */
const bearsNoId = (): boolean => true

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
  readonly bodyLimits: BodyLimits
  /** Called before each call, to count its cost. */
  readonly onCall: (kind: StoreCallKind) => void
}
