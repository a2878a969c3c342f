import { createServer } from 'node:http'
import type { Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Entry, Member, MemberList } from 'auburnturn'
import type { FaultSettings } from './fault-settings.js'

/** A long-poll request that waits for a change or its timeout. */
interface PendingWatch { readonly respond: () => void }

/** Runs `action` after a delay in milliseconds; the returned function cancels it. */
type Schedule = (milliseconds: number, action: () => void) => () => void

const scheduleInRealTime: Schedule = (milliseconds, action) => {
  const timer = setTimeout(action, milliseconds)
  return () => { clearTimeout(timer) }
}

/** In-memory implementation of the platform's service that nodes read and watch. */
export class PlatformService {
  /** Number of requests received since the start. */
  reads = 0
  /** While true, the connection of every new request is destroyed without a response. */
  down = false
  /** Delay before every response, in milliseconds. */
  delayMs = 0
  /** Changes the text of each answer, by the path of its request; unchanged by default. */
  changeAnswer: (path: string, text: string) => string = (_path, text) => text
  /** While set, reads return these entries and hide later publications, as a service that lags does. */
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

  private constructor (schedule: Schedule) {
    this.schedule = schedule
    this.server = createServer((request, response) => {
      const url = new URL(request.url ?? '/', 'http://platform')
      this.reads++
      if (this.down) response.destroy()
      else if (this.delayMs > 0) this.schedule(this.delayMs, () => { this.route(url, response) })
      else this.route(url, response)
    })
  }

  /** Listens on `port`, or on a free one; `schedule` runs delays and the timeouts of watches, in real time unless given. */
  static async create (port = 0, schedule = scheduleInRealTime): Promise<PlatformService> {
    const service = new PlatformService(schedule)
    await new Promise<void>(resolve => { service.server.listen(port, '127.0.0.1', resolve) })
    return service
  }

  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  /** Publishes one configuration entry under a new version; an undefined `text` removes it. */
  publish (key: string, text: string | undefined): void {
    this.revision++
    const entry = { key, version: this.revision, text }
    this.history.push(entry)
    this.entries.set(key, entry)
    this.answerWatches()
  }

  /** Returns the current configuration to all reads until `unfreezeConfiguration`. */
  freezeConfiguration (): void {
    this.frozenEntries = new Map(this.entries)
    this.frozenRevision = this.revision
  }

  unfreezeConfiguration (): void {
    this.frozenEntries = undefined
    this.answerWatches()
  }

  /** Discards everything published after `revision`, as a service restored from a backup does. */
  rollBack (revision: number): void {
    this.revision = revision
    const remaining = this.history.filter(entry => entry.version <= revision)
    this.history.splice(0, this.history.length, ...remaining)
    this.entries.clear()
    for (const entry of remaining) this.entries.set(entry.key, entry)
    this.answerWatches()
  }

  /** Sets the faults; `failing` has the same effect as `down`, since the platform defines no error response. */
  setFaults ({ latencyMs, failing, down }: FaultSettings): void {
    this.delayMs = latencyMs
    if (failing || down) this.startOutage()
    else this.down = false
  }

  /** Destroys all connections, and those of new requests until `down` is cleared. */
  startOutage (): void {
    this.down = true
    this.server.closeAllConnections()
  }

  /** Replaces the member lists of all services; only lists that differ get a new version. */
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
      return this.respondWhen(url.pathname, response, waitMs, () => this.visibleRevision > after, () => this.readConfiguration(after))
    }
    if (url.pathname === '/v1/members') {
      return this.respondWhen(url.pathname, response, waitMs, () => this.membersRevision > after, () => this.readMembers(after))
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

  /** Responds with `read()` when `ready()` holds or after `waitMs`, whichever comes first. */
  private respondWhen (path: string, response: ServerResponse, waitMs: number, ready: () => boolean, read: () => unknown): void {
    const respond = (): void => {
      cancel()
      this.watches.delete(watch)
      if (response.destroyed) return
      response.writeHead(200, { 'content-type': 'application/json' })
      response.end(this.changeAnswer(path, JSON.stringify(read())))
    }
    const watch: PendingWatch = { respond }
    const cancel = this.schedule(waitMs, respond)
    response.on('close', () => {
      cancel()
      this.watches.delete(watch)
    })
    if (ready() || waitMs === 0) respond()
    else this.watches.add(watch)
  }

  private answerWatches (): void {
    for (const watch of [...this.watches]) watch.respond()
  }
}
