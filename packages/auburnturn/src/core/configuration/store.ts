import { createAdapter } from '@most/adapter'
import type { Stream } from '@most/types'
import type { Clock } from '../clock/index.js'
import type { Logger } from '../logger/index.js'
import { parseDocument, profileSchema, serviceSchema } from '../settings/index.js'
import type { DocumentProblem, ParsedDocument, Profile, ServiceChoice } from '../settings/index.js'
import { maxEntries, maxTextBytes } from './constants.js'
import { Digest } from './digest.js'
import { compareEditions, describeEntry, newestEdition } from './edition.js'
import { Freshness } from './freshness.js'
import { Refusals } from './refusals.js'
import { Tombstones } from './tombstones.js'
import type { Acceptance, Edition, Entry, EntrySource, Replica } from './types.js'

interface Held {
  readonly entry: Entry
  readonly good: Edition | undefined
  readonly value: Profile | ServiceChoice | undefined
  readonly source: EntrySource
  readonly since: number
}

interface Bounds { readonly tombstones?: number }

/** Holds the newest accepted version of every entry; never puts an older one in force. */
export class Store implements Replica {
  /** Emits every entry that came into force. */
  readonly changes: Stream<Entry>
  /** Emits every entry that was new here, refused ones included; the relay passes these on. */
  readonly updates: Stream<Entry>
  readonly digest: Digest
  readonly freshness: Freshness
  readonly refusals = Refusals.create()
  private readonly emitChange: (entry: Entry) => void
  private readonly emitUpdate: (entry: Entry) => void
  private readonly clock: Clock
  private readonly logger: Logger
  private readonly held = new Map<string, Held>()
  private readonly tombstones: Tombstones
  /** The profile that was last in force for a service, for when its choice can't be resolved. */
  private readonly lastProfiles = new Map<string, Profile>()
  private readonly fallback: Profile = profileSchema.parse({})
  private highest = 0

  private constructor (clock: Clock, logger: Logger, digest: Digest, bounds: Bounds) {
    [this.emitChange, this.changes] = createAdapter<Entry>();
    [this.emitUpdate, this.updates] = createAdapter<Entry>()
    this.clock = clock
    this.logger = logger
    this.digest = digest
    this.freshness = Freshness.create({ clock })
    this.tombstones = Tombstones.create(bounds.tombstones)
  }

  /** `digest` may be shared with other replicas. */
  static create ({ clock, logger, digest = Digest.create(), bounds = {} }: { clock: Clock, logger: Logger, digest?: Digest, bounds?: Bounds }): Store {
    return new Store(clock, logger, digest, bounds)
  }

  owns (key: string): boolean {
    return key.startsWith('profile/') || key.startsWith('service/')
  }

  get (key: string): Entry | undefined {
    return this.held.get(key)?.entry
  }

  /** Offers an entry; it comes into force only when it is valid and newer than the one held. */
  accept (entry: Entry, source: EntrySource): Acceptance {
    const before = this.held.get(entry.key)
    const problem = this.findMisfit(entry, before)
    if (problem !== undefined) return this.refuse(entry, source, [problem])
    if (before === undefined && source === 'peer' && entry.version <= this.tombstones.floor) return 'older'
    const order = compareEditions(before?.entry, entry)
    if (order === 'conflict-won' || order === 'conflict-lost') this.noteConflict(entry, source)
    const parsed = order === 'same' || entry.text === undefined ? undefined : parse(entry.key, entry.text)
    const good = this.findGood(before, entry, parsed)
    const won = order === 'newer' || order === 'conflict-won'
    if (!won && good === before?.good) return this.turnDown(order, entry, source)
    return this.put(won ? entry : (before as Held).entry, entry, good, before, source, parsed)
  }

  /** The profile that `service` picks; the last good one while that can't be resolved; else the defaults. */
  profileOf (service: string): Profile {
    return this.resolve(service) ?? this.lastProfiles.get(service) ?? this.fallback
  }

  /** Highest version accepted. */
  get version (): number {
    return this.highest
  }

  hasService (service: string): boolean {
    return this.choiceOf(service) !== undefined
  }

  /** Services whose choice names no known profile. */
  get unresolved (): string[] {
    const names = [...this.held].filter(([key]) => key.startsWith('service/')).map(([key]) => key.slice('service/'.length))
    return names.filter(name => this.hasService(name) && this.resolve(name) === undefined)
  }

  dump (): Record<string, unknown> {
    const rows = [...this.held].map(([key, { entry, good, source, since }]) =>
      ({ key, version: entry.version, inForce: good?.version ?? null, removed: entry.text === undefined, source, ageMs: this.clock.now() - since }))
    return {
      version: this.version,
      digest: this.digest.total.toString(16),
      ...this.freshness.dump(),
      unresolved: this.unresolved.map(service => ({ service, profile: this.choiceOf(service)?.profile, uses: this.lastProfiles.has(service) ? 'last good' : 'defaults' })),
      tombstones: this.tombstones.size,
      entries: rows,
      ...this.refusals.dump()
    }
  }

