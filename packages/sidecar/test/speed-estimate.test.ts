import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SpeedEstimate } from '../src/core/own-target/index.js'

const test = suite('pace')

/** Reads the pace after a target told `slowness` at each 50 ms. */
function tell (keeper: SpeedEstimate, from: number, slowness: readonly number[]): number {
  let now = from
  for (const one of slowness) keeper.update(now += 50, one)
  return now
}

test('after a cold start, slow is what is slow for a target that has just started', () => {
  const keeper = SpeedEstimate.create()
  const now = tell(keeper, 0, [8, 8, 2, 2, 2, 8])
  assert.is(keeper.read(now).usualSlowness, 2)
  assert.is(keeper.read(now).slowness, 8)
})

test('a target that stays slow for seconds is as usual', () => {
  const keeper = SpeedEstimate.create()
  const now = tell(keeper, 0, [1, 1, ...Array.from({ length: 60 }, () => 5)])
  assert.is(keeper.read(now).usualSlowness, 5)
  assert.is(keeper.read(now).expectedSlowMs, 0)
})

test('a slow time is expected to end after about half of its usual length, one that lasts longer to last on', () => {
  const keeper = SpeedEstimate.create()
  let now = 0
  for (let turn = 0; turn < 40; turn++) now = tell(keeper, now, [1, 1, 4, 4])
  now = tell(keeper, now, [4])
  assert.ok(keeper.read(now).expectedSlowMs <= 60)
  now = tell(keeper, now, Array.from({ length: 10 }, () => 4))
  assert.ok(keeper.read(now).expectedSlowMs >= 200)
})

test.run()
