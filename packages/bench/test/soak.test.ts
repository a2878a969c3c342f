import { rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { HistoryEvent } from 'auburnturn'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { checks } from '../src/soak/checks/checks.js'
import { drawPlan, plannedFaults } from '../src/soak/plan.js'
import { play } from '../src/soak/run.js'
import type { Observation, Told, Work } from '../src/soak/types.js'

const soak = suite('soak')

/** Seed and size of CI's share; `npm run soak` goes further. */
const seed = 5
const vms = 6
const lengthMs = 5_000

soak('a plan follows from its seed, and every third one holds planned work only', () => {
  const options = { seed: 7, vms: 9, lengthMs: 10_000 }
  assert.equal(drawPlan(options), drawPlan(options))
  assert.not.equal(drawPlan(options), drawPlan({ ...options, seed: 8 }))
  for (let seed = 0; seed < 30; seed += 3) assert.ok(drawPlan({ ...options, seed }).every(({ name }) => plannedFaults.includes(name)))
})

soak('every fault comes up in some plan', () => {
  const names = new Set(Array.from({ length: 200 }, (_, seed) => drawPlan({ seed, vms: 9, lengthMs: 12_000 })).flat().map(({ name }) => name))
  assert.is(names.size, 18)
})

const routes = new Map([['/pages/', 'shop'], ['/orders/', 'ledger']])

/** A run in which one request was served at the end. */
function observe (changes: Partial<Observation> = {}): Observation {
  return {
    history: [],
    told: [told({ sentAt: 90_000, endedAt: 90_050 })],
    works: [work({ at: 90_010 })],
    configurations: [{ version: 1, sentAt: 0, at: 1, routes }],
    leavings: [],
    disturbances: [],
    strayEnds: [],
    calmAt: 50_000,
    ...changes
  }
}

function told (changes: Partial<Told> = {}): Told {
  return { sending: 's', vm: 0, path: '/pages/', sentAt: 10_000, endedAt: 10_050, result: 200, ...changes }
}

function work (changes: Partial<Work> = {}): Work {
  return { sending: 's', target: 'i-1', vm: 1, service: 'shop', path: '/pages/1', at: 10_010, ...changes }
}

function rulesOf (observation: Observation): string[] {
  return [...new Set(Object.values(checks).flatMap(check => check(observation)).map(({ rule }) => rule))]
}

const served = told({ sending: 'last', sentAt: 90_000, endedAt: 90_050 })
const sent: HistoryEvent = { kind: 'call-sent', sending: 's', call: 's', idempotent: false, ticketed: false, timeoutMs: 4_000, at: 1 }
const ran = (execution: string): HistoryEvent => ({ kind: 'execution-started', execution, sending: 's', call: 's', target: 'i-1', at: 2 })
const moved = { version: 2, sentAt: 5_000, at: 5_001, routes: new Map([['/pages/', 'stock']]) }

/** Each observation breaks the promise that it is listed under, and no other. */
const broken: ReadonlyArray<readonly [string, string, Partial<Observation>]> = [
  ['at-most-once', 'an order that ran twice', { history: [sent, ran('e'), ran('f')] }],
  ['true-refusal', 'an order refused as not run that ran', { history: [sent, ran('e'), { kind: 'refused', sending: 's', verdict: 'not-run', cause: 'status 503', at: 3 }] }],
  ['no-work-after-leave', 'work for a target that left', { leavings: [{ target: 'i-1', at: 7_000 }], told: [told(), served], works: [work()] }],
  ['configuration-in-force', 'an older version', { configurations: [{ version: 1, sentAt: 0, at: 1, routes }, moved], told: [told(), served], works: [work(), work({ sending: 'last', service: 'stock', at: 90_010 })] }],
  ['configuration-in-force', 'a route that is there refused', { told: [told({ result: 404 }), served], works: [work({ sending: 'last' })] }],
  ['route', 'another service', { works: [work({ service: 'other', sending: 'unknown' })] }],
  ['no-answer-lost', 'a connection that ended without an answer', { told: [told({ sending: 'cut', result: 'cut' }), served] }],
  ['no-answer-lost', 'a kept connection that ended while the target worked', { told: [told({ result: 'cut-on-kept' }), served], works: [work()] }],
  ['ends-in-time', 'no answer at the route\'s timeout', { told: [told({ sending: 'late', endedAt: 13_700, result: 504 }), served] }],
  ['attempts', 'three targets', { told: [told(), served], works: [work(), work(), work()] }],
  ['retry-budget', 'too many repeats', { told: [served], works: Array.from({ length: 80 }, (_, index) => [work({ sending: `s${index}` }), work({ sending: `s${index}` })]).flat() }],
  ['denied', 'a proper request refused as wrong', { told: [told({ sending: 'proper', result: 400 }), served] }],
  ['recovery', 'nothing served at the end', { told: [told({ sending: 'refused', sentAt: 90_000, endedAt: 90_010, result: 503 })] }],
  ['ends', 'a node that ended by itself', { strayEnds: [{ process: 'node of vm-1', at: 1, how: 'code 1' }] }],
  ['served', 'nothing ran', { works: [] }]
]

for (const [rule, what, changes] of broken) {
  soak(`${rule} is found broken: ${what}`, () => { assert.equal(rulesOf(observe(changes)), [rule]) })
}

/** Observations in which every promise is kept, though some look suspicious. */
const sound: ReadonlyArray<readonly [string, Partial<Observation>]> = [
  ['one request, served', {}],
  ['work soon after a leave', { leavings: [{ target: 'i-1', at: 9_000 }], told: [told(), served], works: [work()] }],
  ['work after a leave that a cut off node could not hear of', { leavings: [{ target: 'i-1', at: 7_000 }], disturbances: [{ place: 0, from: 6_000, to: 9_500, planned: false }], told: [told(), served], works: [work()] }],
  ['an older version just after the next one', { configurations: [{ version: 1, sentAt: 0, at: 1, routes }, { ...moved, at: 9_000 }], told: [told(), served], works: [work()] }],
  ['an answer lost while a node is killed', { disturbances: [{ place: 3, from: 9_900, to: 10_020, planned: false }], told: [told({ sending: 'cut', result: 'cut' }), served] }],
  ['a kept connection that was closed before its request was read', { told: [told({ sending: 'unread', result: 'cut-on-kept' }), served] }]
]

for (const [what, changes] of sound) {
  soak(`no promise is found broken: ${what}`, () => { assert.equal(rulesOf(observe(changes)), []) })
}

soak('a short run of real processes keeps all promises', async () => {
  const folder = join(tmpdir(), `auburnturn-soak-ci-${process.pid}`)
  const { plan, observation } = await play({ seed, vms, lengthMs, perSecond: 10, folder, net: process.pid % 60 })
  const findings = Object.values(checks).flatMap(check => check(observation))
  assert.ok(plan.length > 0)
  assert.equal(findings, [], `plan ${JSON.stringify(plan)}, output in ${folder}`)
  assert.ok(observation.told.length > 100)
  rmSync(folder, { recursive: true })
})

soak.run()
