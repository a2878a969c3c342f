import type { NodeStatus } from './types.js'

/** Extracts the status from a dump. Fields that the version of the node lacks become undefined. */
export function readStatus (address: string, dump: unknown): NodeStatus {
  const service = findText(dump, 'node', 'service')
  return {
    address,
    node: findText(dump, 'node', 'id'),
    service,
    state: findText(dump, 'node', 'state') ?? findText(dump, 'admission', 'state'),
    version: findNumber(dump, 'configuration', 'version'),
    digest: findText(dump, 'configuration', 'digest'),
    confirmedAgeMs: findNumber(dump, 'configuration', 'confirmedAgeMs'),
    source: findText(dump, 'configuration', 'source'),
    platformSilentMs: findNumber(dump, 'configuration', 'platformSilentMs'),
    members: service === undefined ? undefined : findNumber(dump, 'membership', 'services', service, 'live'),
    inFlight: findNumber(dump, 'admission', 'running'),
    slots: findNumber(dump, 'admission', 'limit'),
    queued: findNumber(dump, 'admission', 'queued'),
    measuredBytes: findNumber(dump, 'measuring', 'spent', 'bytes') ?? findNumber(dump, 'parts', 'measuring', 'state', 'spent', 'bytes'),
    relayBytesPerSecond: findNumber(dump, 'relay', 'bytesPerSecond'),
    role: findText(dump, 'relay', 'role')
  }
}

function findValue (value: unknown, path: readonly string[]): unknown {
  let current = value
  for (const key of path) {
    if (typeof current !== 'object' || current === null || !Object.hasOwn(current, key)) return undefined
    current = (current as Record<string, unknown>)[key]
  }
  return current
}

function findNumber (dump: unknown, ...path: string[]): number | undefined {
  const found = findValue(dump, path)
  return typeof found === 'number' ? found : undefined
}

function findText (dump: unknown, ...path: string[]): string | undefined {
  const found = findValue(dump, path)
  return typeof found === 'string' ? found : undefined
}
