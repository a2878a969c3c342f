/** What the memory for "at most once" costs: `npm run bench -- ledger`. */
import { ManualClock, Ledger, profileSchema } from 'auburnturn'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

/** Calls a second of one target at the peak that the brief's sizes give. */
const callsPerSecond = 268

const answerBytes = 200
const timedCalls = 100_000

const limits = profileSchema.parse({}).tickets
const windowCalls = callsPerSecond * limits.windowMs / 1_000

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

function createLedger (clock: ManualClock): Ledger {
  return Ledger.create({ member: 'orders-1', incarnation: '0123456789abcdef', clock })
}

/** Issues, claims and settles one ticket. */
function runCall (ledger: Ledger): string {
  const ticket = ledger.issue()
  const presented = ledger.present(ticket, 'POST /orders', limits)
  if (presented.kind !== 'claimed') throw new Error(`expected a claim, not ${presented.kind}`)
  presented.claim.complete({ status: 201, reason: 'Created', headers: ['content-type', 'application/json'], body: new Uint8Array(answerBytes), trailers: [] })
  return ticket
}

function measureMemory (): number {
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

/** Microseconds that `work` takes, the mean of `count` runs after a warm-up. */
function time (count: number, work: () => void): number {
  for (let index = 0; index < count / 10; index++) work()
  const start = performance.now()
  for (let index = 0; index < count; index++) work()
  return (performance.now() - start) * 1_000 / count
}

const clock = ManualClock.create()
const before = measureMemory()
const ledger = createLedger(clock)
const emptyBytes = measureMemory() - before
let last = ''
for (let second = 0; second < limits.windowMs / 1_000; second++) {
  for (let index = 0; index < callsPerSecond; index++) last = runCall(ledger)
  clock.jump(1_000)
}
const held = ledger.dump() as { ended: number, bytes: number }
const heldBytes = measureMemory() - before - emptyBytes

const timed = createLedger(clock)
const whole = time(timedCalls, () => { runCall(timed) })
const resend = time(timedCalls, () => { ledger.present(last, 'POST /orders', limits) })

process.stdout.write([
  `one profile window (${limits.windowMs / 1_000} s) at ${callsPerSecond} calls/s: ${windowCalls} calls`,
  `remembered with their answers of ${answerBytes} bytes: ${held.ended} (bound of ${limits.memoryBytes} bytes; the ledger counts ${held.bytes})`,
  `memory of an empty ledger: ${emptyBytes} bytes, one bit for each of the newest serials included`,
  `memory of one remembered call: ${Math.round(heldBytes / held.ended)} bytes measured, ${Math.round(held.bytes / held.ended)} counted`,
  `issue, claim and settle: ${whole.toFixed(2)} µs a call`,
  `resend that finds its recorded answer: ${resend.toFixed(2)} µs a call`,
  ''
].join('\n'))
