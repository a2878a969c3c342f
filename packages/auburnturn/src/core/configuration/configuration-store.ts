import { createAdapter } from '@most/adapter'
import type { Stream } from '@most/types'
import type { Clock } from '../clock/index.js'
import type { Logger } from '../logger/index.js'
import { parseDocument, profileSchema, serviceSchema } from '../settings/index.js'
import type { DocumentProblem, ParsedDocument, Profile, ServiceConfiguration } from '../settings/index.js'
import { maxEntries, maxEntryTextBytes } from './constants.js'
import { Digest } from './digest.js'
import { compareEditions, createEntry, selectNewestEdition } from './edition.js'
import { Freshness } from './freshness.js'
import { Refusals } from './refusals.js'
import { Tombstones } from './tombstones.js'
import type { AcceptResult, Edition, Entry, EntrySource, Replica } from './types.js'

interface StoredEntry {
  readonly entry: Entry
  readonly lastGood: Edition | undefined
  readonly value: Profile | ServiceConfiguration | undefined
  readonly source: EntrySource
  readonly storedAt: number
}

interface StoreLimits { readonly tombstones?: number }

/** Holds the newest accepted version of every entry; never puts an older one in force. */
export class ConfigurationStore implements Replica {
  /** Emits every entry that came into force. */
  readonly changes: Stream<Entry>
  /** Emits every entry that was new here, refused ones included; the relay passes these on. */
  readonly newEntries: Stream<Entry>
  readonly digest: Digest
  readonly freshness: Freshness
  readonly refusals = Refusals.create()
  private readonly emitChange: (entry: Entry) => void
  private readonly emitNewEntry: (entry: Entry) => void
  private readonly clock: Clock
  private readonly logger: Logger
  private readonly entries = new Map<string, StoredEntry>()
  private readonly tombstones: Tombstones
  /** The profile that was last in force for a service, for when its choice can't be resolved. */
  private readonly lastGoodProfiles = new Map<string, Profile>()
  private readonly defaultProfile: Profile = profileSchema.parse({})
  private highestVersion = 0

  private constructor (clock: Clock, logger: Logger, digest: Digest, bounds: StoreLimits) {
    [this.emitChange, this.changes] = createAdapter<Entry>();
    [this.emitNewEntry, this.newEntries] = createAdapter<Entry>()
    this.clock = clock
    this.logger = logger
    this.digest = digest
    this.freshness = Freshness.create({ clock })
    this.tombstones = Tombstones.create(bounds.tombstones)
  }

  /** `digest` may be shared with other replicas. */
  static create ({ clock, logger, digest = Digest.create(), bounds = {} }: { clock: Clock, logger: Logger, digest?: Digest, bounds?: StoreLimits }): ConfigurationStore {
    return new ConfigurationStore(clock, logger, digest, bounds)
  }

  owns (key: string): boolean {
    return key.startsWith('profile/') || key.startsWith('service/')
  }

  get (key: string): Entry | undefined {
    return this.entries.get(key)?.entry
  }

  /** Offers an entry; it comes into force only when it is valid and newer than the one held. */
  accept (entry: Entry, source: EntrySource): AcceptResult {
    const before = this.entries.get(entry.key)
    const problem = this.findEntryProblem(entry, before)
    if (problem !== undefined) return this.reject(entry, source, [problem])
    if (before === undefined && source === 'peer' && entry.version <= this.tombstones.highestEvictedVersion) return 'older'
    const order = compareEditions(before?.entry, entry)
    if (order === 'conflict-won' || order === 'conflict-lost') this.recordConflict(entry, source)
    const parsed = order === 'same' || entry.text === undefined ? undefined : parseEntry(entry.key, entry.text)
    const good = this.findLastGood(before, entry, parsed)
    const won = order === 'newer' || order === 'conflict-won'
    if (!won && good === before?.lastGood) return this.declineEntry(order, entry, source)
    return this.put(won ? entry : (before as StoredEntry).entry, entry, good, before, source, parsed)
  }

  /** The profile that `service` picks; the last good one while that can't be resolved; else the defaults. */
  getProfile (service: string): Profile {
    return this.resolveProfile(service) ?? this.lastGoodProfiles.get(service) ?? this.defaultProfile
  }

  /** Highest version accepted. */
  get version (): number {
    return this.highestVersion
  }

  hasService (service: string): boolean {
    return this.getServiceConfiguration(service) !== undefined
  }

  /** Services whose choice names no known profile. */
  get unresolved (): string[] {
    const names = [...this.entries].filter(([key]) => key.startsWith('service/')).map(([key]) => key.slice('service/'.length))
    return names.filter(name => this.hasService(name) && this.resolveProfile(name) === undefined)
  }

  dump (): Record<string, unknown> {
    const rows = [...this.entries].map(([key, { entry, lastGood: good, source, storedAt: since }]) =>
      ({ key, version: entry.version, inForce: good?.version ?? null, removed: entry.text === undefined, source, ageMs: this.clock.now() - since }))
    return {
      version: this.version,
      digest: this.digest.total.toString(16),
      ...this.freshness.dump(),
      unresolved: this.unresolved.map(service => ({ service, profile: this.getServiceConfiguration(service)?.profile, uses: this.lastGoodProfiles.has(service) ? 'last good' : 'defaults' })),
      tombstones: this.tombstones.size,
      entries: rows,
      ...this.refusals.dump()
    }
  }

