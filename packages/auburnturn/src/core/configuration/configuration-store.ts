import { createAdapter } from '@most/adapter'
import type { Stream } from '@most/types'
import type { Clock } from '../clock/index.js'
import type { Logger } from '../logger/index.js'
import { parseDocument, profileSchema, serviceSchema } from '../settings/index.js'
import type { DocumentProblem, ParsedDocument, Profile, ServiceConfiguration } from '../settings/index.js'
import { maxEntries, maxEntryTextBytes } from './constants.js'
import { DeclinedEntries } from './declined-entries.js'
import { Digest } from './digest.js'
import { compareEditions, createEntry, selectNewestEdition } from './edition.js'
import { Freshness } from './freshness.js'
import { Tombstones } from './tombstones.js'
import type { AcceptResult, Edition, Entry, EntrySource, Replica } from './types.js'

interface StoredEntry {
  readonly entry: Entry
  /** The newest valid edition. */
  readonly lastGood: Edition | undefined
  /** The parsed text of the last good edition; `undefined` for a removed service. */
  readonly value: Profile | ServiceConfiguration | undefined
  readonly source: EntrySource
  /** Clock time in milliseconds. */
  readonly storedAt: number
}

interface StoreLimits { readonly maxTombstones?: number }

/**
 * Stores the newest version of every entry and the newest valid one, which is the active one.
 * An older version never replaces a newer one.
 */
export class ConfigurationStore implements Replica {
  /** Emits every entry that became active. */
  readonly changes: Stream<Entry>
  /** Emits every entry that was new to this node, including rejected ones. The relay forwards them to other nodes. */
  readonly newEntries: Stream<Entry>
  readonly digest: Digest
  readonly freshness: Freshness
  readonly declinedEntries = DeclinedEntries.create()
  private readonly emitChange: (entry: Entry) => void
  private readonly emitNewEntry: (entry: Entry) => void
  private readonly clock: Clock
  private readonly logger: Logger
  private readonly entries = new Map<string, StoredEntry>()
  private readonly tombstones: Tombstones
  /** The last active profile of each service, used while the profile that its configuration names does not exist. */
  private readonly lastGoodProfiles = new Map<string, Profile>()
  private readonly defaultProfile: Profile = profileSchema.parse({})
  private highestVersion = 0

  private constructor (clock: Clock, logger: Logger, digest: Digest, limits: StoreLimits) {
    [this.emitChange, this.changes] = createAdapter<Entry>();
    [this.emitNewEntry, this.newEntries] = createAdapter<Entry>()
    this.clock = clock
    this.logger = logger
    this.digest = digest
    this.freshness = Freshness.create({ clock })
    this.tombstones = Tombstones.create(limits.maxTombstones)
  }

  /** `digest` may be shared with other replicas. */
  static create ({ clock, logger, digest = Digest.create(), limits = {} }: { clock: Clock, logger: Logger, digest?: Digest, limits?: StoreLimits }): ConfigurationStore {
    return new ConfigurationStore(clock, logger, digest, limits)
  }

  owns (key: string): boolean {
    return key.startsWith('profile/') || key.startsWith('service/')
  }

  get (key: string): Entry | undefined {
    return this.entries.get(key)?.entry
  }

  /** Offers an entry. It becomes active only if it is valid and newer than the stored one. */
  accept (entry: Entry, source: EntrySource): AcceptResult {
    const stored = this.entries.get(entry.key)
    const problem = this.findEntryProblem(entry, stored)
    if (problem !== undefined) return this.reject(entry, source, [problem])
    if (stored === undefined && source === 'peer' && entry.version <= this.tombstones.highestEvictedVersion) return 'older'
    const order = compareEditions(stored?.entry, entry)
    if (order === 'conflict-won' || order === 'conflict-lost') this.recordConflict(entry, source)
    const parsed = order === 'same' || entry.text === undefined ? undefined : parseEntry(entry.key, entry.text)
    const lastGood = this.findLastGood(stored, entry, parsed)
    const isNewest = order === 'newer' || order === 'conflict-won'
    if (!isNewest && lastGood === stored?.lastGood) return this.declineEntry(order, entry, source)
    return this.put(isNewest ? entry : (stored as StoredEntry).entry, entry, lastGood, stored, source, parsed)
  }

