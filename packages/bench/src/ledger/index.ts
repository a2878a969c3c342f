/** What the memory for "at most once" costs: `npm run bench -- ledger`. */
import { ManualClock, Ledger, profileSchema } from 'auburnturn'
import { measureMemory, timeWork } from '../measure.js'
import { writeResults } from '../results.js'

/** Calls a second of one target at the peak that the brief's sizes give. */
const callsPerSecond = 268

const answerBytes = 200
const timedCalls = 100_000

const limits = profileSchema.parse({}).tickets
const windowCalls = callsPerSecond * limits.windowMs / 1_000

function createLedger (clock: ManualClock): Ledger {
  return Ledger.create({ member: 'orders-1', incarnation: '0123456789abcdef', clock })
}

/** Issues, claims and settles one ticket. */
function runCall (ledger: Ledger): string {
  const ticket = ledger.issue()
  const presented = ledger.redeem(ticket, 'POST /orders', limits)
  if (presented.kind !== 'claimed') throw new Error(`expected a claim, not ${presented.kind}`)
  presented.claim.complete({ status: 201, reason: 'Created', headers: ['content-type', 'application/json'], body: new Uint8Array(answerBytes), trailers: [] })
  return ticket
}

const clock = ManualClock.create()
const ledger = createLedger(clock)
const before = measureMemory()
let last = ''
for (let second = 0; second < limits.windowMs / 1_000; second++) {
  for (let index = 0; index < callsPerSecond; index++) last = runCall(ledger)
  clock.jump(1_000)
}
const held = ledger.dump() as { ended: number, bytes: number }
const heldBytes = measureMemory() - before

const timed = createLedger(clock)
const whole = timeWork(timedCalls, () => { runCall(timed) })
const resend = timeWork(timedCalls, () => { ledger.redeem(last, 'POST /orders', limits) })

process.stdout.write([
  `one profile window (${limits.windowMs / 1_000} s) at ${callsPerSecond} calls/s: ${windowCalls} calls`,
  `remembered with their answers of ${answerBytes} bytes: ${held.ended} (bound of ${limits.memoryBytes} bytes; the ledger counts ${held.bytes})`,
  `memory of one remembered call: ${Math.round(heldBytes / held.ended)} bytes measured, ${Math.round(held.bytes / held.ended)} counted`,
  `issue, claim and settle: ${whole.toFixed(2)} µs a call`,
  `resend that finds its recorded answer: ${resend.toFixed(2)} µs a call`,
  ''
].join('\n'))
writeResults('ledger', [{
  bench: 'ledger',
  bytesPerCall: Math.round(heldBytes / held.ended),
  settleUs: Number(whole.toFixed(2)),
  resendUs: Number(resend.toFixed(2)),
  windowCalls,
  heldCalls: held.ended
}])
