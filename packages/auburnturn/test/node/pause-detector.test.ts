import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createPauseDetector } from '../../src/core/node/routing.js'
import { Admission, Logger, ManualClock } from '../../src/index.js'

const pauses = suite('pause detector')

pauses('a late timer is reported as one pause', async () => {
  const clock = ManualClock.create()
  let pauseCount = 0
  const detector = createPauseDetector({ clock, admission: Admission.create({ clock }), logger: Logger.createSilent(), onPause: () => { pauseCount++ } })
  await clock.advance(5_000)
  assert.is(pauseCount, 0)
  clock.jump(30_000)
  await clock.advance(1_000)
  assert.is(pauseCount, 1)
  await detector.close()
})

pauses.run()
