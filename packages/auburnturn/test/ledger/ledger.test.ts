import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Ledger, ManualClock, parseTicket, UsedSerials } from '../../src/index.js'
import type { LedgerLimits, RecordedAnswer, RedeemResult, TicketClaim } from '../../src/index.js'

const ledgers = suite('ledger')
const limits: LedgerLimits = { windowMs: 1_000, memoryBytes: 65_536 }
const request = 'POST /orders'

function createLedger (serials?: UsedSerials): { ledger: Ledger, clock: ManualClock } {
  const clock = ManualClock.create()
  return { clock, ledger: Ledger.create({ member: 'orders-1.kochi', incarnation: 'ab12', clock, ...(serials === undefined ? {} : { serials }) }) }
}

function claim (result: RedeemResult): TicketClaim {
  if (result.kind !== 'claimed') throw new Error(`expected a claimed ticket, got ${result.kind}`)
  return result.claim
}

function createAnswer (text: string): RecordedAnswer {
  return { status: 201, reason: 'Created', headers: ['x-order', '7'], body: Buffer.from(text), trailers: [] }
}

ledgers('an unused ticket is claimed once, and later requests get its recorded answer', () => {
  const { ledger } = createLedger()
  const ticket = ledger.issue()
  const firstClaim = claim(ledger.redeem(ticket, request, limits))
  assert.is(ledger.redeem(ticket, request, limits).kind, 'running')
  firstClaim.complete(createAnswer('order 7'))
  const repeated = ledger.redeem(ticket, request, limits)
  assert.is(repeated.kind === 'recorded' && Buffer.from(repeated.answer.body).toString(), 'order 7')
})

ledgers('a ticket whose call ran without a recorded answer stays spent', () => {
  const { ledger } = createLedger()
  const ticket = ledger.issue()
  claim(ledger.redeem(ticket, request, limits)).complete(undefined)
  assert.is(ledger.redeem(ticket, request, limits).kind, 'spent')
})

ledgers('a refused ticket returns its successor, a released ticket is unused again', () => {
  const { ledger } = createLedger()
  const refused = ledger.issue()
  claim(ledger.redeem(refused, request, limits)).refuse('overloaded', 'next')
  assert.equal(ledger.redeem(refused, request, limits), { kind: 'refused', cause: 'overloaded', successor: 'next' })
  const released = ledger.issue()
  claim(ledger.redeem(released, request, limits)).release()
  assert.is(ledger.redeem(released, request, limits).kind, 'claimed')
})

ledgers('at most 16 requests wait for the running call, and all resolve when it settles', async () => {
  const { ledger } = createLedger()
  const ticket = ledger.issue()
  const firstClaim = claim(ledger.redeem(ticket, request, limits))
  const waiting: Array<Promise<void> | undefined> = []
  for (let count = 0; count < 17; count++) {
    const result = ledger.redeem(ticket, request, limits)
    waiting.push(result.kind === 'running' ? result.settled : undefined)
  }
  assert.is(waiting.filter(settled => settled === undefined).length, 1)
  firstClaim.complete(undefined)
  await Promise.all(waiting)
})

ledgers('after the time window the answer is evicted, and the ticket stays spent', async () => {
  const { ledger, clock } = createLedger()
  const ticket = ledger.issue()
  claim(ledger.redeem(ticket, request, limits)).complete(createAnswer('order 7'))
  await clock.advance(1_001)
  assert.is(ledger.redeem(ticket, request, limits).kind, 'spent')
})

ledgers('the size of the recorded answers is limited, and a ticket whose answer was evicted stays spent', () => {
  const { ledger } = createLedger()
  const tickets = Array.from({ length: 100 }, () => ledger.issue())
  for (const ticket of tickets) claim(ledger.redeem(ticket, request, limits)).complete(createAnswer('x'.repeat(5_000)))
  const dump = ledger.dump() as { bytes: number, ended: number }
  assert.ok(dump.bytes <= limits.memoryBytes)
  assert.ok(dump.ended > 5 && dump.ended < 100)
  assert.is(ledger.redeem(tickets[0] as string, request, limits).kind, 'spent')
  assert.is(ledger.redeem(tickets[99] as string, request, limits).kind, 'recorded')
})

ledgers('every serial below the floor is spent, whether used or not', () => {
  const { ledger } = createLedger(UsedSerials.create(64))
  const unused = ledger.issue()
  const running = ledger.issue()
  const firstClaim = claim(ledger.redeem(running, request, limits))
  for (let count = 0; count < 64; count++) ledger.issue()
  assert.is(ledger.redeem(unused, request, limits).kind, 'spent')
  firstClaim.release()
  assert.is(ledger.redeem(running, request, limits).kind, 'spent')
  assert.is(ledger.redeem(ledger.issue(), request, limits).kind, 'claimed')
})

ledgers('releasing a serial below the floor does not free the newer serial that reuses its bit', () => {
  const { ledger } = createLedger(UsedSerials.create(32))
  const firstClaim = claim(ledger.redeem(ledger.issue(), request, limits))
  const later = Array.from({ length: 32 }, () => ledger.issue())[31] as string
  claim(ledger.redeem(later, request, limits)).complete(undefined)
  firstClaim.release()
  assert.is(ledger.redeem(later, request, limits).kind, 'spent')
})

ledgers('another request with the same ticket is invalid', () => {
  const { ledger } = createLedger()
  const ticket = ledger.issue()
  const firstClaim = claim(ledger.redeem(ticket, request, limits))
  assert.equal(ledger.redeem(ticket, 'POST /other', limits), { kind: 'invalid', cause: 'bad-request' })
  firstClaim.complete(createAnswer('order 7'))
  assert.equal(ledger.redeem(ticket, 'PUT /orders', limits), { kind: 'invalid', cause: 'bad-request' })
})

ledgers('a ticket that was never issued is refused, a ticket of another target or incarnation is foreign', () => {
  const { ledger } = createLedger()
  const ticket = ledger.issue()
  const parsed = parseTicket(ticket)
  assert.is(parsed?.member, 'orders-1.kochi')
  const forged = ticket.replace('.ab12.0.', '.ab12.1.')
  assert.equal(ledger.redeem(forged, request, limits), { kind: 'invalid', cause: 'ticket-refused' })
  ledger.issue()
  assert.equal(ledger.redeem(forged, request, limits), { kind: 'invalid', cause: 'ticket-refused' })
  assert.equal(createLedger().ledger.redeem(ticket, request, limits), { kind: 'invalid', cause: 'ticket-refused' })
  assert.is(ledger.redeem(ticket.replace('.ab12.', '.ab13.'), request, limits).kind, 'foreign')
  assert.is(ledger.redeem(ticket.replace('orders-1', 'orders-2'), request, limits).kind, 'foreign')
})

ledgers.run()
