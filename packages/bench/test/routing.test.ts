import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { adaptive, baselines } from '../src/routing/contenders.js'
import { judge } from '../src/routing/judge.js'
import type { Comparison } from '../src/routing/judge.js'
import { runScene } from '../src/routing/run.js'
import { scenes } from '../src/routing/scenes.js'
import type { Figures, Scene } from '../src/routing/types.js'
import { VirtualTime } from '../src/routing/virtual-time.js'

const routing = suite('routing bench')

const findScene = (name: string): Scene => scenes.find(scene => scene.name === name) as Scene

routing('virtual time fires in order and lets promises settle between', async () => {
  const time = VirtualTime.create()
  const seen: string[] = []
  time.setTimer(() => { seen.push(`b${time.now()}`) }, 2)
  time.setTimer(() => {
    seen.push(`a${time.now()}`)
    Promise.resolve().then(async () => { await Promise.resolve() }).then(() => { seen.push('settled') }, () => {})
  }, 1)
  time.clearTimer(time.setTimer(() => { seen.push('cleared') }, 1))
  await time.run(5)
  assert.equal(seen, ['a1', 'settled', 'b2'])
  assert.is(time.now(), 5)
})

routing('the same seed gives the same figures, another seed others', async () => {
  const scene = findScene('drain when busy, 3 targets')
  const one = await runScene(scene, adaptive, 7)
  assert.equal(await runScene(scene, adaptive, 7), one)
  assert.is.not((await runScene(scene, adaptive, 8)).p99, one.p99)
  assert.is(one.refused, 0)
  assert.is(one.failed, 0)
})

routing('the judge finds a planted breach of each target', () => {
  const scene = { ...findScene('straggler 10x, 3 targets'), group: 'shifting' as const }
  const figures: Figures = {
    scene: scene.name,
    contender: 'adaptive',
    calls: 1,
    p50: 1,
    p99: 10,
    p999: 20,
    goodput: 1,
    refused: 0,
    failed: 0,
    retries: 0,
    oneHop: 1,
    measuring: { messages: 0, bytes: 0, coreMs: 0, denied: 0 },
    messagesPerSecond: 5,
    bytesPerSecond: 1_500,
    messagesAllowed: 5,
    bytesAllowed: 1_500,
    probeShare: 0,
    crashes: 0,
    perTarget: []
  }
  const others = baselines.map(({ name }): Figures => ({ ...figures, contender: name, p99: 100 }))
  const judgeOne = (ours: Partial<Figures>, group: Scene['group'] = 'shifting', unmeasured?: Figures): boolean[] => {
    const comparison: Comparison = { scene: { ...scene, group }, ours: { ...figures, ...ours }, baselines: others, ...(unmeasured === undefined ? {} : { unmeasured }) }
    return judge([comparison], []).map(({ met }) => met)
  }
  assert.equal(judgeOne({}), [true, true, true, true, true, true, true])
  assert.is(judgeOne({ p99: 106 })[0], false)
  assert.is(judgeOne({ p99: 51 })[1], false)
  assert.is(judgeOne({ goodput: 0.94 }, 'overload')[2], false)
  assert.is(judgeOne({ retries: 0.101 })[3], false)
  assert.is(judgeOne({ probeShare: 0.021 })[4], false)
  assert.is(judgeOne({ messagesPerSecond: 6 })[5], false)
  assert.is(judgeOne({ bytesPerSecond: 1_501 })[5], false)
  assert.is(judgeOne({}, 'steady', { ...figures, p99: 13 })[6], false)
})

routing.run()
