import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Clock, formatTicket, Ledger, parseTicket } from '../../src/index.js'

const fuzz = suite('ticket fuzzing')
const limits = { windowMs: 60_000, memoryBytes: 65_536 }
const seed = 20_261

fuzz('a formatted ticket parses to the same ticket', () => {
  const ticket = fc.record({
    member: fc.stringMatching(/^[a-z][a-z0-9.-]{0,40}$/),
    incarnation: fc.stringMatching(/^[0-9a-f]{1,16}$/),
    serial: fc.integer({ min: 0, max: 1e14 }),
    mac: fc.stringMatching(/^[A-Za-z0-9_-]{16}$/)
  }, { noNullPrototype: true })
  fc.assert(fc.property(ticket, value => { assert.equal(parseTicket(formatTicket(value)), value) }), { seed, numRuns: 500 })
})

fuzz('any text other than an issued ticket claims nothing and throws no error', () => {
  const ledger = Ledger.create({ member: 'orders-1', incarnation: 'ab12', clock: Clock.create() })
  const issued = Array.from({ length: 10 }, () => ledger.issue())
  const mutated = fc.tuple(fc.constantFrom(...issued), fc.nat(60), fc.string({ maxLength: 3 }), fc.nat(3)).map(([ticket, position, inserted, removedLength]) =>
    ticket.slice(0, position) + inserted + ticket.slice(position + removedLength))
  const truncated = fc.tuple(fc.constantFrom(...issued), fc.nat(60)).map(([ticket, length]) => ticket.slice(0, length))
  fc.assert(fc.property(fc.oneof(mutated, truncated, fc.string({ maxLength: 500 })), text => {
    if (issued.includes(text)) return
    const { kind } = ledger.redeem(text, 'POST /', limits)
    assert.ok(kind === 'invalid' || kind === 'foreign', `${text}: ${kind}`)
  }), { seed, numRuns: 5_000 })
  for (const ticket of issued) assert.is(ledger.redeem(ticket, 'POST /', limits).kind, 'claimed')
})

fuzz.run()
