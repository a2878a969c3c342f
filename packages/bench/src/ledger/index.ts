/** Measures the memory and time of the ticket ledger, which ensures at-most-once execution: `npm run bench -- ledger`. */
import { ManualClock, Ledger, profileSchema } from 'auburnturn'
import { measureMemory, timeSync } from '../measure.js'
import { writeResults } from '../results.js'

/** Peak calls per second of one target, from the fleet sizes that the product is designed for. */
const callsPerSecond = 268

const answerBytes = 200
const timedCalls = 100_000

const limits = profileSchema.parse({}).tickets
const windowCalls = callsPerSecond * limits.windowMs / 1_000

function createLedger (clock: ManualClock): Ledger {
  return Ledger.create({ member: 'orders-1', incarnation: '0123456789abcdef', clock })
}

/** Issues a ticket, claims it and completes it with an answer; returns the ticket. */
function runCall (ledger: Ledger): string {
  const ticket = ledger.issue()
  const redeemed = ledger.redeem(ticket, 'POST /orders', limits)
  if (redeemed.kind !== 'claimed') throw new Error(`expected a claim, not ${redeemed.kind}`)
  redeemed.claim.complete({ status: 201, reason: 'Created', headers: ['content-type', 'application/json'], body: new Uint8Array(answerBytes), trailers: [] })
  return ticket
}

const clock = ManualClock.create()
const ledger = createLedger(clock)
const memoryBefore = measureMemory()
let lastTicket = ''
for (let second = 0; second < limits.windowMs / 1_000; second++) {
  for (let index = 0; index < callsPerSecond; index++) lastTicket = runCall(ledger)
  clock.jump(1_000)
}
const ledgerDump = ledger.dump() as { ended: number, bytes: number }
const heldBytes = measureMemory() - memoryBefore

const timedLedger = createLedger(clock)
const issueAndSettleUs = timeSync(timedCalls, () => { runCall(timedLedger) })
const resendUs = timeSync(timedCalls, () => { ledger.redeem(lastTicket, 'POST /orders', limits) })

process.stdout.write([
  `one profile window (${limits.windowMs / 1_000} s) at ${callsPerSecond} calls/s: ${windowCalls} calls`,
  `remembered with their answers of ${answerBytes} bytes: ${ledgerDump.ended} (bound of ${limits.memoryBytes} bytes; the ledger counts ${ledgerDump.bytes})`,
  `memory of one remembered call: ${Math.round(heldBytes / ledgerDump.ended)} bytes measured, ${Math.round(ledgerDump.bytes / ledgerDump.ended)} counted`,
  `issue, claim and settle: ${issueAndSettleUs.toFixed(2)} µs a call`,
  `resend that finds its recorded answer: ${resendUs.toFixed(2)} µs a call`,
  ''
].join('\n'))
writeResults('ledger', [{
  bench: 'ledger',
  bytesPerCall: Math.round(heldBytes / ledgerDump.ended),
  settleUs: Number(issueAndSettleUs.toFixed(2)),
  resendUs: Number(resendUs.toFixed(2)),
  windowCalls,
  heldCalls: ledgerDump.ended
}])