  private findMisfit (entry: Entry, before: Held | undefined): string | undefined {
    if (!this.owns(entry.key) || entry.key.length > 200) return 'The key is not profile/NAME or service/NAME.'
    if (!Number.isSafeInteger(entry.version) || entry.version < 0) return 'The version is not a whole number.'
    const bytes = Math.max(byteLength(entry.text), byteLength(entry.good?.text))
    if (bytes > maxTextBytes) return `The text has ${bytes} bytes; ${maxTextBytes} are allowed.`
    if (before === undefined && this.held.size >= maxEntries) return `More than ${maxEntries} entries.`
    return undefined
  }

  private findGood (before: Held | undefined, entry: Entry, parsed: Parsed): Edition | undefined {
    const own = parsed?.kind === 'valid' && entry.text !== undefined ? { version: entry.version, text: entry.text } : undefined
    const best = newestEdition(before?.good, own)
    const newest = newestEdition(best, entry.good)
    return newest === best || newest === undefined || parse(entry.key, newest.text)?.kind !== 'valid' ? best : newest
  }

  private put (current: Entry, offered: Entry, good: Edition | undefined, before: Held | undefined, source: EntrySource, parsed: Parsed): Acceptance {
    const { key } = current
    const value = current.text === undefined && key.startsWith('service/') ? undefined : valueOf(key, good, before)
    const entry = describeEntry(key, current, good)
    const inForce = good !== before?.good || (current.text === undefined) !== (before?.entry.text === undefined)
    this.rememberProfiles(key)
    this.held.set(key, { entry, good, value, source, since: this.clock.now() })
    this.digest.set(entry)
    this.highest = Math.max(this.highest, current.version, good?.version ?? 0)
    if (current.text === undefined) this.bury(entry)
    else this.tombstones.delete(key)
    this.emitUpdate(entry)
    if (inForce) this.announce(entry, source)
    if (parsed?.kind === 'invalid' && current === offered) return this.refuse(offered, source, parsed.problems)
    if (current.version <= (good?.version ?? current.version)) this.refusals.clear(key)
    return 'accepted'
  }

  private announce (entry: Entry, source: EntrySource): void {
    this.logger.info('configuration-in-force', { key: entry.key, version: entry.version, source, removed: entry.text === undefined })
    this.emitChange(entry)
    for (const service of this.affectedBy(entry.key)) {
      if (this.resolve(service) !== undefined) continue
      this.logger.warn('profile-missing', { service, profile: this.choiceOf(service)?.profile, uses: this.lastProfiles.has(service) ? 'last-good' : 'defaults' })
    }
  }

  /** Keeps the profile of each service that the coming change touches. */
  private rememberProfiles (key: string): void {
    for (const service of this.affectedBy(key)) {
      const profile = this.resolve(service)
      if (profile !== undefined) this.lastProfiles.set(service, profile)
    }
  }

  private affectedBy (key: string): string[] {
    const [kind, name] = splitKey(key)
    if (kind === 'service') return this.hasService(name) ? [name] : []
    const services: string[] = []
    for (const [other, { value }] of this.held) {
      if (other.startsWith('service/') && (value as ServiceChoice | undefined)?.profile === name) services.push(splitKey(other)[1])
    }
    return services
  }

  private bury (entry: Entry): void {
    for (const key of this.tombstones.add(entry.key, entry.version)) {
      this.held.delete(key)
      this.digest.delete(key)
    }
  }

  private turnDown (order: string, entry: Entry, source: EntrySource): Acceptance {
    if (order === 'same') return 'known'
    if (order === 'older') this.refusals.countOlder(source)
    return order === 'older' ? 'older' : 'conflict'
  }

  private noteConflict (entry: Entry, source: EntrySource): void {
    if (this.refusals.addConflict(entry.key, entry.version, source)) {
      this.logger.error('configuration-conflict', { key: entry.key, version: entry.version, source })
    }
  }

  private refuse (entry: Entry, source: EntrySource, problems: ReadonlyArray<DocumentProblem | string>): 'rejected' {
    const described = problems.map(problem => typeof problem === 'string' ? { line: 1, column: 1, key: '', message: problem } : problem)
    if (this.refusals.add({ key: entry.key, version: entry.version, source, problems: described })) {
      this.logger.warn('configuration-rejected', { key: entry.key, version: entry.version, source, problem: described[0]?.message })
    }
    return 'rejected'
  }

  private choiceOf (service: string): ServiceChoice | undefined {
    return this.held.get(`service/${service}`)?.value as ServiceChoice | undefined
  }

  private resolve (service: string): Profile | undefined {
    const choice = this.choiceOf(service)
    return choice === undefined ? undefined : this.held.get(`profile/${choice.profile}`)?.value as Profile | undefined
  }
}

type Parsed = ParsedDocument<Profile | ServiceChoice> | undefined

function parse (key: string, text: string): Parsed {
  return parseDocument(text, key.startsWith('profile/') ? profileSchema : serviceSchema)
}

function valueOf (key: string, good: Edition | undefined, before: Held | undefined): Profile | ServiceChoice | undefined {
  if (good === undefined) return undefined
  if (good === before?.good && before.value !== undefined) return before.value
  const parsed = parse(key, good.text)
  return parsed?.kind === 'valid' ? parsed.value : undefined
}

function byteLength (text: string | undefined): number {
  return text === undefined ? 0 : Buffer.byteLength(text)
}

function splitKey (key: string): [string, string] {
  const slash = key.indexOf('/')
  return [key.slice(0, slash), key.slice(slash + 1)]
}
