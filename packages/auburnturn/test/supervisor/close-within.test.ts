import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { closeWithin } from '../../src/core/supervisor/close-within.js'
import { ManualClock } from '../../src/index.js'

const closing = suite('close within')

closing('a part that closes in time is reported as closed', async () => {
  const outcome = await closeWithin({ close: async () => {} }, 5_000, ManualClock.create())
  assert.is(outcome.kind, 'closed')
})

closing('a part that never closes is reported as late after the time limit', async () => {
  const clock = ManualClock.create()
  const outcome = closeWithin({ close: async () => { await new Promise(() => {}) } }, 5_000, clock)
  await clock.advance(5_000)
  assert.is((await outcome).kind, 'late')
})

closing.run()