  /** Returns the profile of a service. If that profile does not exist: the last good one of the service, or else the defaults. */
  getProfile (service: string): Profile {
    return this.resolveProfile(service) ?? this.lastGoodProfiles.get(service) ?? this.defaultProfile
  }

  /** The highest accepted version of any entry. */
  get version (): number {
    return this.highestVersion
  }

  hasService (service: string): boolean {
    return this.getServiceConfiguration(service) !== undefined
  }

  /** Services whose configuration names a profile that does not exist. */
  get unresolvedServices (): string[] {
    const names = [...this.entries].filter(([key]) => key.startsWith('service/')).map(([key]) => key.slice('service/'.length))
    return names.filter(name => this.hasService(name) && this.resolveProfile(name) === undefined)
  }

  dump (): Record<string, unknown> {
    const rows = [...this.entries].map(([key, { entry, lastGood, source, storedAt }]) =>
      ({ key, version: entry.version, inForce: lastGood?.version ?? null, removed: entry.text === undefined, source, ageMs: this.clock.now() - storedAt }))
    return {
      version: this.version,
      digest: this.digest.total.toString(16),
      ...this.freshness.dump(),
      unresolved: this.unresolvedServices.map(service => ({ service, profile: this.getServiceConfiguration(service)?.profile, uses: this.lastGoodProfiles.has(service) ? 'last good' : 'defaults' })),
      tombstones: this.tombstones.size,
      entries: rows,
      ...this.declinedEntries.dump()
    }
  }

  private findEntryProblem (entry: Entry, stored: StoredEntry | undefined): string | undefined {
    if (!this.owns(entry.key) || entry.key.length > 200) return 'The key must be profile/NAME or service/NAME.'
    if (!Number.isSafeInteger(entry.version) || entry.version < 0) return 'The version must be a non-negative integer.'
    const bytes = Math.max(byteLength(entry.text), byteLength(entry.good?.text))
    if (bytes > maxEntryTextBytes) return `The text has ${bytes} bytes; the maximum is ${maxEntryTextBytes}.`
    if (stored === undefined && this.entries.size >= maxEntries) return `The store already holds the maximum of ${maxEntries} entries.`
    return undefined
  }

  /** Returns the newest valid edition among the stored one, the offered text and the last good edition of the offered entry. */
  private findLastGood (stored: StoredEntry | undefined, entry: Entry, parsed: ParsedEntry): Edition | undefined {
    const offered = parsed?.kind === 'valid' && entry.text !== undefined ? { version: entry.version, text: entry.text } : undefined
    const best = selectNewestEdition(stored?.lastGood, offered)
    const newest = selectNewestEdition(best, entry.good)
    return newest === best || newest === undefined || parseEntry(entry.key, newest.text)?.kind !== 'valid' ? best : newest
  }

  /**
   * Stores `current` with its last good edition. `offered` is the received entry; it differs from `current` if only its
   * last good edition is newer.
   */
  private put (current: Entry, offered: Entry, lastGood: Edition | undefined, stored: StoredEntry | undefined, source: EntrySource, parsed: ParsedEntry): AcceptResult {
    const { key } = current
    const value = current.text === undefined && key.startsWith('service/') ? undefined : getParsedValue(key, lastGood, stored)
    const entry = createEntry(key, current, lastGood)
    const becameActive = lastGood !== stored?.lastGood || (current.text === undefined) !== (stored?.entry.text === undefined)
    this.recordLastGoodProfiles(key)
    this.entries.set(key, { entry, lastGood, value, source, storedAt: this.clock.now() })
    this.digest.set(entry)
    this.highestVersion = Math.max(this.highestVersion, current.version, lastGood?.version ?? 0)
    if (current.text === undefined) this.addTombstone(entry)
    else this.tombstones.delete(key)
    this.emitNewEntry(entry)
    if (becameActive) this.announceActivation(entry, source)
    if (parsed?.kind === 'invalid' && current === offered) return this.reject(offered, source, parsed.problems)
    if (current.version <= (lastGood?.version ?? current.version)) this.declinedEntries.clearRejected(key)
    return 'accepted'
  }

