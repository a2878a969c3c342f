import { createServer } from 'node:http'
import type { Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Entry, Member, MemberList } from 'auburnturn'
import type { FaultSettings } from './fault-settings.js'

interface PendingWatch { readonly respond: () => void }

/** Runs `action` after a while; the result cancels it. */
type Schedule = (milliseconds: number, action: () => void) => () => void

const scheduleInRealTime: Schedule = (milliseconds, action) => {
  const timer = setTimeout(action, milliseconds)
  return () => { clearTimeout(timer) }
}

/** The platform's read-and-watch service, held in memory. */
export class PlatformService {
  /** Requests answered or waiting since the start. */
  reads = 0
  /** Every request is cut off while set. */
  down = false
  /** Pause before every answer, in milliseconds. */
  delayMs = 0
  /** New publications stay hidden while set, as from a service that lags. */
  private frozenEntries: ReadonlyMap<string, Entry> | undefined
  private frozenRevision = 0
  private readonly history: Entry[] = []
  private readonly server: Server
  private readonly entries = new Map<string, Entry>()
  private readonly watches = new Set<PendingWatch>()
  private revision = 0
  private readonly lists = new Map<string, MemberList>()
  private membersRevision = 0

  private readonly schedule: Schedule

  private constructor (after: Schedule) {
    this.schedule = after
    this.server = createServer((request, response) => {
      const url = new URL(request.url ?? '/', 'http://platform')
      this.reads++
      if (this.down) response.destroy()
      else if (this.delayMs > 0) this.schedule(this.delayMs, () => { this.route(url, response) })
      else this.route(url, response)
    })
  }

  /** `after` measures how long watches are held; real time unless given. */
  static async create (port = 0, after = scheduleInRealTime): Promise<PlatformService> {
    const service = new PlatformService(after)
    await new Promise<void>(resolve => { service.server.listen(port, '127.0.0.1', resolve) })
    return service
  }

  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  /** Publishes one configuration entry; undefined removes it. */
  publish (key: string, text: string | undefined): void {
    this.revision++
    const entry = { key, version: this.revision, text }
    this.history.push(entry)
    this.entries.set(key, entry)
    this.answerWatches()
  }

  /** Answers from what is published now until `thaw`. */
  freezeConfiguration (): void {
    this.frozenEntries = new Map(this.entries)
    this.frozenRevision = this.revision
  }

  unfreezeConfiguration (): void {
    this.frozenEntries = undefined
    this.answerWatches()
  }

  /** Loses everything published after `revision`, as a service restored from a copy does. */
  rollBack (revision: number): void {
    this.revision = revision
    const kept = this.history.filter(entry => entry.version <= revision)
    this.history.splice(0, this.history.length, ...kept)
    this.entries.clear()
    for (const entry of kept) this.entries.set(entry.key, entry)
    this.answerWatches()
  }

  /** A platform that fails is as one that is down: it has no answer of its own to give. */
  setFaults ({ latencyMs, failing, down }: FaultSettings): void {
    this.delayMs = latencyMs
    if (failing || down) this.startOutage()
    else this.down = false
  }

  /** Cuts every request that waits, and those to come while `down` is set. */
  startOutage (): void {
    this.down = true
    this.server.closeAllConnections()
  }

  /** Replaces the lists of all services; only lists that differ get a new version. */
  setMembers (members: readonly Member[]): void {
    this.membersRevision++
    const services = new Set([...this.lists.keys(), ...members.map(member => member.service)])
    for (const service of services) this.setList(service, members.filter(member => member.service === service))
    this.answerWatches()
  }

  async close (): Promise<void> {
    this.answerWatches()
    await new Promise<void>(resolve => {
      this.server.close(() => { resolve() })
      this.server.closeAllConnections()
    })
  }

  private route (url: URL, response: ServerResponse): void {
    const after = Number(url.searchParams.get('after') ?? 0)
    const waitMs = Number(url.searchParams.get('waitMs') ?? 0)
    if (url.pathname === '/v1/configuration') {
      return this.respondWhen(response, waitMs, () => this.visibleRevision > after, () => this.readConfiguration(after))
    }
    if (url.pathname === '/v1/members') {
      return this.respondWhen(response, waitMs, () => this.membersRevision > after, () => this.readMembers(after))
    }
    response.writeHead(404).end()
  }

  private get visibleRevision (): number {
    return this.frozenEntries === undefined ? this.revision : this.frozenRevision
  }

  private readConfiguration (after: number): unknown {
    const entries = [...(this.frozenEntries ?? this.entries).values()].filter(entry => entry.version > after)
    return { revision: this.visibleRevision, entries: entries.map(entry => ({ ...entry, text: entry.text ?? null })) }
  }

  private readMembers (after: number): unknown {
    return { revision: this.membersRevision, lists: [...this.lists.values()].filter(list => list.version > after) }
  }

  private setList (service: string, members: readonly Member[]): void {
    const existing = this.lists.get(service)
    if (existing !== undefined && JSON.stringify(existing.members) === JSON.stringify(members)) return
    this.lists.set(service, { service, version: this.membersRevision, members })
  }

  private respondWhen (response: ServerResponse, waitMs: number, ready: () => boolean, read: () => unknown): void {
    const answer = (): void => {
      cancel()
      this.watches.delete(watch)
      if (response.destroyed) return
      response.writeHead(200, { 'content-type': 'application/json' })
      response.end(JSON.stringify(read()))
    }
    const watch: PendingWatch = { respond: answer }
    const cancel = this.schedule(waitMs, answer)
    response.on('close', () => {
      cancel()
      this.watches.delete(watch)
    })
    if (ready() || waitMs === 0) answer()
    else this.watches.add(watch)
  }

  private answerWatches (): void {
    for (const watch of [...this.watches]) watch.respond()
  }
}
