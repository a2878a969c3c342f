import { createAdapter } from '@most/adapter'
import type { Stream } from '@most/types'
import type { Clock } from '../clock/index.js'
import type { Logger } from '../logger/index.js'
import { parseDocument, profileSchema, serviceSchema } from '../settings/index.js'
import type { DocumentProblem, Profile, ServiceChoice } from '../settings/index.js'
import type { Acceptance, Entry, EntrySource } from './types.js'

interface Held<Value> {
  readonly entry: Entry
  readonly value: Value | undefined
  readonly source: EntrySource
  readonly since: number
}

/** Holds the newest accepted version of every entry; never puts an older one in force. */
export class Store {
  /** Emits every entry that came into force. */
  readonly changes: Stream<Entry>
  private readonly emit: (entry: Entry) => void
  private readonly clock: Clock
  private readonly logger: Logger
  private readonly profiles = new Map<string, Held<Profile>>()
  private readonly services = new Map<string, Held<ServiceChoice>>()
  private readonly rejected = new Map<string, { version: number, problems: readonly DocumentProblem[] }>()
  private readonly fallback: Profile = profileSchema.parse({})

  private constructor (clock: Clock, logger: Logger) {
    const [emit, changes] = createAdapter<Entry>()
    this.emit = emit
    this.changes = changes
    this.clock = clock
    this.logger = logger
  }

  static create ({ clock, logger }: { clock: Clock, logger: Logger }): Store {
    return new Store(clock, logger)
  }

  /** Offers an entry; it comes into force only when it is valid and newer than the one held. */
  accept (entry: Entry, source: EntrySource): Acceptance {
    const [kind, name] = splitKey(entry.key)
    if (kind === 'profile') return this.put(this.profiles, profileSchema, name, entry, source)
    if (kind === 'service') return this.put(this.services, serviceSchema, name, entry, source)
    return 'rejected'
  }

  /** The profile that `service` picks, or the defaults while none is known. */
  profileOf (service: string): Profile {
    const choice = this.services.get(service)?.value
    if (choice === undefined) return this.fallback
    return this.profiles.get(choice.profile)?.value ?? this.fallback
  }

  /** Highest version in force. */
  get version (): number {
    let highest = 0
    for (const held of this.profiles.values()) highest = Math.max(highest, held.entry.version)
    for (const held of this.services.values()) highest = Math.max(highest, held.entry.version)
    return highest
  }

  hasService (service: string): boolean {
    return this.services.get(service)?.value !== undefined
  }

  dump (): unknown {
    const describe = ([name, held]: [string, Held<unknown>]): unknown =>
      ({ name, version: held.entry.version, source: held.source, ageMs: this.clock.now() - held.since })
    return {
      version: this.version,
      profiles: [...this.profiles].map(describe),
      services: [...this.services].map(describe),
      rejected: Object.fromEntries(this.rejected)
    }
  }

  private put<Value> (held: Map<string, Held<Value>>, schema: Parameters<typeof parseDocument>[1], name: string, entry: Entry, source: EntrySource): Acceptance {
    const before = held.get(name)
    if (before !== undefined && entry.version < before.entry.version) return 'older'
    if (before !== undefined && entry.version === before.entry.version) return 'known'
    const parsed = entry.text === undefined ? undefined : parseDocument(entry.text, schema)
    if (parsed?.kind === 'invalid') {
      this.rejected.set(entry.key, { version: entry.version, problems: parsed.problems })
      this.logger.warn('configuration-rejected', { key: entry.key, version: entry.version, problem: parsed.problems[0]?.message })
      return 'rejected'
    }
    held.set(name, { entry, value: parsed?.value as Value | undefined, source, since: this.clock.now() })
    this.rejected.delete(entry.key)
    this.logger.info('configuration-in-force', { key: entry.key, version: entry.version, source })
    this.emit(entry)
    return 'accepted'
  }
}

function splitKey (key: string): [string, string] {
  const slash = key.indexOf('/')
  return [key.slice(0, slash), key.slice(slash + 1)]
}
