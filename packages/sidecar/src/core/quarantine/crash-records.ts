import { crc32 } from 'node:zlib'
import type { Clock } from 'auburnturn/core/clock'
import { crashRetentionMs, maxCrashRecords } from './constants.js'
import type { CrashRecord, Suspect } from './types.js'

/** One crash under a request. */
export interface CrashOfRequest {
  readonly crash: CrashRecord
  readonly suspect: Suspect
}

/** The crashes that this node knows. Records of several nodes merge in any order and any number of times to the same result. */
export class CrashRecords {
  private readonly clock: Clock
  /** By the id of the incarnation and the number of its crash. */
  private readonly records = new Map<string, CrashRecord>()
  /** The crashes under each request that was not cleared of them, the oldest first; undefined after a change. */
  private index: Map<string, CrashOfRequest[]> | undefined

  private constructor (clock: Clock) {
    this.clock = clock
  }

  static create ({ clock }: { readonly clock: Clock }): CrashRecords {
    return new CrashRecords(clock)
  }

  get size (): number {
    return this.records.size
  }

  /** When the last crash happened, in clock milliseconds; -Infinity without one. */
  get lastAt (): number {
    return Math.max(...[...this.records.values()].map(({ at }) => at))
  }

  /** Returns all crashes, the oldest first. */
  list (): CrashRecord[] {
    this.discardExpired()
    return [...this.records.values()].sort((a, b) => a.at - b.at)
  }

  /** Returns the crashes under a request, the oldest first and without those that it was cleared of. */
  find (fingerprint: string): CrashOfRequest[] {
    this.discardExpired()
    this.index ??= createIndex(this.list())
    return this.index.get(fingerprint) ?? []
  }

  /** Number of known crashes of targets with this id. */
  countCrashes (target: string): number {
    return this.list().filter(crash => crash.target === target).length
  }

  /** Adds a crash, or what another node knows of it; returns the record if that changes it. */
  merge (crash: CrashRecord): CrashRecord | undefined {
    const known = this.records.get(formatKey(crash))
    const merged = known === undefined ? crash : { ...known, suspects: mergeSuspects(known.suspects, crash.suspects) }
    if (known !== undefined && describeRecord(known) === describeRecord(merged)) return undefined
    this.records.set(formatKey(crash), merged)
    this.index = undefined
    this.discardOldest()
    return merged
  }

  /** Clears a request of all crashes; returns the records that this changes. */
  clear (fingerprint: string): CrashRecord[] {
    return this.find(fingerprint).flatMap(({ crash }) => this.merge({ ...crash, suspects: [{ fingerprint, alone: false, cleared: true }] }) ?? [])
  }

  /** A checksum that is equal at nodes that know the same. */
  computeChecksum (): number {
    return crc32(this.list().map(describeRecord).sort().join('\n'))
  }

  private discardExpired (): void {
    const now = this.clock.now()
    for (const crash of this.records.values()) if (now - crash.at > crashRetentionMs) this.delete(crash)
  }

  /** Discards the oldest crashes above the maximum. */
  private discardOldest (): void {
    for (const crash of this.list().slice(0, -maxCrashRecords)) this.delete(crash)
  }

  private delete (crash: CrashRecord): void {
    this.records.delete(formatKey(crash))
    this.index = undefined
  }
}

function formatKey ({ target, number }: Pick<CrashRecord, 'target' | 'number'>): string {
  return `${target} ${number}`
}

function createIndex (crashes: readonly CrashRecord[]): Map<string, CrashOfRequest[]> {
  const index = new Map<string, CrashOfRequest[]>()
  for (const crash of crashes) {
    for (const suspect of crash.suspects) {
      if (!suspect.cleared) index.set(suspect.fingerprint, [...index.get(suspect.fingerprint) ?? [], { crash, suspect }])
    }
  }
  return index
}

function mergeSuspects (known: readonly Suspect[], added: readonly Suspect[]): Suspect[] {
  const merged = new Map(known.map(suspect => [suspect.fingerprint, suspect]))
  for (const suspect of added) {
    const { alone = false, cleared = false } = merged.get(suspect.fingerprint) ?? {}
    merged.set(suspect.fingerprint, { fingerprint: suspect.fingerprint, alone: alone || suspect.alone, cleared: cleared || suspect.cleared })
  }
  return [...merged.values()]
}

/** Returns a text that is equal for equal knowledge of a crash, whatever the order of its suspects. */
function describeRecord ({ suspects, ...crash }: CrashRecord): string {
  return [formatKey(crash), ...suspects.map(({ fingerprint, alone, cleared }) => `${fingerprint} ${String(alone)} ${String(cleared)}`).sort()].join()
}
