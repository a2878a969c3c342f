import { randomBytes } from 'node:crypto'
import type { Outcome, RawHeaders } from '../call/types.js'
import { Cancellation, Clock, subscribe } from '../clock/index.js'
import { ConfigurationStore } from '../configuration/index.js'
import { Logger } from '../logger/index.js'
import { Directory } from '../membership/index.js'
import { createCallIds } from '../node/call-ids.js'
import { Peers } from '../node/peers.js'
import { Notices } from '../notices/index.js'
import { PlatformClient } from '../platform/index.js'
import { watchTimeoutMs } from '../platform/constants.js'
import { Random } from '../random/index.js'
import { Router } from '../router/index.js'
import { Supervisor } from '../supervisor/index.js'
import type { Part } from '../supervisor/index.js'
import { CollectedAnswer } from './collected-answer.js'
import { defaultConnections, headerBytes } from './constants.js'
import { createCall } from './create-call.js'
import { follow } from './follow.js'
import { HeldBody } from './held-body.js'
import type { CallResult, ClientOptions, ClientRequest } from './types.js'

/**
 * The router, embedded by a service that calls others. Its calls go straight to the admission of their target.
 *
 * Each client holds two watches at the platform, which counts them. Where thousands of processes call, let them speak
 * to the node on their own VM instead, or share one client in each process.
 *
 * @example
 * const client = await Client.create({ platform: [{ ip: '10.0.0.5', port: 8500 }], caller: 'shop' })
 * const result = await client.call({ service: 'orders', path: '/orders', method: 'POST', body: '{"glow sticks":500}' })
 * if (result.verdict === 'done') console.log(result.status)
 * await client.close()
 */
export class Client {
  readonly store: ConfigurationStore
  readonly directory: Directory
  private readonly clock: Clock
  private readonly logger: Logger
  private readonly caller: string
  private readonly platform: PlatformClient
  private readonly peers: Peers
  private readonly router: Router
  private readonly supervisor: Supervisor
  private readonly nextId = createCallIds(randomBytes(8).toString('hex'))

  private constructor (options: ClientOptions) {
    const clock = options.clock ?? Clock.create()
    const logger = (options.logger ?? Logger.create('warn')).createChild('client')
    const random = options.random ?? Random.create(randomBytes(4).readInt32LE())
    this.clock = clock
    this.logger = logger
    this.caller = options.caller
    this.store = ConfigurationStore.create({ clock, logger })
    this.directory = Directory.create({ clock, logger, notices: Notices.create({ clock }), maxRemovalShareOf: service => this.store.getProfile(service).membership.floor })
    this.platform = PlatformClient.create(options.platform.map(({ ip, port }) => `http://${ip.includes(':') ? `[${ip}]` : ip}:${port}`))
    this.peers = Peers.create({ clock, directory: this.directory, connections: options.connections ?? defaultConnections, headerBytes })
    this.router = Router.create({ clock, random, directory: this.directory, remote: this.peers.attempt })
    this.supervisor = Supervisor.create({ clock, logger })
  }

  /** Resolves when configuration and members were read once; rejects with a `platform-unreachable` fault. */
  static async create (options: ClientOptions): Promise<Client> {
    const client = new Client(options)
    await client.start()
    return client
  }

  /** Sends one request and collects its whole answer. Never rejects. */
  async call (request: ClientRequest): Promise<CallResult> {
    const gone = Cancellation.create()
    const leave = (): void => { gone.abort() }
    request.signal?.addEventListener('abort', leave, { once: true })
    if (request.signal?.aborted === true) leave()
    const call = createCall(request, { id: this.nextId(), caller: this.caller, now: this.clock.now(), profile: this.store.getProfile(request.service), signal: gone })
    if (call === undefined) return { verdict: 'not-run', cause: 'bad-request' }
    if (gone.aborted) return { verdict: 'not-run', cause: 'caller-gone' }
    const answer = CollectedAnswer.create(leave)
    try {
      return describeResult(await this.router.run(call, HeldBody.create(request.body), answer), answer)
    } catch (error) {
      this.logger.error('call-failed', { error: String(error) })
      return { verdict: 'may-have-run', cause: 'connection-lost' }
    } finally {
      request.signal?.removeEventListener('abort', leave)
    }
  }

  /** What the client knows, as JSON. */
  dump (): Record<string, unknown> {
    return { configuration: this.store.dump(), membership: this.directory.dump(), router: this.router.dump(), parts: this.supervisor.dump() }
  }

  /** Ends the watches and the connections; calls in flight are cut, so end them first. */
  async close (): Promise<void> {
    await this.supervisor.close()
  }

  private async start (): Promise<void> {
    const { clock, logger, platform, supervisor } = this
    await supervisor.add('membership', async () => this.directory)
    await supervisor.add('platform', async () => platform)
    await supervisor.add('peers', async () => this.peers)
    await supervisor.add('memberChanges', async () => this.followMemberChanges())
    await supervisor.add('configuration', async () => {
      const read = this.createConfigurationRead()
      await read(0)
      return follow('configuration', async signal => { await read(watchTimeoutMs, signal) }, { clock, logger })
    })
    await supervisor.add('members', async () => {
      const read = this.createMembersRead()
      await read(0)
      return follow('members', async signal => { await read(watchTimeoutMs, signal) }, { clock, logger })
    })
  }

  private followMemberChanges (): Part {
    const stop = subscribe(this.clock, this.directory.changes,
      service => { this.router.refresh(service) },
      error => { this.logger.error('member-change-failed', { error: String(error) }) })
    return { close: async () => { stop() } }
  }

  private createConfigurationRead (): (waitMs: number, signal?: AbortSignal) => Promise<void> {
    let revision = 0
    return async (waitMs, signal) => {
      const page = await this.platform.readConfiguration(revision, waitMs, signal)
      for (const entry of page.entries) this.store.accept(entry, 'platform')
      revision = page.revision
    }
  }

  private createMembersRead (): (waitMs: number, signal?: AbortSignal) => Promise<void> {
    let revision = 0
    return async (waitMs, signal) => {
      const page = await this.platform.readMembers(revision, waitMs, signal)
      for (const list of page.lists) this.directory.accept(list)
      revision = page.revision
    }
  }
}

function describeResult ({ verdict }: Outcome, answer: CollectedAnswer): CallResult {
  if (verdict.kind === 'not-run') return { verdict: verdict.kind, cause: verdict.cause }
  if (verdict.kind === 'may-have-run') return { verdict: verdict.kind, cause: verdict.cause }
  if (!answer.whole) return { verdict: 'may-have-run', cause: 'answer-cut' }
  return { verdict: 'done', status: answer.status, headers: toRecord(answer.headers), body: answer.body }
}

/** Lower-case names; values of a name that stands more than once are joined. */
function toRecord (headers: RawHeaders): Record<string, string> {
  const record = new Map<string, string>()
  for (let index = 0; index < headers.length; index += 2) {
    const name = (headers[index] as string).toLowerCase()
    const value = headers[index + 1] as string
    const before = record.get(name)
    record.set(name, before === undefined ? value : `${before}, ${value}`)
  }
  return Object.fromEntries(record)
}