  /** Logs and emits an entry that became active, and warns about services whose profile does not exist. */
  private announceActivation (entry: Entry, source: EntrySource): void {
    this.logger.info('configuration-in-force', { key: entry.key, version: entry.version, source, removed: entry.text === undefined })
    this.emitChange(entry)
    for (const service of this.findAffectedServices(entry.key)) {
      if (this.resolveProfile(service) !== undefined) continue
      this.logger.warn('profile-missing', { service, profile: this.getServiceConfiguration(service)?.profile, uses: this.lastGoodProfiles.has(service) ? 'last-good' : 'defaults' })
    }
  }

  /** Saves the active profile of each service that a change of the entry `key` affects. Called before the change. */
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
    for (const [entryKey, { value }] of this.entries) {
      if (entryKey.startsWith('service/') && (value as ServiceConfiguration | undefined)?.profile === name) services.push(splitKey(entryKey)[1])
    }
    return services
  }

  /** Records the removal, and deletes the entries whose tombstones were evicted. */
  private addTombstone (entry: Entry): void {
    for (const key of this.tombstones.add(entry.key, entry.version)) {
      this.entries.delete(key)
      this.digest.delete(key)
    }
  }

  /** Counts an offered entry that changes nothing, and returns the result for it. */
  private declineEntry (order: string, entry: Entry, source: EntrySource): AcceptResult {
    if (order === 'same') return 'known'
    if (order === 'older') this.declinedEntries.countOlder(source)
    return order === 'older' ? 'older' : 'conflict'
  }

  private recordConflict (entry: Entry, source: EntrySource): void {
    if (this.declinedEntries.addConflict(entry.key, entry.version, source)) {
      this.logger.error('configuration-conflict', { key: entry.key, version: entry.version, source })
    }
  }

  private reject (entry: Entry, source: EntrySource, problems: ReadonlyArray<DocumentProblem | string>): 'rejected' {
    const described = problems.map(problem => typeof problem === 'string' ? { line: 1, column: 1, key: '', message: problem } : problem)
    if (this.declinedEntries.addRejected({ key: entry.key, version: entry.version, source, problems: described })) {
      this.logger.warn('configuration-rejected', { key: entry.key, version: entry.version, source, problem: described[0]?.message })
    }
    return 'rejected'
  }

  private getServiceConfiguration (service: string): ServiceConfiguration | undefined {
    return this.entries.get(`service/${service}`)?.value as ServiceConfiguration | undefined
  }

  private resolveProfile (service: string): Profile | undefined {
    const configuration = this.getServiceConfiguration(service)
    return configuration === undefined ? undefined : this.entries.get(`profile/${configuration.profile}`)?.value as Profile | undefined
  }
}

type ParsedEntry = ParsedDocument<Profile | ServiceConfiguration> | undefined

function parseEntry (key: string, text: string): ParsedEntry {
  return parseDocument(text, key.startsWith('profile/') ? profileSchema : serviceSchema)
}

/** Returns the parsed text of the last good edition. Reuses the stored value if the edition did not change. */
function getParsedValue (key: string, lastGood: Edition | undefined, stored: StoredEntry | undefined): Profile | ServiceConfiguration | undefined {
  if (lastGood === undefined) return undefined
  if (lastGood === stored?.lastGood && stored.value !== undefined) return stored.value
  const parsed = parseEntry(key, lastGood.text)
  return parsed?.kind === 'valid' ? parsed.value : undefined
}

function byteLength (text: string | undefined): number {
  return text === undefined ? 0 : Buffer.byteLength(text)
}

function splitKey (key: string): [string, string] {
  const slash = key.indexOf('/')
  return [key.slice(0, slash), key.slice(slash + 1)]
}
