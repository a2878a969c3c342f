import type { Answer, Body, Call, Outcome } from '../call/types.js'
import type { Member } from '../membership/index.js'
import { Balancer, classifyOutcome } from '../routing/index.js'
import { accumulate, isRetryable, notRun } from '../verdict/index.js'
import { combineOutcomes, Race } from './race.js'
import { ServiceState } from './service-state.js'
import { runTicketed } from './ticketed.js'
import type { TicketedContext } from './ticketed.js'
import type { RouterOptions } from './types.js'

/** Routes calls of any service. */
export class Router {
  private readonly options: RouterOptions
  private readonly services = new Map<string, ServiceState>()

  private constructor (options: RouterOptions) {
    this.options = options
  }

  static create (options: RouterOptions): Router {
    return new Router(options)
  }

  /** Runs `call` to its outcome; the answer is written only by the attempt that succeeds. */
  async run (call: Call, body: Body, answer: Answer): Promise<Outcome> {
    if (call.forwarded) return await this.runLocally(call, body, answer)
    if (call.ticket !== undefined) return await runTicketed(call, call.ticket, body, answer, this.ticketedContext)
    const { quarantine } = this.options
    if (quarantine?.hasSuspects === true) {
      const treatment = await quarantine.judge(call, body)
      if (treatment.kind === 'refused') return { verdict: quarantine.refuse(call), exhausted: true }
      if (treatment.kind === 'alone') return await this.runSuspect(call, body, answer)
    }
    return await this.runWithRetries(call, body, answer)
  }

  /** The target that a call would be sent to now, none of those in `tried`. */
  choose (call: Call, tried: ReadonlySet<string>): Member | undefined {
    const service = this.getServiceState(call.service)
    return this.chooseLocal(call, service, tried) ?? service.balancer.choose(tried)
  }

  /** Reads the members of a service again at its next call. */
  refresh (service: string): void {
    this.services.get(service)?.balancer.refresh()
  }

  /** Treats all that is known of targets as unknown, as after a pause of this process. */
  resetEstimates (): void {
    for (const { balancer } of this.services.values()) balancer.resetEstimates()
  }

  /** The balancers of the services called so far. */
  get balancers (): ReadonlyMap<string, Balancer> {
    return new Map([...this.services].map(([name, { balancer }]) => [name, balancer]))
  }

  dump (): unknown {
    return Object.fromEntries([...this.services].map(([name, service]) => [name, service.dump()]))
  }

  private async runWithRetries (call: Call, body: Body, answer: Answer): Promise<Outcome> {
    const tried = new Set<string>()
    const visited: Member[] = []
    const service = this.getServiceState(call.service)
    service.budget.deposit(call.profile.retry.share)
    let outcome: Outcome = { verdict: notRun('no-target') }
    for (let attempt = call.attempt; ; attempt++) {
      const member = this.choose(call, tried)
      if (member === undefined) return outcome
      tried.add(member.id)
      visited.push(member)
      const { verdict, ...rest } = await this.attempt(attempt === call.attempt ? call : { ...call, attempt }, member, body, answer, tried)
      outcome = { ...rest, verdict: accumulate(outcome.verdict, verdict) }
      if (!isRetryable(verdict, call.idempotent)) return outcome
      if (!this.mayRetry(call, body, answer, outcome, attempt + 1)) return { ...outcome, exhausted: true }
      for (const earlier of visited) if (this.hasMoved(earlier)) tried.delete(earlier.id)
    }
  }

  /** Whether the list gives another address for a member than it did; nothing was tried there yet. */
  private hasMoved ({ service, id, ip, peerPort }: Member): boolean {
    const now = this.options.directory.find(service, id)
    return now !== undefined && (now.ip !== ip || now.peerPort !== peerPort)
  }

  private readonly ticketedContext: TicketedContext = {
    members: service => this.options.directory.members(service),
    attempt: async (call, member, body, answer) => await this.send(call, member, body, answer)
  }

  private async runLocally (call: Call, body: Body, answer: Answer): Promise<Outcome> {
    const { local } = this.options
    if (local === undefined || local.service !== call.service) return { verdict: notRun('no-target') }
    return await local.target.execute(call, body, answer)
  }

