import { Admission, Directory, Ledger, Logger, ManualClock, mayHaveRun, notRun, Notices, profileSchema, Random, Router, Target } from 'auburnturn'
import type { Answer, Body, Call, Member, Outcome, RawHeaders } from 'auburnturn'
import type { HistoryRecorder } from './history-recorder.js'

/** Waits until the scheduler of the history runs the step named `label`. */
export type WaitForStep = (label: string) => Promise<void>

/** Outcome of delivering one attempt from one node to another. */
export type DeliveryOutcome = 'arrives' | 'refused' | 'request-late' | 'request-lost' | 'answer-lost'

/** Objects that the nodes of one history share. */
export interface InMemoryContext {
  readonly recorder: HistoryRecorder
  readonly waitForStep: WaitForStep
  /** Returns the outcome of delivering the next attempt. */
  readonly nextDeliveryOutcome: () => DeliveryOutcome
  readonly nodes: Map<string, InMemoryNode>
}

/** Profile with one slot and a queue of one call, so that calls are refused often. */
export const inMemoryProfile = profileSchema.parse({ admission: { slots: 1, queue: 1, localBelow: 0.5 }, retry: { attempts: 3, share: 1 } })

/** One node with a real router, admission, ledger and target; only HTTP and the upstream are fakes. */
export class InMemoryNode {
  readonly id: string
  readonly router: Router
  readonly admission: Admission
  readonly directory: Directory
  target: Target
  private readonly context: InMemoryContext
  private readonly clock = ManualClock.create()
  private readonly random: Random
  private incarnationCount = 0
  private executionCount = 0

  private constructor (id: string, seed: number, context: InMemoryContext) {
    const getCurrentTarget = (): Target => this.target
    this.id = id
    this.context = context
    this.random = Random.create(seed)
    this.admission = Admission.create({ clock: this.clock })
    const notices = Notices.create({ clock: this.clock })
    this.directory = Directory.create({ clock: this.clock, logger: Logger.createSilent(), notices, getMaxRemovalShare: () => 0.5 })
    this.target = this.createTarget()
    this.router = Router.create({
      clock: this.clock,
      random: this.random,
      directory: this.directory,
      remote: async (call, member, body, answer) => await this.sendToMember(call, member, body, answer),
      local: { id, service: 'orders', get target () { return getCurrentTarget() } }
    })
  }

  static create (id: string, seed: number, context: InMemoryContext): InMemoryNode {
    return new InMemoryNode(id, seed, context)
  }

  /** Creates a call that this node receives from a caller. */
  createCall (name: string, kind: { readonly idempotent: boolean, readonly ticket?: string }): Call {
    const headers = ['x-sending', name, 'content-length', '0', ...kind.ticket === undefined ? [] : ['auburnturn-ticket', kind.ticket]]
    return {
      id: name,
      service: 'orders',
      method: 'POST',
      path: '/place',
      headers,
      profile: inMemoryProfile,
      deadline: this.clock.now() + 5_000,
      attempt: 0,
      depth: 1,
      caller: 'shop',
      forwarded: false,
      signal: new AbortController().signal,
      ...kind
    }
  }

  /**
   * Replaces the target by a new incarnation without any records, as a restart of its node does. Executions in flight
   * continue.
   */
  restart (): void {
    this.target = this.createTarget()
  }

  async close (): Promise<void> {
    await this.directory.close()
  }

  private createTarget (): Target {
    const incarnation = `${this.id.length}${this.incarnationCount++}`
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
    await this.context.waitForStep(`${this.id} requests a ticket`)
    const others = [...this.context.nodes.values()].filter(({ id }) => id !== this.id)
    return others[this.random.integerBelow(others.length)]?.target.issueTicket()
  }

  /** Simulates one attempt at another node, with the next delivery outcome of the history. */
  private async sendToMember (call: Call, member: Member, body: Body, answer: Answer): Promise<Outcome> {
    const deliveryOutcome = this.context.nextDeliveryOutcome()
    await this.context.waitForStep(`${call.id} to ${member.id}: ${deliveryOutcome}`)
    const node = this.context.nodes.get(member.id)
    if (node === undefined || deliveryOutcome === 'refused') return { verdict: notRun('connect-failed') }
    const execute = async (to: Answer): Promise<Outcome> => await node.target.execute({ ...call, forwarded: true }, body, to)
    switch (deliveryOutcome) {
      case 'arrives': return await this.deliverAnswer(execute, call, answer)
      case 'request-lost': return { verdict: mayHaveRun('connection-lost') }
      case 'request-late':
        // The sender sees the connection fail before the other node reads the request.
        this.context.waitForStep(`${call.id} arrives late at ${member.id}`).then(async () => await execute(createBufferedAnswer()), () => {})
        return { verdict: mayHaveRun('connection-lost') }
      case 'answer-lost':
        await execute(createBufferedAnswer())
        return { verdict: mayHaveRun('connection-lost') }
    }
  }

  /** Runs the call and delivers its answer at a step of its own. */
  private async deliverAnswer (execute: (to: Answer) => Promise<Outcome>, call: Call, answer: Answer): Promise<Outcome> {
    const buffered = createBufferedAnswer()
    const outcome = await execute(buffered)
    await this.context.waitForStep(`answer of ${call.id}`)
    buffered.copyTo(answer)
    return outcome
  }

  private async runUpstream (call: Call, answer: Answer): Promise<Outcome> {
    const { recorder, waitForStep } = this.context
    const requestName = call.headers[1] ?? ''
    const callName = requestName.split('/')[0] ?? ''
    const execution = `${this.id}#${this.executionCount++}`
    recorder.add({ kind: 'execution-started', execution, sending: requestName, call: callName, target: this.id })
    await waitForStep(`${execution} runs`)
    answer.writeHead(201, 'Created', ['x-execution', execution])
    answer.writeData(Buffer.from(execution))?.catch(() => {})
    answer.end([])
    recorder.add({ kind: 'execution-ended', execution, how: 'whole', content: execution })
    return { verdict: { kind: 'done' }, status: 201 }
  }
}

/** An answer buffered in memory. */
export interface BufferedAnswer extends Answer {
  readonly headers: RawHeaders
  readonly content: string
  /** Writes the answer to another one; does nothing if it is incomplete. */
  copyTo (answer: Answer): void
}

/** Creates an empty answer that buffers what is written to it. */
export function createBufferedAnswer (): BufferedAnswer {
  const state = { started: false, headers: [] as RawHeaders, content: '', ended: false }
  return {
    get started () { return state.started },
    get headers () { return state.headers },
    get content () { return state.content },
    writeInformational: () => {},
    writeHead: (_status, _reason, headers) => {
      state.started = true
      state.headers = headers
    },
    writeData: chunk => {
      state.content += Buffer.from(chunk).toString()
      return undefined
    },
    end: () => { state.ended = true },
    cut: () => {},
    copyTo: answer => {
      if (!state.started || !state.ended) return
      answer.writeHead(201, 'Created', state.headers)
      answer.writeData(Buffer.from(state.content))?.catch(() => {})
      answer.end([])
    }
  }
}
