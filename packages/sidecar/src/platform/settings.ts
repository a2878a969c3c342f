import { readFileSync } from 'node:fs'
import { Fault } from 'auburnturn/core/errors'
import { getNodeValue, parseTree } from 'jsonc-parser'
import type { ParseError } from 'jsonc-parser'
import { asInteger, asNonNegativeNumber, isAddress, maxPort } from '../core/decoding/index.js'
import type { Settings } from '../core/settings.js'

/** Environment variable with the path of the settings file, which has the format of deploy/settings.jsonc. */
export const settingsVariable = 'AUBURNTURN_SETTINGS'

/** Reads and validates the settings file. Throws a fault with the key, the value found and the values allowed. */
export function readSettings (file: string): Settings {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (error) {
    throw Fault.create('settings-unreadable', `${file}: ${(error as Error).message}`, error)
  }
  return parseSettings(text, file)
}

/** Validates the text of a settings file; throws as `readSettings`. `file` is used in messages only. */
export function parseSettings (text: string, file: string): Settings {
  const parseErrors: ParseError[] = []
  const root = parseTree(text, parseErrors)
  if (root === undefined || parseErrors.length > 0) throw Fault.create('settings-invalid', `${file}: not JSON with comments, at offset ${parseErrors[0]?.offset ?? 0}`)
  const reader = SettingsReader.create(getNodeValue(root) as unknown, file)
  return {
    name: reader.readText('name'),
    ip: reader.readText('ip'),
    failureDomain: reader.readText('failureDomain'),
    service: reader.readText('service'),
    upstream: reader.readAddress('upstream'),
    listen: {
      callers: reader.readAddress('listen', 'callers'),
      nodes: reader.readAddress('listen', 'nodes'),
      readiness: reader.readAddress('listen', 'readiness')
    },
    internalPorts: [reader.readPort('internalPorts', '0'), reader.readPort('internalPorts', '1')],
    store: reader.readAddress('store'),
    memoryMb: reader.readNumber('memoryMb'),
    bounds: {
      graceMs: reader.readNumber('bounds', 'graceSeconds') * 1_000,
      retryRatio: reader.readNumber('bounds', 'retryRatio'),
      retryAllowance: reader.readNumber('bounds', 'retryAllowance'),
      probesPerSecond: reader.readNumber('bounds', 'probesPerSecond')
    }
  }
}

/** Reads values of a parsed settings file by their keys; throws a fault if a value is not allowed. */
class SettingsReader {
  private readonly root: unknown
  private readonly file: string

  private constructor (root: unknown, file: string) {
    this.root = root
    this.file = file
  }

  static create (root: unknown, file: string): SettingsReader {
    return new SettingsReader(root, file)
  }

  readText (...keys: string[]): string {
    const value = this.findValue(keys)
    return typeof value === 'string' && value !== '' ? value : this.throwInvalid(keys, value, 'a non-empty string')
  }

  readAddress (...keys: string[]): string {
    const value = this.findValue(keys)
    return typeof value === 'string' && isAddress(value) ? value : this.throwInvalid(keys, value, 'IP:PORT')
  }

  readNumber (...keys: string[]): number {
    const value = this.findValue(keys)
    return asNonNegativeNumber(value) ?? this.throwInvalid(keys, value, 'a number of at least 0')
  }

  readPort (...keys: string[]): number {
    const value = asInteger(this.findValue(keys))
    return value !== undefined && value > 0 && value <= maxPort ? value : this.throwInvalid(keys, this.findValue(keys), `a port from 1 to ${maxPort}`)
  }

  private findValue (keys: readonly string[]): unknown {
    return keys.reduce<unknown>((value, key) => (value as Record<string, unknown> | null | undefined)?.[key], this.root)
  }

  private throwInvalid (keys: readonly string[], found: unknown, allowed: string): never {
    throw Fault.create('settings-invalid', `${this.file}: ${keys.join('.')}: found ${JSON.stringify(found) ?? 'nothing'}; allowed: ${allowed}`)
  }
}
