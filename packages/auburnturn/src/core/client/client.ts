import { randomBytes } from 'node:crypto'
import type { Outcome, RawHeaders } from '../call/types.js'
import { Cancellation, Clock, subscribe } from '../clock/index.js'
import { ConfigurationStore } from '../configuration/index.js'
import { Logger } from '../logger/index.js'
import { Directory } from '../membership/index.js'
import { createCallIdGenerator } from '../node/call-id-generator.js'
import { PeerConnections } from '../node/peer-connections.js'
import { Notices } from '../notices/index.js'
import { watchTimeoutMs } from '../platform/constants.js'
import { PlatformClient } from '../platform/index.js'
import { Random } from '../random/index.js'
import { Router } from '../router/index.js'
import { Supervisor } from '../supervisor/index.js'
import type { Part } from '../supervisor/index.js'
import { BufferedAnswer } from './buffered-answer.js'
import { BufferedBody } from './buffered-body.js'
import { defaultConnectionsPerTarget, maxHeaderBytes } from './constants.js'
import { createCall } from './create-call.js'
import { readContinuously } from './read-continuously.js'
import type { CallResult, ClientOptions, ClientRequest } from './types.js'

/**
 * The router, embedded in a service that calls other services. Calls go directly to the node of their target, which admits
 * them.
 *
 * Each client keeps two watches open at the platform, which counts them. If thousands of processes send calls, let them
 * connect to the node on their VM instead, or share one client in each process.
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
  private readonly peers: PeerConnections
  private readonly router: Router
  private readonly supervisor: Supervisor
  private readonly nextCallId = createCallIdGenerator(randomBytes(8).toString('hex'))

  private constructor (options: ClientOptions) {
    const clock = options.clock ?? Clock.create()
    const logger = (options.logger ?? Logger.create('warn')).createChild('client')
    const random = options.random ?? Random.create(randomBytes(4).readInt32LE())
    this.clock = clock
    this.logger = logger
    this.caller = options.caller
    this.store = ConfigurationStore.create({ clock, logger })
    this.directory = Directory.create({ clock, logger, notices: Notices.create({ clock }), getMaxRemovalShare: service => this.store.getProfile(service).membership.floor })
    this.platform = PlatformClient.create(options.platform.map(({ ip, port }) => `http://${ip.includes(':') ? `[${ip}]` : ip}:${port}`))
    this.peers = PeerConnections.create({ clock, directory: this.directory, connections: options.connections ?? defaultConnectionsPerTarget, maxHeaderBytes })
    this.router = Router.create({ clock, random, directory: this.directory, remote: this.peers.attempt })
    this.supervisor = Supervisor.create({ clock, logger })
  }

  /** Resolves after the first read of configuration and members; rejects with a `platform-unreachable` fault if it fails. */
  static async create (options: ClientOptions): Promise<Client> {
    const client = new Client(options)
    await client.start()
    return client
  }

  /** Sends one request and buffers its complete answer. Never rejects. */
  async call (request: ClientRequest): Promise<CallResult> {
    const cancellation = Cancellation.create()
    const cancel = (): void => { cancellation.abort() }
    request.signal?.addEventListener('abort', cancel, { once: true })
    if (request.signal?.aborted === true) cancel()
    const call = createCall(request, { id: this.nextCallId(), caller: this.caller, now: this.clock.now(), profile: this.store.getProfile(request.service), signal: cancellation })
    if (call === undefined) return { verdict: 'not-run', cause: 'bad-request' }
    if (cancellation.aborted) return { verdict: 'not-run', cause: 'caller-gone' }
    const answer = BufferedAnswer.create(cancel)
    try {
      return createResult(await this.router.run(call, BufferedBody.create(request.body), answer), answer)
    } catch (error) {
      this.logger.error('call-failed', { error: String(error) })
      return { verdict: 'may-have-run', cause: 'connection-lost' }
    } finally {
      request.signal?.removeEventListener('abort', cancel)
    }
  }

  /** State of the client as JSON: configuration, members, router and supervised parts. */
  dump (): Record<string, unknown> {
    return { configuration: this.store.dump(), membership: this.directory.dump(), router: this.router.dump(), parts: this.supervisor.dump() }
  }

  /** Ends the watches and closes the connections. Calls in flight are aborted, so wait for them first. */
  async close (): Promise<void> {
    await this.supervisor.close()
  }

  private async start (): Promise<void> {
    const { clock, logger, platform, supervisor } = this
    await supervisor.add('membership', async () => this.directory)
    await supervisor.add('platform', async () => platform)
    await supervisor.add('peers', async () => this.peers)
    await supervisor.add('memberChanges', async () => this.subscribeToMemberChanges())
    await supervisor.add('configuration', async () => {
      const read = this.createConfigurationReader()
      await read(0)
      return readContinuously('configuration', async signal => { await read(watchTimeoutMs, signal) }, { clock, logger })
    })
    await supervisor.add('members', async () => {
      const read = this.createMembersReader()
      await read(0)
      return readContinuously('members', async signal => { await read(watchTimeoutMs, signal) }, { clock, logger })
    })
  }

  private subscribeToMemberChanges (): Part {
    const stop = subscribe(this.clock, this.directory.changes,
      service => { this.router.refresh(service) },
      error => { this.logger.error('member-change-failed', { error: String(error) }) })
    return { close: async () => { stop() } }
  }

  private createConfigurationReader (): (waitMs: number, signal?: AbortSignal) => Promise<void> {
    let revision = 0
    return async (waitMs, signal) => {
      const page = await this.platform.readConfiguration(revision, waitMs, signal)
      for (const entry of page.entries) this.store.accept(entry, 'platform')
      revision = page.revision
    }
  }

  private createMembersReader (): (waitMs: number, signal?: AbortSignal) => Promise<void> {
    let revision = 0
    return async (waitMs, signal) => {
      const page = await this.platform.readMembers(revision, waitMs, signal)
      for (const list of page.lists) this.directory.accept(list)
      revision = page.revision
    }
  }
}

function createResult ({ verdict }: Outcome, answer: BufferedAnswer): CallResult {
  if (verdict.kind === 'not-run') return { verdict: verdict.kind, cause: verdict.cause }
  if (verdict.kind === 'may-have-run') return { verdict: verdict.kind, cause: verdict.cause }
  if (!answer.complete) return { verdict: 'may-have-run', cause: 'answer-cut' }
  return { verdict: 'done', status: answer.status, headers: toHeaderRecord(answer.headers), body: answer.body }
}

/** Converts names to lower case, and joins the values of repeated headers with commas. */
function toHeaderRecord (headers: RawHeaders): Record<string, string> {
  const record = new Map<string, string>()
  for (let index = 0; index < headers.length; index += 2) {
    const name = (headers[index] as string).toLowerCase()
    const value = headers[index + 1] as string
    const earlier = record.get(name)
    record.set(name, earlier === undefined ? value : `${earlier}, ${value}`)
  }
  return Object.fromEntries(record)
}
