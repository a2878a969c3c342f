import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { FollowerReadSchedule } from '../../src/core/platform/index.js'
import { ManualClock, Random } from '../../src/index.js'

const schedule = suite('follower read schedule')

schedule('a fleet whose nodes all start together stays within its reads per second', async () => {
  const clock = ManualClock.create()
  const nodes = 19_000
  const fleetReadsPerSecond = 200
  // All nodes share one generator, because the first numbers of adjacent seeds are similar.
  const random = Random.create(1)
  const schedules = Array.from({ length: nodes }, () => FollowerReadSchedule.create({ clock, random, fleetReadsPerSecond, fleetSize: () => nodes }))
  const reads: number[] = []
  for (let second = 0; second < 60; second++) {
    await clock.advance(1_000)
    const due = schedules.filter(each => each.waitMs === 0)
    for (const each of due) each.scheduleNext()
    reads.push(due.length * 2)
  }
  assert.ok(Math.max(...reads) <= fleetReadsPerSecond, `${Math.max(...reads)} reads in a second`)
  assert.ok((reads[0] as number) > 0)
})

schedule.run()
