import type { Load } from '../call/types.js'

const loadStates: readonly Load['state'][] = ['starting', 'serving', 'draining']

/** Writes a load as a header value: running/limit, queued, state. */
export function formatLoad (load: Load): string {
  return `${load.running};${load.queued};${load.limit};${load.state}`
}

/** Reads what `formatLoad` wrote; undefined for anything else. */
export function parseLoad (value: string | undefined): Load | undefined {
  const match = /^(\d{1,6});(\d{1,6});(\d{1,6});([a-z]+)$/.exec(value ?? '')
  const state = loadStates.find(known => known === match?.[4])
  if (match === null || state === undefined) return undefined
  return { running: Number(match[1]), queued: Number(match[2]), limit: Number(match[3]), state }
}