  /** Sends a suspect once, to the one target that every router picks for all suspects of a service. */
  private async runSuspect (call: Call, body: Body, answer: Answer): Promise<Outcome> {
    const owner = this.getServiceState(call.service).balancer.chooseOwner('suspects')
    if (owner === undefined) return { verdict: notRun('no-target') }
    const outcome = await this.send(call, owner, body, answer)
    if (outcome.verdict.kind !== 'done') return { ...outcome, exhausted: true }
    await this.options.quarantine?.clear(call, body)
    return outcome
  }

  /** Whether this layer may send `call` once more; takes from the budget. */
  private mayRetry (call: Call, body: Body, answer: Answer, outcome: Outcome, attempt: number): boolean {
    if (answer.started || !body.replayable || call.signal.aborted) return false
    if (classifyOutcome(outcome) === 'abandoned') return false
    if (outcome.exhausted === true || call.attempt > 0 || attempt >= call.profile.retry.attempts) return false
    if (this.options.clock.now() >= call.deadline) return false
    return this.getServiceState(call.service).budget.tryWithdraw()
  }

  /** This node's own target when it has room to spare and is not slower than the others. */
  private chooseLocal (call: Call, service: ServiceState, tried: ReadonlySet<string>): Member | undefined {
    const { local } = this.options
    if (local?.service !== call.service || tried.has(local.id)) return undefined
    if (!local.target.isBelow(call.profile.admission.localBelow) || !service.balancer.isHealthy(local.id)) return undefined
    const member = this.options.directory.find(call.service, local.id)
    if (member !== undefined) service.localRuns++
    return member
  }

  private async attempt (call: Call, member: Member, body: Body, answer: Answer, tried: Set<string>): Promise<Outcome> {
    const mayHedge = call.profile.retry.hedge && call.idempotent && body.empty && call.attempt === 0
    if (!mayHedge) return await this.send(call, member, body, answer)
    return await this.sendHedged(call, member, body, answer, tried)
  }

  /** Sends a second attempt elsewhere when the first is late; the first head wins and cancels the other. */
  private async sendHedged (call: Call, member: Member, body: Body, answer: Answer, tried: Set<string>): Promise<Outcome> {
    const { clock } = this.options
    const service = this.getServiceState(call.service)
    const race = Race.create(answer)
    const lane = race.addAttempt(call.signal)
    const start = clock.now()
    const first = this.send({ ...call, signal: lane.signal }, member, body, lane)
    const late = await new Promise<boolean>((resolve, reject) => {
      const watched = service.hedgeTimeouts.schedule(service.hedgeDelay.milliseconds, () => { resolve(true) })
      first.then(() => {
        watched.settled = true
        lane.close()
        service.hedgeDelay.record(clock.now() - start)
        resolve(false)
      }, reject)
    })
    if (!late || answer.started) return await first
    const other = this.chooseHedge(service, member, tried)
    if (other === undefined || !service.budget.tryWithdraw()) return await first
    tried.add(other.id)
    service.hedges++
    const second = race.addAttempt(call.signal)
    const hedge = this.send({ ...call, attempt: call.attempt + 1, signal: second.signal }, other, body, second).finally(second.close)
    return await awaitFirstDone(first, hedge)
  }

  /** Another target with room to spare, when the call is late because its target is slow and not because it is long. */
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
    const known = this.services.get(service)
    if (known !== undefined) return known
    const { clock, random, directory, policy, local } = this.options
    const balancer = Balancer.create({ service, clock, random, directory, routerId: local?.id ?? '', ...(policy === undefined ? {} : { policy }) })
    const fresh = ServiceState.create(balancer, clock)
    this.services.set(service, fresh)
    return fresh
  }
}

/** Resolves with the first of two outcomes that is done, else with both joined. */
async function awaitFirstDone (first: Promise<Outcome>, second: Promise<Outcome>): Promise<Outcome> {
  const earlier = await Promise.race([first, second])
  if (earlier.verdict.kind === 'done') return earlier
  return combineOutcomes(await first, await second)
}
