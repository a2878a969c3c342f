import type { Answer, Body, Call, Outcome } from '../call/types.js'
import type { Member } from '../membership/index.js'
import { Balancer, classifyOutcome } from '../routing/index.js'
import { combineVerdicts, isRetryable, notRun } from '../verdict/index.js'
import { combineOutcomes, Race } from './race.js'
import { ServiceState } from './service-state.js'
import { runTicketed } from './ticketed.js'
import type { TicketedContext } from './ticketed.js'
import type { RouterOptions } from './types.js'

/** Routes calls to the targets of any service. */
export class Router {
  private readonly options: RouterOptions
  private readonly services = new Map<string, ServiceState>()

  private constructor (options: RouterOptions) {
    this.options = options
  }

  static create (options: RouterOptions): Router {
    return new Router(options)
  }

  /** Runs `call` until it has an outcome. Only the attempt that succeeds writes to `answer`. */
  async run (call: Call, body: Body, answer: Answer): Promise<Outcome> {
    if (call.forwarded) return await this.runLocally(call, body, answer)
    if (call.ticket !== undefined) return await runTicketed(call, call.ticket, body, answer, this.ticketedContext)
    const { quarantine } = this.options
    if (quarantine?.hasSuspects === true) {
      const treatment = await quarantine.decideTreatment(call, body)
      if (treatment.kind === 'refused') return { verdict: quarantine.refuse(call), retriesExhausted: true }
      if (treatment.kind === 'alone') return await this.runSuspect(call, body, answer)
    }
    return await this.runWithRetries(call, body, answer)
  }

  /** Chooses the target to which a call is sent now, other than those in `tried`; undefined when there is none. */
  choose (call: Call, tried: ReadonlySet<string>): Member | undefined {
    const state = this.getServiceState(call.service)
    return this.chooseLocal(call, state, tried) ?? state.balancer.choose(tried)
  }

  /** Makes the next call to `service` read its member list again. */
  refresh (service: string): void {
    this.services.get(service)?.balancer.refresh()
  }

  /** Discards all estimates of all targets, which are out of date after a pause of this process. */
  resetEstimates (): void {
    for (const { balancer } of this.services.values()) balancer.resetEstimates()
  }

  /** The balancers of the services called so far, by service name. */
  get balancers (): ReadonlyMap<string, Balancer> {
    return new Map([...this.services].map(([name, { balancer }]) => [name, balancer]))
  }

  dump (): unknown {
    return Object.fromEntries([...this.services].map(([name, state]) => [name, state.dump()]))
  }

  /** Sends a call to one target after another until it succeeds or may not be retried. */
  private async runWithRetries (call: Call, body: Body, answer: Answer): Promise<Outcome> {
    const tried = new Set<string>()
    const attempted: Member[] = []
    const state = this.getServiceState(call.service)
    state.budget.deposit(call.profile.retry.share)
    let outcome: Outcome = { verdict: notRun('no-target') }
    for (let attempt = call.attempt; ; attempt++) {
      const member = this.choose(call, tried)
      if (member === undefined) return outcome
      tried.add(member.id)
      attempted.push(member)
      const { verdict, ...rest } = await this.attempt(attempt === call.attempt ? call : { ...call, attempt }, member, body, answer, tried)
      outcome = { ...rest, verdict: combineVerdicts(outcome.verdict, verdict) }
      if (!isRetryable(verdict, call.idempotent)) return outcome
      if (!this.mayRetry(call, body, answer, outcome, attempt + 1)) return { ...outcome, retriesExhausted: true }
      for (const earlier of attempted) if (this.hasMoved(earlier)) tried.delete(earlier.id)
    }
  }

  /** Whether a member has a new address since it was tried; nothing was tried at the new address yet. */
  private hasMoved ({ service, id, ip, peerPort }: Member): boolean {
    const current = this.options.directory.find(service, id)
    return current !== undefined && (current.ip !== ip || current.peerPort !== peerPort)
  }

  private readonly ticketedContext: TicketedContext = {
    listMembers: service => this.options.directory.members(service),
    attempt: async (call, member, body, answer) => await this.send(call, member, body, answer)
  }

  /** Runs a call that another node forwarded; it is never forwarded again. */
  private async runLocally (call: Call, body: Body, answer: Answer): Promise<Outcome> {
    const { local } = this.options
    if (local === undefined || local.service !== call.service) return { verdict: notRun('no-target') }
    return await local.target.execute(call, body, answer)
  }

  /** Sends a suspected call once, to the one target that every router chooses for all suspected calls of a service. */
  private async runSuspect (call: Call, body: Body, answer: Answer): Promise<Outcome> {
    const owner = this.getServiceState(call.service).balancer.chooseOwner('suspects')
    if (owner === undefined) return { verdict: notRun('no-target') }
    const outcome = await this.send(call, owner, body, answer)
    if (outcome.verdict.kind !== 'done') return { ...outcome, retriesExhausted: true }
    await this.options.quarantine?.clearSuspect(call, body)
    return outcome
  }

