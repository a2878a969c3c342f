import type { Answer, Body, Call, Outcome } from '../call/types.js'
import type { Member } from '../membership/index.js'
import { Balancer, judgeOutcome } from '../routing/index.js'
import { combineVerdicts, isRetryable, notRun } from '../verdict/index.js'
import { joinOutcomes, Race } from './race.js'
import { ServiceState } from './service-state.js'
import { runTicketed } from './ticketed.js'
import type { TicketedRoute } from './ticketed.js'
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
    if (call.forwarded) return await this.runHere(call, body, answer)
    if (call.ticket !== undefined) return await runTicketed(call, call.ticket, body, answer, this.ticketedRoute)
    const { quarantine } = this.options
    if (quarantine?.hasSuspects === true) {
      const treatment = await quarantine.decideTreatment(call, body)
      if (treatment.kind === 'refused') return { verdict: quarantine.refuse(call), retriesExhausted: true }
      if (treatment.kind === 'alone') return await this.runSuspect(call, body, answer)
    }
    return await this.runUsual(call, body, answer)
  }

  /** The target that a call would be sent to now, none of those in `tried`. */
  choose (call: Call, tried: ReadonlySet<string>): Member | undefined {
    const service = this.stateOf(call.service)
    return this.chooseLocal(call, service, tried) ?? service.balancer.choose(tried)
  }

  /** Reads the members of a service again at its next call. */
  refresh (service: string): void {
    this.services.get(service)?.balancer.refresh()
  }

  /** Treats all that is known of targets as unknown, as after a pause of this process. */
  forget (): void {
    for (const { balancer } of this.services.values()) balancer.forget()
  }

  /** The balancers of the services called so far. */
  get balancers (): ReadonlyMap<string, Balancer> {
    return new Map([...this.services].map(([name, { balancer }]) => [name, balancer]))
  }

  dump (): unknown {
    return Object.fromEntries([...this.services].map(([name, service]) => [name, service.dump()]))
  }

  private async runUsual (call: Call, body: Body, answer: Answer): Promise<Outcome> {
    const tried = new Set<string>()
    const visited: Member[] = []
    const service = this.stateOf(call.service)
    service.budget.earn(call.profile.retry.share)
    let outcome: Outcome = { verdict: notRun('no-target') }
    for (let attempt = call.attempt; ; attempt++) {
      const member = this.choose(call, tried)
      if (member === undefined) return outcome
      tried.add(member.id)
      visited.push(member)
      const { verdict, ...rest } = await this.attempt(attempt === call.attempt ? call : { ...call, attempt }, member, body, answer, tried)
      outcome = { ...rest, verdict: combineVerdicts(outcome.verdict, verdict) }
      if (!isRetryable(verdict, call.idempotent)) return outcome
      if (!this.mayRetry(call, body, answer, outcome, attempt + 1)) return { ...outcome, retriesExhausted: true }
      for (const earlier of visited) if (this.hasMoved(earlier)) tried.delete(earlier.id)
    }
  }

  /** Whether the list gives another address for a member than it did; nothing was tried there yet. */
  private hasMoved ({ service, id, ip, peerPort }: Member): boolean {
    const now = this.options.directory.find(service, id)
    return now !== undefined && (now.ip !== ip || now.peerPort !== peerPort)
  }

  private readonly ticketedRoute: TicketedRoute = {
    members: service => this.options.directory.members(service),
    attempt: async (call, member, body, answer) => await this.send(call, member, body, answer)
  }

  private async runHere (call: Call, body: Body, answer: Answer): Promise<Outcome> {
    const { local } = this.options
    if (local === undefined || local.service !== call.service) return { verdict: notRun('no-target') }
    return await local.target.execute(call, body, answer)
  }

  /** Sends a suspect once, to the one target that every router picks for all suspects of a service. */
  private async runSuspect (call: Call, body: Body, answer: Answer): Promise<Outcome> {
    const owner = this.stateOf(call.service).balancer.chooseOwner('suspects')
    if (owner === undefined) return { verdict: notRun('no-target') }
    const outcome = await this.send(call, owner, body, answer)
    if (outcome.verdict.kind !== 'done') return { ...outcome, retriesExhausted: true }
    await this.options.quarantine?.clearSuspect(call, body)
    return outcome
  }

  /** Whether this layer may send `call` once more; takes from the budget. */
  private mayRetry (call: Call, body: Body, answer: Answer, outcome: Outcome, attempt: number): boolean {
    if (answer.started || !body.replayable || call.signal.aborted) return false
    if (judgeOutcome(outcome) === 'abandoned') return false
    if (outcome.retriesExhausted === true || call.attempt > 0 || attempt >= call.profile.retry.attempts) return false
    if (this.options.clock.now() >= call.deadline) return false
    return this.stateOf(call.service).budget.take()
  }

  /** This node's own target when it has room to spare and is not slower than the others. */
  private chooseLocal (call: Call, service: ServiceState, tried: ReadonlySet<string>): Member | undefined {
    const { local } = this.options
    if (local?.service !== call.service || tried.has(local.id)) return undefined
    if (!local.target.isBelowShare(call.profile.admission.localBelow) || !service.balancer.isFit(local.id)) return undefined
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
    const service = this.stateOf(call.service)
    const race = Race.create(answer)
    const lane = race.enter(call.signal)
    const start = clock.now()
    const first = this.send({ ...call, signal: lane.signal }, member, body, lane)
    const late = await new Promise<boolean>((resolve, reject) => {
      const watched = service.lateCalls.watch(service.hedgeDelay.milliseconds, () => { resolve(true) })
      first.then(() => {
        watched.settled = true
        lane.close()
        service.hedgeDelay.record(clock.now() - start)
        resolve(false)
      }, reject)
    })
    if (!late || answer.started) return await first
    const other = this.chooseHedge(service, member, tried)
    if (other === undefined || !service.budget.take()) return await first
    tried.add(other.id)
    service.hedges++
    const second = race.enter(call.signal)
    const hedge = this.send({ ...call, attempt: call.attempt + 1, signal: second.signal }, other, body, second).finally(second.close)
    return await firstDone(first, hedge)
  }

  /** Another target with room to spare, when the call is late because its target is slow and not because it is long. */
  private chooseHedge ({ balancer }: ServiceState, member: Member, tried: ReadonlySet<string>): Member | undefined {
    if (balancer.isFit(member.id)) return undefined
    const other = balancer.choose(tried)
    return other !== undefined && balancer.isFit(other.id) && balancer.hasRoom(other.id) ? other : undefined
  }

  private async send (call: Call, member: Member, body: Body, answer: Answer): Promise<Outcome> {
    const { local, remote } = this.options
    const { balancer } = this.stateOf(call.service)
    const started = balancer.started(member)
    const outcome = member.id === local?.id
      ? await local.target.execute(call, body, answer)
      : await remote(call, member, body, answer)
    balancer.finished(started, outcome)
    return outcome
  }

  private stateOf (service: string): ServiceState {
    const known = this.services.get(service)
    if (known !== undefined) return known
    const { clock, random, directory, policy, local } = this.options
    const balancer = Balancer.create({ service, clock, random, directory, router: local?.id ?? '', ...(policy === undefined ? {} : { policy }) })
    const fresh = ServiceState.create(balancer, clock)
    this.services.set(service, fresh)
    return fresh
  }
}

/** Resolves with the first of two outcomes that is done, else with both joined. */
async function firstDone (first: Promise<Outcome>, second: Promise<Outcome>): Promise<Outcome> {
  const earlier = await Promise.race([first, second])
  if (earlier.verdict.kind === 'done') return earlier
  return joinOutcomes(await first, await second)
}