  private findEntryProblem (entry: Entry, before: StoredEntry | undefined): string | undefined {
    if (!this.owns(entry.key) || entry.key.length > 200) return 'The key is not profile/NAME or service/NAME.'
    if (!Number.isSafeInteger(entry.version) || entry.version < 0) return 'The version is not a whole number.'
    const bytes = Math.max(byteLength(entry.text), byteLength(entry.good?.text))
    if (bytes > maxEntryTextBytes) return `The text has ${bytes} bytes; ${maxEntryTextBytes} are allowed.`
    if (before === undefined && this.entries.size >= maxEntries) return `More than ${maxEntries} entries.`
    return undefined
  }

  private findLastGood (before: StoredEntry | undefined, entry: Entry, parsed: ParsedEntry): Edition | undefined {
    const own = parsed?.kind === 'valid' && entry.text !== undefined ? { version: entry.version, text: entry.text } : undefined
    const best = selectNewestEdition(before?.lastGood, own)
    const newest = selectNewestEdition(best, entry.good)
    return newest === best || newest === undefined || parseEntry(entry.key, newest.text)?.kind !== 'valid' ? best : newest
  }

  private put (current: Entry, offered: Entry, good: Edition | undefined, before: StoredEntry | undefined, source: EntrySource, parsed: ParsedEntry): AcceptResult {
    const { key } = current
    const value = current.text === undefined && key.startsWith('service/') ? undefined : getParsedValue(key, good, before)
    const entry = createEntry(key, current, good)
    const inForce = good !== before?.lastGood || (current.text === undefined) !== (before?.entry.text === undefined)
    this.recordLastGoodProfiles(key)
    this.entries.set(key, { entry, lastGood: good, value, source, storedAt: this.clock.now() })
    this.digest.set(entry)
    this.highestVersion = Math.max(this.highestVersion, current.version, good?.version ?? 0)
    if (current.text === undefined) this.addTombstone(entry)
    else this.tombstones.delete(key)
    this.emitNewEntry(entry)
    if (inForce) this.announceActivation(entry, source)
    if (parsed?.kind === 'invalid' && current === offered) return this.reject(offered, source, parsed.problems)
    if (current.version <= (good?.version ?? current.version)) this.refusals.clearRejected(key)
    return 'accepted'
  }

  private announceActivation (entry: Entry, source: EntrySource): void {
    this.logger.info('configuration-in-force', { key: entry.key, version: entry.version, source, removed: entry.text === undefined })
    this.emitChange(entry)
    for (const service of this.findAffectedServices(entry.key)) {
      if (this.resolveProfile(service) !== undefined) continue
      this.logger.warn('profile-missing', { service, profile: this.getServiceConfiguration(service)?.profile, uses: this.lastGoodProfiles.has(service) ? 'last-good' : 'defaults' })
    }
  }

  /** Keeps the profile of each service that the coming change touches. */
  private recordLastGoodProfiles (key: string): void {
    for (const service of this.findAffectedServices(key)) {
      const profile = this.resolveProfile(service)
      if (profile !== undefined) this.lastGoodProfiles.set(service, profile)
    }
  }

  private findAffectedServices (key: string): string[] {
    const [kind, name] = splitKey(key)
    if (kind === 'service') return this.hasService(name) ? [name] : []
    const services: string[] = []
    for (const [other, { value }] of this.entries) {
      if (other.startsWith('service/') && (value as ServiceConfiguration | undefined)?.profile === name) services.push(splitKey(other)[1])
    }
    return services
  }

  private addTombstone (entry: Entry): void {
    for (const key of this.tombstones.add(entry.key, entry.version)) {
      this.entries.delete(key)
      this.digest.delete(key)
    }
  }

  private declineEntry (order: string, entry: Entry, source: EntrySource): AcceptResult {
    if (order === 'same') return 'known'
    if (order === 'older') this.refusals.countOlder(source)
    return order === 'older' ? 'older' : 'conflict'
  }

  private recordConflict (entry: Entry, source: EntrySource): void {
    if (this.refusals.addConflict(entry.key, entry.version, source)) {
      this.logger.error('configuration-conflict', { key: entry.key, version: entry.version, source })
    }
  }

  private reject (entry: Entry, source: EntrySource, problems: ReadonlyArray<DocumentProblem | string>): 'rejected' {
    const described = problems.map(problem => typeof problem === 'string' ? { line: 1, column: 1, key: '', message: problem } : problem)
    if (this.refusals.addRejected({ key: entry.key, version: entry.version, source, problems: described })) {
      this.logger.warn('configuration-rejected', { key: entry.key, version: entry.version, source, problem: described[0]?.message })
    }
    return 'rejected'
  }

  private getServiceConfiguration (service: string): ServiceConfiguration | undefined {
    return this.entries.get(`service/${service}`)?.value as ServiceConfiguration | undefined
  }

  private resolveProfile (service: string): Profile | undefined {
    const choice = this.getServiceConfiguration(service)
    return choice === undefined ? undefined : this.entries.get(`profile/${choice.profile}`)?.value as Profile | undefined
  }
}

type ParsedEntry = ParsedDocument<Profile | ServiceConfiguration> | undefined

function parseEntry (key: string, text: string): ParsedEntry {
  return parseDocument(text, key.startsWith('profile/') ? profileSchema : serviceSchema)
}

function getParsedValue (key: string, good: Edition | undefined, before: StoredEntry | undefined): Profile | ServiceConfiguration | undefined {
  if (good === undefined) return undefined
  if (good === before?.lastGood && before.value !== undefined) return before.value
  const parsed = parseEntry(key, good.text)
  return parsed?.kind === 'valid' ? parsed.value : undefined
}

function byteLength (text: string | undefined): number {
  return text === undefined ? 0 : Buffer.byteLength(text)
}

function splitKey (key: string): [string, string] {
  const slash = key.indexOf('/')
  return [key.slice(0, slash), key.slice(slash + 1)]
}
