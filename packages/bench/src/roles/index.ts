/** What the router, admission, membership and the operator address cost by themselves: `npm run bench -- roles`. */
import { Admission, Balancer, Directory, Logger, ManualClock, Metrics, Notices, profileSchema, Random } from 'auburnturn'
import type { Call, Member } from 'auburnturn'
import { measureMemory, timeSteps, timeWork } from '../measure.js'
import { writeResults } from '../results.js'
import type { Row } from '../results.js'
import { services, targetsPerService, timedCalls, waitingCalls } from './constants.js'

const clock = ManualClock.create()
const profile = profileSchema.parse({ admission: { slots: 20, queue: waitingCalls } })

function listMembers (service: string): Member[] {
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

function measureMembership (): Row {
  const before = measureMemory()
  const directory = createDirectory()
  for (let index = 0; index < services; index++) directory.accept({ service: `s${index}`, version: 1, members: listMembers(`s${index}`) })
  const bytesPerTarget = (measureMemory() - before) / (services * targetsPerService)
  let version = 1
  const lists = [listMembers('s0'), listMembers('s0').slice(1)]
  const listUs = timeWork(timedCalls / 10, () => { directory.accept({ service: 's0', version: ++version, members: lists[version % 2] as Member[] }) })
  return { case: 'membership', bytesPerTarget, listUs }
}

function measureRouter (): Row {
  const directory = createDirectory()
  for (let index = 0; index < services; index++) directory.accept({ service: `s${index}`, version: 1, members: listMembers(`s${index}`) })
  const before = measureMemory()
  const balancers = Array.from({ length: services }, (_, index) =>
    Balancer.create({ service: `s${index}`, clock, random: Random.create(index), directory, routerId: 'orders-1' }))
  for (const balancer of balancers) balancer.choose(new Set())
  const bytesPerCandidate = (measureMemory() - before) / (services * targetsPerService)
  const [first] = balancers as [Balancer]
  const none = new Set<string>()
  const load = { running: 3, queued: 0, limit: 20, state: 'serving' } as const
  const callUs = timeWork(timedCalls, () => {
    const member = first.choose(none)
    if (member === undefined) throw new Error('no target to choose')
    first.recordOutcome(first.recordStart(member), { verdict: { kind: 'done' }, status: 200, load, incarnation: 'a' })
  })
  return { case: 'router', bytesPerCandidate, callUs }
}

async function measureAdmission (): Promise<Row> {
  const call = createCall(0)
  const idle = Admission.create({ clock })
  const callUs = await timeSteps(timedCalls, async () => {
    const admittance = await idle.admit(call)
    if (admittance.kind !== 'admitted') throw new Error(`refused as ${admittance.cause}`)
    admittance.release({ kind: 'done' }, 1)
  })
  const full = Admission.create({ clock })
  const calls = Array.from({ length: waitingCalls + profile.admission.slots }, (_, index) => createCall(index))
  const before = measureMemory()
  const waiting = calls.map(async one => await full.admit(one))
  await Promise.resolve()
  const bytesPerWaitingCall = (measureMemory() - before) / waitingCalls
  if (full.load.queued !== waitingCalls) throw new Error(`${full.load.queued} calls wait`)
  full.drain()
  await Promise.all(waiting)
  return { case: 'admission', callUs, bytesPerWaitingCall }
}

function measureOperator (): Row {
  const directory = createDirectory()
  for (let index = 0; index < services; index++) directory.accept({ service: `s${index}`, version: 1, members: listMembers(`s${index}`) })
  const metrics = Metrics.create({ clock })
  for (let index = 0; index < timedCalls; index++) metrics.recordDuration('call_seconds', index % 100)
  const dump = (): string => JSON.stringify({ membership: directory.dump(), metrics: metrics.dump() })
  return { case: 'operator', services, dumpBytesPerService: dump().length / services, dumpUsPerService: timeWork(200, () => { dump() }) / services }
}

const rows = [measureMembership(), measureRouter(), await measureAdmission(), measureOperator()].map(row => ({ bench: 'roles', ...row }))
for (const row of rows) process.stdout.write(`${JSON.stringify(row)}\n`)
writeResults('roles', rows)
