import { readFileSync } from 'node:fs'
import { Fault } from 'auburnturn/core/errors'
import { getNodeValue, parseTree } from 'jsonc-parser'
import type { ParseError } from 'jsonc-parser'
import type { Settings } from '../core/settings.js'

/** The variable that names the settings file; its layout is that of deploy/settings.jsonc. */
export const settingsVariable = 'AUBURNTURN_SETTINGS'

const address = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/

/** Reads and checks the settings file; throws a fault that names the key, what was found and what is allowed. */
export function readSettings (file: string): Settings {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (error) {
    throw Fault.create('settings-unreadable', `${file}: ${(error as Error).message}`, error)
  }
  return parseSettings(text, file)
}

/** Checks settings given as text. */
export function parseSettings (text: string, file: string): Settings {
  const problems: ParseError[] = []
  const root = parseTree(text, problems)
  if (root === undefined || problems.length > 0) throw Fault.create('settings-invalid', `${file}: not JSON with comments, at offset ${problems[0]?.offset ?? 0}`)
  const read = Reader.create(getNodeValue(root) as unknown, file)
  return {
    name: read.text('name'),
    ip: read.text('ip'),
    failureDomain: read.text('failureDomain'),
    service: read.text('service'),
    upstream: read.address('upstream'),
    listen: {
      callers: read.address('listen', 'callers'),
      nodes: read.address('listen', 'nodes'),
      readiness: read.address('listen', 'readiness')
    },
    internalPorts: [read.number('internalPorts', '0'), read.number('internalPorts', '1')],
    store: read.address('store'),
    memoryMb: read.number('memoryMb'),
    bounds: {
      graceMs: read.number('bounds', 'graceSeconds') * 1_000,
      retryRatio: read.number('bounds', 'retryRatio'),
      retryAllowance: read.number('bounds', 'retryAllowance'),
      probesPerSecond: read.number('bounds', 'probesPerSecond')
    }
  }
}

/** Reads values of a document by their keys. */
class Reader {
  private readonly root: unknown
  private readonly file: string

  private constructor (root: unknown, file: string) {
    this.root = root
    this.file = file
  }

  static create (root: unknown, file: string): Reader {
    return new Reader(root, file)
  }

  text (...keys: string[]): string {
    const value = this.find(keys)
    return typeof value === 'string' && value !== '' ? value : this.fail(keys, value, 'a text')
  }

  address (...keys: string[]): string {
    const value = this.find(keys)
    return typeof value === 'string' && address.test(value) ? value : this.fail(keys, value, 'IP:PORT')
  }

  number (...keys: string[]): number {
    const value = this.find(keys)
    return typeof value === 'number' && value >= 0 ? value : this.fail(keys, value, 'a number from 0')
  }

  private find (keys: readonly string[]): unknown {
    return keys.reduce<unknown>((value, key) => (value as Record<string, unknown> | null | undefined)?.[key], this.root)
  }

  private fail (keys: readonly string[], found: unknown, allowed: string): never {
    throw Fault.create('settings-invalid', `${this.file}: ${keys.join('.')}: found ${JSON.stringify(found) ?? 'nothing'}; allowed: ${allowed}`)
  }
}
