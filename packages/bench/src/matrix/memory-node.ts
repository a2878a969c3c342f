import { Admission, Directory, Ledger, Logger, ManualClock, mayHaveRun, notRun, Notices, profileSchema, Random, Router, Target } from 'auburnturn'
import type { Answer, Body, Call, Member, Outcome, RawHeaders } from 'auburnturn'
import type { HistoryRecorder } from './history-recorder.js'

/** Waits until the scheduler of the run lets the step named `label` happen. */
export type WaitForStep = (label: string) => Promise<void>

/** What happens to one attempt between two nodes. */
export type DeliveryOutcome = 'arrives' | 'refused' | 'request-late' | 'request-lost' | 'answer-lost'

/** What the nodes of one run share. */
export interface MemoryContext {
  readonly recorder: HistoryRecorder
  readonly waitForStep: WaitForStep
  /** The fate of the next attempt. */
  readonly nextDeliveryOutcome: () => DeliveryOutcome
  readonly nodes: Map<string, MemoryNode>
}

/** A profile with few slots, so that calls are refused often. */
export const memoryProfile = profileSchema.parse({ admission: { slots: 1, queue: 1, localBelow: 0.5 }, retry: { attempts: 3, share: 1 } })

/** A real router, admission, ledger and target of one node; only HTTP and the upstream are fakes. */
export class MemoryNode {
  readonly id: string
  readonly router: Router
  readonly admission: Admission
  readonly directory: Directory
  target: Target
  private readonly context: MemoryContext
  private readonly clock = ManualClock.create()
  private readonly random: Random
  private incarnations = 0
  private executions = 0

  private constructor (id: string, seed: number, context: MemoryContext) {
    const currentTarget = (): Target => this.target
    this.id = id
    this.context = context
    this.random = Random.create(seed)
    this.admission = Admission.create({ clock: this.clock })
    const notices = Notices.create({ clock: this.clock })
    this.directory = Directory.create({ clock: this.clock, logger: Logger.createSilent(), notices, floorOf: () => 0.5 })
    this.target = this.createTarget()
    this.router = Router.create({
      clock: this.clock,
      random: this.random,
      directory: this.directory,
      remote: async (call, member, body, answer) => await this.sendToMember(call, member, body, answer),
      local: { id, service: 'orders', get target () { return currentTarget() } }
    })
  }

  static create (id: string, seed: number, context: MemoryContext): MemoryNode {
    return new MemoryNode(id, seed, context)
  }

  /** A call that arrives at this node from a caller, or with `from` from another node. */
  createCall (name: string, kind: { readonly idempotent: boolean, readonly ticket?: string }): Call {
    const headers = ['x-sending', name, 'content-length', '0', ...kind.ticket === undefined ? [] : ['auburnturn-ticket', kind.ticket]]
    return {
      id: name,
      service: 'orders',
      method: 'POST',
      path: '/place',
      headers,
      profile: memoryProfile,
      deadline: this.clock.now() + 5_000,
      attempt: 0,
      depth: 1,
      caller: 'shop',
      forwarded: false,
      signal: new AbortController().signal,
      ...kind
    }
  }

  /** Loses all that the target remembers, as a restart of its node does; what runs goes on. */
  restart (): void {
    this.target = this.createTarget()
  }

  async close (): Promise<void> {
    await this.directory.close()
  }

  private createTarget (): Target {
    const incarnation = `${this.id.length}${this.incarnations++}`
    return Target.create({
      id: this.id,
      incarnation,
      clock: this.clock,
      admission: this.admission,
      ledger: Ledger.create({ member: this.id, incarnation, clock: this.clock }),
      run: async (call, _body, answer) => await this.runUpstream(call, answer),
      fetchTicket: async () => await this.fetchTicket()
    })
  }

  private async fetchTicket (): Promise<string | undefined> {
    await this.context.waitForStep(`${this.id} asks for a ticket`)
    const others = [...this.context.nodes.values()].filter(({ id }) => id !== this.id)
    return others[this.random.below(others.length)]?.target.issueTicket()
  }

  private async sendToMember (call: Call, member: Member, body: Body, answer: Answer): Promise<Outcome> {
    const fate = this.context.nextDeliveryOutcome()
    await this.context.waitForStep(`${call.id} to ${member.id}: ${fate}`)
    const node = this.context.nodes.get(member.id)
    if (node === undefined || fate === 'refused') return { verdict: notRun('connect-failed') }
    const receive = async (to: Answer): Promise<Outcome> => await node.target.execute({ ...call, forwarded: true }, body, to)
    switch (fate) {
      case 'arrives': return await this.deliverAnswer(receive, call, answer)
      case 'request-lost': return { verdict: mayHaveRun('connection-lost') }
      case 'request-late':
        // The sender is told of a lost connection before its request is read at the other end.
        this.context.waitForStep(`${call.id} arrives late at ${member.id}`).then(async () => await receive(createBufferedAnswer()), () => {})
        return { verdict: mayHaveRun('connection-lost') }
      case 'answer-lost':
        await receive(createBufferedAnswer())
        return { verdict: mayHaveRun('connection-lost') }
    }
  }

  private async deliverAnswer (receive: (to: Answer) => Promise<Outcome>, call: Call, answer: Answer): Promise<Outcome> {
    const sink = createBufferedAnswer()
    const outcome = await receive(sink)
    await this.context.waitForStep(`answer of ${call.id}`)
    sink.copyTo(answer)
    return outcome
  }

  private async runUpstream (call: Call, answer: Answer): Promise<Outcome> {
    const { recorder: recording, waitForStep: step } = this.context
    const sending = call.headers[1] ?? ''
    const name = sending.split('/')[0] ?? ''
    const execution = `${this.id}#${this.executions++}`
    recording.add({ kind: 'execution-started', execution, sending, call: name, target: this.id })
    await step(`${execution} works`)
    answer.head(201, 'Created', ['x-execution', execution])
    answer.data(Buffer.from(execution))?.catch(() => {})
    answer.end([])
    recording.add({ kind: 'execution-ended', execution, how: 'whole', content: execution })
    return { verdict: { kind: 'done' }, status: 201 }
  }
}

/** An answer held in memory. */
export interface BufferedAnswer extends Answer {
  readonly headers: RawHeaders
  readonly content: string
  copyTo (answer: Answer): void
}

/** Collects an answer, to be read or written on to another. */
export function createBufferedAnswer (): BufferedAnswer {
  const held = { started: false, headers: [] as RawHeaders, content: '', ended: false }
  return {
    get started () { return held.started },
    get headers () { return held.headers },
    get content () { return held.content },
    inform: () => {},
    head: (_status, _reason, headers) => {
      held.started = true
      held.headers = headers
    },
    data: chunk => {
      held.content += Buffer.from(chunk).toString()
      return undefined
    },
    end: () => { held.ended = true },
    cut: () => {},
    copyTo: answer => {
      if (!held.started || !held.ended) return
      answer.head(201, 'Created', held.headers)
      answer.data(Buffer.from(held.content))?.catch(() => {})
      answer.end([])
    }
  }
}
