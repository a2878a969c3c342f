import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { adaptiveSetup, baselineSetups } from '../src/routing/policy-setups.js'
import { evaluateTargets } from '../src/routing/evaluate-targets.js'
import type { Comparison } from '../src/routing/evaluate-targets.js'
import { runScenario } from '../src/routing/run-scenario.js'
import { scenarios } from '../src/routing/scenarios.js'
import type { RunResult, Scenario } from '../src/routing/types.js'
import { VirtualTime } from '../src/routing/virtual-time.js'

const routing = suite('routing bench')

const findScenario = (name: string): Scenario => scenarios.find(scenario => scenario.name === name) as Scenario

routing('virtual time fires timers in order and settles promises between them', async () => {
  const time = VirtualTime.create()
  const events: string[] = []
  time.setTimer(() => { events.push(`b${time.now()}`) }, 2)
  time.setTimer(() => {
    events.push(`a${time.now()}`)
    Promise.resolve().then(async () => { await Promise.resolve() }).then(() => { events.push('settled') }, () => {})
  }, 1)
  time.clearTimer(time.setTimer(() => { events.push('cleared') }, 1))
  await time.run(5)
  assert.equal(events, ['a1', 'settled', 'b2'])
  assert.is(time.now(), 5)
})

routing('equal seeds give equal results and different seeds give different ones', async () => {
  const scenario = findScenario('drain when busy, 3 targets')
  const result = await runScenario(scenario, adaptiveSetup, 7)
  assert.equal(await runScenario(scenario, adaptiveSetup, 7), result)
  assert.is.not((await runScenario(scenario, adaptiveSetup, 8)).p99, result.p99)
  assert.is(result.refused, 0)
  assert.is(result.failed, 0)
})

routing('the evaluation detects a miss of each performance target', () => {
  const scenario = { ...findScenario('straggler 10x, 3 targets'), group: 'shifting' as const }
  const result: RunResult = {
    scene: scenario.name,
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
  const baselineResults = baselineSetups.map(({ name }): RunResult => ({ ...result, contender: name, p99: 100 }))
  const evaluateOne = (ours: Partial<RunResult>, group: Scenario['group'] = 'shifting', unmeasured?: RunResult): boolean[] => {
    const comparison: Comparison = { scenario: { ...scenario, group }, ours: { ...result, ...ours }, baselines: baselineResults, ...(unmeasured === undefined ? {} : { unmeasured }) }
    return evaluateTargets([comparison], []).map(({ met }) => met)
  }
  assert.equal(evaluateOne({}), [true, true, true, true, true, true, true])
  assert.is(evaluateOne({ p99: 106 })[0], false)
  assert.is(evaluateOne({ p99: 51 })[1], false)
  assert.is(evaluateOne({ goodput: 0.94 }, 'overload')[2], false)
  assert.is(evaluateOne({ retries: 0.101 })[3], false)
  assert.is(evaluateOne({ probeShare: 0.021 })[4], false)
  assert.is(evaluateOne({ messagesPerSecond: 6 })[5], false)
  assert.is(evaluateOne({ bytesPerSecond: 1_501 })[5], false)
  assert.is(evaluateOne({}, 'steady', { ...result, p99: 13 })[6], false)
})

routing.run()