  /**
   * Whether `call` may be sent once more; if so, takes one retry from the budget. In a chain of routers only one retries,
   * which `attempt` of the call and `retriesExhausted` of the outcome indicate to the others.
   */
  private mayRetry (call: Call, body: Body, answer: Answer, outcome: Outcome, attempt: number): boolean {
    if (answer.started || !body.replayable || call.signal.aborted) return false
    if (classifyOutcome(outcome) === 'abandoned') return false
    if (outcome.retriesExhausted === true || call.attempt > 0 || attempt >= call.profile.retry.attempts) return false
    if (this.options.clock.now() >= call.deadline) return false
    return this.getServiceState(call.service).budget.tryWithdraw()
  }

  /** The target of this node, if its load is below the `localBelow` share of the profile and it is healthy. */
  private chooseLocal (call: Call, state: ServiceState, tried: ReadonlySet<string>): Member | undefined {
    const { local } = this.options
    if (local?.service !== call.service || tried.has(local.id)) return undefined
    if (!local.target.isLoadBelow(call.profile.admission.localBelow) || !state.balancer.isHealthy(local.id)) return undefined
    const member = this.options.directory.find(call.service, local.id)
    if (member !== undefined) state.localRuns++
    return member
  }

  private async attempt (call: Call, member: Member, body: Body, answer: Answer, tried: Set<string>): Promise<Outcome> {
    const mayHedge = call.profile.retry.hedge && call.idempotent && body.empty && call.attempt === 0
    if (!mayHedge) return await this.send(call, member, body, answer)
    return await this.sendHedged(call, member, body, answer, tried)
  }

  /** Sends a second attempt to another target when the first is overdue; the first head wins and cancels the other. */
  private async sendHedged (call: Call, member: Member, body: Body, answer: Answer, tried: Set<string>): Promise<Outcome> {
    const { clock } = this.options
    const state = this.getServiceState(call.service)
    const race = Race.create(answer)
    const primary = race.addAttempt(call.signal)
    const start = clock.now()
    const first = this.send({ ...call, signal: primary.signal }, member, body, primary)
    const overdue = await new Promise<boolean>((resolve, reject) => {
      const timeout = state.hedgeTimeouts.schedule(state.hedgeDelay.milliseconds, () => { resolve(true) })
      first.then(() => {
        timeout.cancelled = true
        primary.close()
        state.hedgeDelay.record(clock.now() - start)
        resolve(false)
      }, reject)
    })
    if (!overdue || answer.started) return await first
    const other = this.chooseHedge(state, member, tried)
    if (other === undefined || !state.budget.tryWithdraw()) return await first
    tried.add(other.id)
    state.hedges++
    const secondary = race.addAttempt(call.signal)
    const hedge = this.send({ ...call, attempt: call.attempt + 1, signal: secondary.signal }, other, body, secondary).finally(secondary.close)
    return await awaitFirstDone(first, hedge)
  }

  /**
   * Chooses another healthy target with spare slots. Undefined while the target of the call is healthy: the call is then
   * overdue because it takes long, not because its target is slow.
   */
  private chooseHedge ({ balancer }: ServiceState, member: Member, tried: ReadonlySet<string>): Member | undefined {
    if (balancer.isHealthy(member.id)) return undefined
    const other = balancer.choose(tried)
    return other !== undefined && balancer.isHealthy(other.id) && balancer.hasSpareSlots(other.id) ? other : undefined
  }

  private async send (call: Call, member: Member, body: Body, answer: Answer): Promise<Outcome> {
    const { local, remote } = this.options
    const { balancer } = this.getServiceState(call.service)
    const started = balancer.recordStart(member)
    const outcome = member.id === local?.id
      ? await local.target.execute(call, body, answer)
      : await remote(call, member, body, answer)
    balancer.recordOutcome(started, outcome)
    return outcome
  }

  private getServiceState (service: string): ServiceState {
    const existing = this.services.get(service)
    if (existing !== undefined) return existing
    const { clock, random, directory, policy, local } = this.options
    const balancer = Balancer.create({ service, clock, random, directory, routerId: local?.id ?? '', ...(policy === undefined ? {} : { policy }) })
    const created = ServiceState.create(balancer, clock)
    this.services.set(service, created)
    return created
  }
}

/** Resolves with the earlier outcome if it is done, else with both outcomes combined. */
async function awaitFirstDone (first: Promise<Outcome>, second: Promise<Outcome>): Promise<Outcome> {
  const earlier = await Promise.race([first, second])
  if (earlier.verdict.kind === 'done') return earlier
  return combineOutcomes(await first, await second)
}
