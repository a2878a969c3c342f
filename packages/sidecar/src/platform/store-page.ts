import { findHeader } from 'auburnturn/core/http'
import type { WatchPage } from '../core/attribution/index.js'
import { asInteger, asJsonObject, asNonEmptyString, parseJson } from '../core/decoding/index.js'
import type { JsonObject } from '../core/decoding/index.js'
import type { Headers } from '../core/exchange/index.js'

/** A page of items or changes, and what of it shows whose answer it is. */
export interface Page extends WatchPage {
  readonly entries: readonly unknown[]
  /** Keys of the entries that are removed. */
  readonly removedKeys: readonly string[]
  /** Whether other pages follow. */
  readonly hasMore: boolean
  /** Duration of the call, in milliseconds. */
  readonly tookMs: number
}

/** Header of all answers of the store: a number that rises each time the store has come back from a copy. */
const eraHeader = 'store-era'

const eraPattern = /^\d{1,9}$/

/** Returns the era that an answer names; 0 without one. */
export function parseEra (headers: Headers): number {
  const text = findHeader(headers, eraHeader) ?? ''
  return eraPattern.test(text) ? Number(text) : 0
}

/** Parses the body of an answer to a list ('items') or a watch ('events'); undefined if it is neither, or damaged. */
export function parsePage (bytes: Buffer, listField: 'items' | 'events', tookMs: number): Page | undefined {
  const body = asJsonObject(parseJson(bytes))
  const revision = asInteger(body?.['current_rev'])
  const entries: unknown = body?.[listField]
  if (body === undefined || revision === undefined || !Array.isArray(entries)) return undefined
  const items = entries.flatMap((entry: unknown): JsonObject[] => {
    const item = asJsonObject(entry)
    return item === undefined ? [] : [item]
  })
  return {
    entries,
    revision,
    hasMore: body['has_more'] === true,
    tookMs,
    keys: items.flatMap(item => asNonEmptyString(item['key']) ?? []),
    eventRevisions: items.flatMap(item => asInteger(item['revision']) ?? []),
    removedKeys: items.flatMap(item => item['tombstone'] === true ? asNonEmptyString(item['key']) ?? [] : [])
  }
}
