import type { Load } from '../call/types.js'

const loadStates: readonly Load['state'][] = ['starting', 'serving', 'draining']

/** Formats a load as a header value: `RUNNING;QUEUED;LIMIT;STATE`. */
export function formatLoad (load: Load): string {
  return `${load.running};${load.queued};${load.limit};${load.state}`
}

/** Parses a header value in the format of `formatLoad`; undefined for any other value. */
export function parseLoad (value: string | undefined): Load | undefined {
  const match = /^(\d{1,6});(\d{1,6});(\d{1,6});([a-z]+)$/.exec(value ?? '')
  const state = loadStates.find(loadState => loadState === match?.[4])
  if (match === null || state === undefined) return undefined
  return { running: Number(match[1]), queued: Number(match[2]), limit: Number(match[3]), state }
}
