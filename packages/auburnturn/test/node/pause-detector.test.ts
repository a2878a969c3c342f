import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createPauseDetector } from '../../src/core/node/routing.js'
import { Admission, Logger, ManualClock } from '../../src/index.js'

const pauses = suite('pauses')

pauses('a late wake-up makes the view unknown, once', async () => {
  const clock = ManualClock.create()
  let woken = 0
  const part = createPauseDetector({ clock, admission: Admission.create({ clock }), logger: Logger.createSilent(), onPause: () => { woken++ } })
  await clock.advance(5_000)
  assert.is(woken, 0)
  clock.jump(30_000)
  await clock.advance(1_000)
  assert.is(woken, 1)
  await part.close()
})

pauses.run()
