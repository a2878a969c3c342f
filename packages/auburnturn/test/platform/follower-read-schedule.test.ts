import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { FollowerReadSchedule } from '../../src/core/platform/index.js'
import { ManualClock, Random } from '../../src/index.js'

const readShare = suite('read share')

readShare('a fleet that starts all together stays within its reads a second', async () => {
  const clock = ManualClock.create()
  const nodes = 19_000
  const perSecond = 200
  // One generator: the first numbers of neighbouring seeds are alike.
  const random = Random.create(1)
  const shares = Array.from({ length: nodes }, () => FollowerReadSchedule.create({ clock, random, fleetReadsPerSecond: perSecond, fleetSize: () => nodes }))
  const reads: number[] = []
  for (let second = 0; second < 60; second++) {
    await clock.advance(1_000)
    const due = shares.filter(share => share.waitMs === 0)
    for (const share of due) share.scheduleNext()
    reads.push(due.length * 2)
  }
  assert.ok(Math.max(...reads) <= perSecond, `${Math.max(...reads)} reads in a second`)
  assert.ok((reads[0] as number) > 0)
})

readShare.run()
