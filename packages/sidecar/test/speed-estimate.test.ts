import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SpeedEstimate } from '../src/core/own-target/index.js'

const test = suite('speed estimate')

/** Records one value of `slowness` every 50 ms from `from` on; returns the time of the last one, in milliseconds. */
function record (estimate: SpeedEstimate, from: number, values: readonly number[]): number {
  let now = from
  for (const slowness of values) estimate.update(now += 50, slowness)
  return now
}

test('after a cold start, the usual slowness is that of a target that has just started', () => {
  const estimate = SpeedEstimate.create()
  const now = record(estimate, 0, [8, 8, 2, 2, 2, 8])
  assert.is(estimate.read(now).usualSlowness, 2)
  assert.is(estimate.read(now).slowness, 8)
})

test('a target that stays slow for seconds counts as usual', () => {
  const estimate = SpeedEstimate.create()
  const now = record(estimate, 0, [1, 1, ...Array.from({ length: 60 }, () => 5)])
  assert.is(estimate.read(now).usualSlowness, 5)
  assert.is(estimate.read(now).expectedSlowMs, 0)
})

test('a slow period is expected to end after about half of its mean length, and one that lasts longer to continue', () => {
  const estimate = SpeedEstimate.create()
  let now = 0
  for (let round = 0; round < 40; round++) now = record(estimate, now, [1, 1, 4, 4])
  now = record(estimate, now, [4])
  assert.ok(estimate.read(now).expectedSlowMs <= 60)
  now = record(estimate, now, Array.from({ length: 10 }, () => 4))
  assert.ok(estimate.read(now).expectedSlowMs >= 200)
})

test.run()
