/** Measures the router, admission, membership and operator dumps in isolation: `npm run bench -- roles`. */
import { Admission, Balancer, Directory, Logger, ManualClock, Metrics, Notices, profileSchema, Random } from 'auburnturn'
import type { Call, Member } from 'auburnturn'
import { measureMemory, timeAsync, timeSync } from '../measure.js'
import { writeResults } from '../results.js'
import type { ResultRow } from '../results.js'
import { services, targetsPerService, timedCalls, waitingCalls } from './constants.js'

const clock = ManualClock.create()
const profile = profileSchema.parse({ admission: { slots: 20, queue: waitingCalls } })

function createMembers (service: string): Member[] {
  return Array.from({ length: targetsPerService }, (_, index): Member => ({
    id: `${service}-${index}`,
    service,
    region: 'region',
    failureDomain: `domain-${index % 3}`,
    ip: `10.0.${index}.1`,
    peerPort: 7000,
    controlPort: 7001,
    state: 'live'
  }))
}

function createDirectory (): Directory {
  return Directory.create({ clock, logger: Logger.createSilent(), notices: Notices.create({ clock }), getMaxRemovalShare: () => 0.5 })
}

function createCall (id: number): Call {
  return {
    id: String(id),
    service: 'orders',
    method: 'GET',
    path: '/',
    headers: [],
    profile,
    idempotent: true,
    deadline: 1e9,
    attempt: 0,
    depth: 1,
    caller: `caller-${id % 50}`,
    forwarded: false,
    signal: new AbortController().signal
  }
}

function measureMembership (): ResultRow {
  const before = measureMemory()
  const directory = createDirectory()
  for (let index = 0; index < services; index++) directory.accept({ service: `s${index}`, version: 1, members: createMembers(`s${index}`) })
  const bytesPerTarget = (measureMemory() - before) / (services * targetsPerService)
  let version = 1
  const lists = [createMembers('s0'), createMembers('s0').slice(1)]
  const listUs = timeSync(timedCalls / 10, () => { directory.accept({ service: 's0', version: ++version, members: lists[version % 2] as Member[] }) })
  return { case: 'membership', bytesPerTarget, listUs }
}

function measureRouter (): ResultRow {
  const directory = createDirectory()
  for (let index = 0; index < services; index++) directory.accept({ service: `s${index}`, version: 1, members: createMembers(`s${index}`) })
  const before = measureMemory()
  const balancers = Array.from({ length: services }, (_, index) =>
    Balancer.create({ service: `s${index}`, clock, random: Random.create(index), directory, routerId: 'orders-1' }))
  for (const balancer of balancers) balancer.choose(new Set())
  const bytesPerCandidate = (measureMemory() - before) / (services * targetsPerService)
  const [balancer] = balancers as [Balancer]
  const excluded = new Set<string>()
  const load = { running: 3, queued: 0, limit: 20, state: 'serving' } as const
  const callUs = timeSync(timedCalls, () => {
    const member = balancer.choose(excluded)
    if (member === undefined) throw new Error('the balancer chose no target')
    balancer.recordOutcome(balancer.recordStart(member), { verdict: { kind: 'done' }, status: 200, load, incarnation: 'a' })
  })
  return { case: 'router', bytesPerCandidate, callUs }
}

async function measureAdmission (): Promise<ResultRow> {
  const call = createCall(0)
  const idleAdmission = Admission.create({ clock })
  const callUs = await timeAsync(timedCalls, async () => {
    const decision = await idleAdmission.admit(call)
    if (decision.kind !== 'admitted') throw new Error(`refused as ${decision.cause}`)
    decision.release({ kind: 'done' }, 1)
  })
  const fullAdmission = Admission.create({ clock })
  const calls = Array.from({ length: waitingCalls + profile.admission.slots }, (_, index) => createCall(index))
  const before = measureMemory()
  const admissions = calls.map(async call => await fullAdmission.admit(call))
  await Promise.resolve()
  const bytesPerWaitingCall = (measureMemory() - before) / waitingCalls
  if (fullAdmission.load.queued !== waitingCalls) throw new Error(`unexpected number of queued calls: ${fullAdmission.load.queued}`)
  fullAdmission.drain()
  await Promise.all(admissions)
  return { case: 'admission', callUs, bytesPerWaitingCall }
}

function measureOperator (): ResultRow {
  const directory = createDirectory()
  for (let index = 0; index < services; index++) directory.accept({ service: `s${index}`, version: 1, members: createMembers(`s${index}`) })
  const metrics = Metrics.create({ clock })
  for (let index = 0; index < timedCalls; index++) metrics.recordDuration('call_seconds', index % 100)
  const serializeDump = (): string => JSON.stringify({ membership: directory.dump(), metrics: metrics.dump() })
  return { case: 'operator', services, dumpBytesPerService: serializeDump().length / services, dumpUsPerService: timeSync(200, () => { serializeDump() }) / services }
}

const rows = [measureMembership(), measureRouter(), await measureAdmission(), measureOperator()].map(row => ({ bench: 'roles', ...row }))
for (const row of rows) process.stdout.write(`${JSON.stringify(row)}\n`)
writeResults('roles', rows)
