import { setTimeout as sleep } from 'node:timers/promises'
import { writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { dirname, join } from 'node:path'
import { Child } from './child.js'
import { drainMs, graceMs, memoryMb, ports, retryAllowance, retryRatio } from './constants.js'
import { Link } from './link.js'
import type { Place } from './places.js'
import { now } from './processes/messages.js'
import type { FromProcess } from './processes/messages.js'
import type { Operator } from './operator.js'
import type { StrayEnd } from './types.js'

const program = join(dirname(createRequire(import.meta.url).resolve('auburnturn-sidecar/package.json')), 'dist/src/main.js')

/** Entries of targets that fell silent lapse after this long, in milliseconds. */
const lapseMs = 2_000

/** What a VM needs of the run. */
export interface VmOptions {
  readonly place: Place
  readonly folder: string
  readonly storeIp: string
  readonly operator: Operator
  readonly onMessage: (message: FromProcess) => void
  readonly onStrayEnd: (end: StrayEnd) => void
}

/** One VM: a node, the target beside it, and the links to both and to the store. */
export class Vm {
  readonly place: Place
  private readonly options: VmOptions
  private links: { readonly nodes: Link, readonly upstream: Link, readonly store: Link } | undefined
  private node: Child | undefined
  private target: Child | undefined
  private targetId = ''
  private starts = 0
  private busy: Promise<void> = Promise.resolve()

  private constructor (options: VmOptions) {
    this.options = options
    this.place = options.place
  }

  static async create (options: VmOptions): Promise<Vm> {
    const vm = new Vm(options)
    const { ip, linkIp, storeIp } = options.place
    const [nodes, upstream, store] = await Promise.all([
      Link.create({ ip: linkIp, port: ports.nodes, to: ip }),
      Link.create({ ip: linkIp, port: ports.upstream, to: ip }),
      Link.create({ ip: storeIp, port: ports.store, to: options.storeIp })
    ])
    vm.links = { nodes, upstream, store }
    writeFileSync(vm.settingsFile, JSON.stringify(vm.settings()))
    await vm.startTarget()
    vm.startNode()
    return vm
  }

  get link (): { readonly nodes: Link, readonly upstream: Link, readonly store: Link } {
    if (this.links === undefined) throw new Error('a VM has its links from its start on')
    return this.links
  }

  /** Stops the node in good order and starts it again after `downMs`. */
  async terminateNode (downMs: number): Promise<void> {
    await this.inTurn(async () => {
      const ended = await this.node?.terminate(graceMs)
      if (ended === false) this.options.onStrayEnd({ process: `node of ${this.place.name}`, at: now(), how: 'still there after the grace time' })
      await sleep(downMs)
      this.startNode()
    })
  }

  async killNode (downMs: number): Promise<void> {
    await this.inTurn(async () => {
      await this.node?.kill()
      await sleep(downMs)
      this.startNode()
    })
  }

  async pauseNode (forMs: number): Promise<void> {
    await this.inTurn(async () => { await pause(this.node, forMs) })
  }

  reloadNode (): void {
    writeFileSync(this.settingsFile, JSON.stringify({ ...this.settings(), comment: now() }))
    this.node?.signal('SIGHUP')
  }

  /** Kills the target; its entry lapses unless it is back before, under another id. */
  async crashTarget (downMs: number): Promise<void> {
    await this.inTurn(async () => {
      const id = this.targetId
      await this.target?.kill()
      const lapse = sleep(lapseMs).then(() => { this.options.operator.unlist(id) })
      await sleep(downMs)
      await this.startTarget()
      await lapse
    })
  }

  async pauseTarget (forMs: number): Promise<void> {
    await this.inTurn(async () => { await pause(this.target, forMs) })
  }

  /** Lets the target leave in good order, and another lifetime of it take its place. */
  async drainTarget (): Promise<void> {
    await this.inTurn(async () => {
      const id = this.targetId
      await this.options.operator.drain(id, this.place)
      await sleep(2 * drainMs)
      await this.target?.kill()
      this.options.operator.unlist(id)
      await this.startTarget()
    })
  }

  async close (): Promise<void> {
    await this.busy
    await Promise.all([this.node?.kill(), this.target?.kill()])
    for (const link of Object.values(this.link)) link.close()
  }

  /** Faults of one VM's processes come one after the other. */
  private async inTurn (action: () => Promise<void>): Promise<void> {
    this.busy = this.busy.then(action)
    await this.busy
  }

  private async startTarget (): Promise<void> {
    const { folder, onMessage, operator } = this.options
    const { index, name, service, ip } = this.place
    this.targetId = `i-${index}-${++this.starts}`
    this.target = await Child.createPart('target', {
      log: join(folder, `${name}-target.log`),
      args: [String(index), service, this.targetId, ip, String(ports.upstream)],
      onMessage,
      onStrayEnd: how => { this.noteEnd('target', how) }
    })
    operator.list(this.targetId, this.place)
  }

  private startNode (): void {
    this.node = Child.createProgram({
      log: join(this.options.folder, `${this.place.name}-node.log`),
      args: ['--max-semi-space-size=1', program],
      env: { AUBURNTURN_SETTINGS: this.settingsFile },
      onStrayEnd: how => { this.noteEnd('node', how) }
    })
  }

  private noteEnd (part: string, how: string): void {
    this.options.onStrayEnd({ process: `${part} of ${this.place.name}`, at: now(), how })
  }

  private get settingsFile (): string {
    return join(this.options.folder, `${this.place.name}.json`)
  }

  private settings (): Readonly<Record<string, unknown>> {
    const { name, ip, linkIp, storeIp, failureDomain, service } = this.place
    return {
      name,
      ip: linkIp,
      failureDomain,
      service,
      upstream: `${linkIp}:${ports.upstream}`,
      listen: { callers: `${ip}:${ports.callers}`, nodes: `${ip}:${ports.nodes}`, readiness: `${ip}:${ports.readiness}` },
      internalPorts: [ports.internal, ports.internal + 5],
      store: `${storeIp}:${ports.store}`,
      memoryMb,
      bounds: { graceSeconds: graceMs / 1_000, retryRatio, retryAllowance, probesPerSecond: 20 }
    }
  }
}

async function pause (child: Child | undefined, forMs: number): Promise<void> {
  child?.signal('SIGSTOP')
  await sleep(forMs)
  child?.signal('SIGCONT')
}
