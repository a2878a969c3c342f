import { createServer } from 'node:http'
import type { Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Entry, Member, MemberList } from 'auburnturn'

interface Watch { readonly answer: () => void }

/** Runs `action` after a while; the result cancels it. */
type After = (milliseconds: number, action: () => void) => () => void

const afterRealTime: After = (milliseconds, action) => {
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
  private frozen: ReadonlyMap<string, Entry> | undefined
  private frozenRevision = 0
  private readonly history: Entry[] = []
  private readonly server: Server
  private readonly entries = new Map<string, Entry>()
  private readonly watches = new Set<Watch>()
  private revision = 0
  private readonly lists = new Map<string, MemberList>()
  private membersRevision = 0

  private readonly after: After

  private constructor (after: After) {
    this.after = after
    this.server = createServer((request, response) => {
      const url = new URL(request.url ?? '/', 'http://platform')
      this.reads++
      if (this.down) response.destroy()
      else if (this.delayMs > 0) this.after(this.delayMs, () => { this.route(url, response) })
      else this.route(url, response)
    })
  }

  /** `after` measures how long watches are held; real time unless given. */
  static async create (port = 0, after = afterRealTime): Promise<PlatformService> {
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
    this.wake()
  }

  /** Answers from what is published now until `thaw`. */
  freeze (): void {
    this.frozen = new Map(this.entries)
    this.frozenRevision = this.revision
  }

  thaw (): void {
    this.frozen = undefined
    this.wake()
  }

  /** Loses everything published after `revision`, as a service restored from a copy does. */
  rollBack (revision: number): void {
    this.revision = revision
    const kept = this.history.filter(entry => entry.version <= revision)
    this.history.splice(0, this.history.length, ...kept)
    this.entries.clear()
    for (const entry of kept) this.entries.set(entry.key, entry)
    this.wake()
  }

  /** Cuts every request that waits, and those to come while `down` is set. */
  goDown (): void {
    this.down = true
    this.server.closeAllConnections()
  }

  /** Replaces the lists of all services; only lists that differ get a new version. */
  setMembers (members: readonly Member[]): void {
    this.membersRevision++
    const services = new Set([...this.lists.keys(), ...members.map(member => member.service)])
    for (const service of services) this.setList(service, members.filter(member => member.service === service))
    this.wake()
  }

  async close (): Promise<void> {
    this.wake()
    await new Promise<void>(resolve => {
      this.server.close(() => { resolve() })
      this.server.closeAllConnections()
    })
  }

  private route (url: URL, response: ServerResponse): void {
    const after = Number(url.searchParams.get('after') ?? 0)
    const waitMs = Number(url.searchParams.get('waitMs') ?? 0)
    if (url.pathname === '/v1/configuration') {
      return this.answerWhen(response, waitMs, () => this.shownRevision > after, () => this.readConfiguration(after))
    }
    if (url.pathname === '/v1/members') {
      return this.answerWhen(response, waitMs, () => this.membersRevision > after, () => this.readMembers(after))
    }
    response.writeHead(404).end()
  }

  private get shownRevision (): number {
    return this.frozen === undefined ? this.revision : this.frozenRevision
  }

  private readConfiguration (after: number): unknown {
    const entries = [...(this.frozen ?? this.entries).values()].filter(entry => entry.version > after)
    return { revision: this.shownRevision, entries: entries.map(entry => ({ ...entry, text: entry.text ?? null })) }
  }

  private readMembers (after: number): unknown {
    return { revision: this.membersRevision, lists: [...this.lists.values()].filter(list => list.version > after) }
  }

  private setList (service: string, members: readonly Member[]): void {
    const known = this.lists.get(service)
    if (known !== undefined && JSON.stringify(known.members) === JSON.stringify(members)) return
    this.lists.set(service, { service, version: this.membersRevision, members })
  }

  private answerWhen (response: ServerResponse, waitMs: number, ready: () => boolean, read: () => unknown): void {
    const answer = (): void => {
      cancel()
      this.watches.delete(watch)
      if (response.destroyed) return
      response.writeHead(200, { 'content-type': 'application/json' })
      response.end(JSON.stringify(read()))
    }
    const watch: Watch = { answer }
    const cancel = this.after(waitMs, answer)
    response.on('close', () => {
      cancel()
      this.watches.delete(watch)
    })
    if (ready() || waitMs === 0) answer()
    else this.watches.add(watch)
  }

  private wake (): void {
    for (const watch of [...this.watches]) watch.answer()
  }
}
