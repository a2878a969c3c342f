import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Cancellation, ManualClock } from '../../src/index.js'

const wheels = suite('timer wheel')
const tickMs = 4

wheels('every timeout that is not cancelled fires once, never early and at most one tick late', async () => {
  const timeouts = fc.array(fc.record({ setAfter: fc.nat(3_000), wait: fc.nat(9_000), cancelAfter: fc.option(fc.nat(9_000)) }), { maxLength: 30 })
  await fc.assert(fc.asyncProperty(timeouts, async list => {
    const clock = ManualClock.create()
    const fired = list.map((): number[] => [])
    list.forEach(({ setAfter, wait, cancelAfter }, index) => {
      clock.after(setAfter, () => {
        const timeout = clock.timerWheel.after(wait, () => { fired[index]?.push(clock.now()) })
        if (cancelAfter !== null) clock.after(cancelAfter, () => { timeout.cancel() })
      })
    })
    await clock.advance(13_000)
    list.forEach(({ setAfter, wait, cancelAfter }, index) => {
      const times = fired[index] as number[]
      if (cancelAfter !== null && cancelAfter < wait) assert.equal(times, [])
      else if (cancelAfter === null || cancelAfter > wait + tickMs) {
        assert.is(times.length, 1)
        const delayMs = (times[0] as number) - setAfter - wait
        assert.ok(delayMs >= 0 && delayMs <= tickMs, `fired ${delayMs} ms after it was due`)
      }
    })
    assert.is(clock.timerWheel.pending, 0)
  }), { seed: 7, numRuns: 60 })
})

wheels('after a pause of the process, exactly the timeouts that are due fire', async () => {
  const clock = ManualClock.create()
  const fired: number[] = []
  for (const wait of [5, 500, 2_047, 2_048, 5_000, 60_000]) clock.timerWheel.after(wait, () => { fired.push(wait) })
  clock.jump(30_000)
  await clock.advance(tickMs)
  assert.equal(fired.sort((one, other) => one - other), [5, 500, 2_047, 2_048, 5_000])
  assert.is(clock.timerWheel.pending, 1)
})

wheels('an action can set and cancel other timeouts', async () => {
  const clock = ManualClock.create()
  const fired: string[] = []
  const first = clock.timerWheel.after(8, () => { second.cancel(); fired.push('first') })
  const second = clock.timerWheel.after(8, () => { first.cancel(); fired.push('second') })
  clock.timerWheel.after(8, () => { clock.timerWheel.after(0, () => { fired.push('later') }) })
  await clock.advance(40)
  assert.is(fired.length, 2)
  assert.ok(fired.includes('later'))
})

wheels('a cancellation calls each listener once', () => {
  const cancellation = Cancellation.create()
  let calls = 0
  const removed = (): void => { calls += 100 }
  cancellation.addEventListener('abort', () => { calls++ })
  cancellation.addEventListener('abort', removed)
  cancellation.removeEventListener('abort', removed)
  cancellation.abort()
  cancellation.abort()
  assert.is(calls, 1)
  assert.ok(cancellation.aborted)
})

wheels.run()
