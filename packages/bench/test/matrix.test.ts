import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { checkHistory } from 'auburnturn'
import { getAllowedOutcomes, listCells } from '../src/matrix/cells.js'
import { faults, outlastsDeadline } from '../src/matrix/faults.js'
import { runInterleavings } from '../src/matrix/interleavings.js'
import { runMatrix, runPairs } from '../src/matrix/matrix.js'
import type { Finding } from '../src/matrix/matrix.js'
import { steps } from '../src/matrix/steps.js'

const matrix = suite('fault matrix')

/** Seed and numbers of runs in CI; `npm run matrix` runs more. */
const seed = 1
const pairCount = 60
const historyCount = 2_000

/** Formats findings as the matrix prints them. */
function formatFindings (findings: readonly Finding[]): string[] {
  return findings.map(({ kind, caseName, seed, detail }) => `${kind} (${caseName}, seed ${seed}): ${detail}`)
}

matrix('there is a cell for every fault at every step, with a reason if it cannot exist', () => {
  const cells = listCells()
  assert.is(cells.length, faults.length * steps.length)
  const impossible = cells.filter(cell => cell.impossibleReason !== undefined)
  assert.ok(impossible.length > 0)
  assert.ok(impossible.every(cell => (cell.impossibleReason ?? '').length > 20))
  for (const { fault, step, impossibleReason } of impossible) process.stdout.write(`\n  not run: ${fault} at ${step}: ${impossibleReason ?? ''}`)
})

matrix('a draining target that finds no other one may answer a ticketed call with "not run", but only if the call has not run', () => {
  const outlasting = listCells().filter(({ fault }) => outlastsDeadline(fault))
  const betweenAttempts = outlasting.filter(({ step }) => step === 'between-attempts')
  assert.ok(betweenAttempts.every(cell => getAllowedOutcomes(cell, 'ticketed').includes('not-run')))
  for (const cell of betweenAttempts) for (const kind of ['idempotent', 'plain'] as const) assert.not(getAllowedOutcomes(cell, kind).includes('not-run'))
  const refused = { kind: 'refused', sending: 'call-0/1', verdict: 'not-run', cause: 'admission-closed', at: 3 } as const
  const sent = { kind: 'call-sent', sending: 'call-0/1', call: 'call-0', idempotent: false, ticketed: true, timeoutMs: 250, at: 1 } as const
  const findViolatedRules = (...events: Parameters<typeof checkHistory>[0]): readonly string[] => checkHistory(events).map(({ rule }) => rule)
  assert.equal(findViolatedRules(sent, refused, { kind: 'history-ended', at: 4 }), [])
  assert.ok(findViolatedRules(sent, { kind: 'execution-started', sending: 'call-0/1', call: 'call-0', execution: 'e-1', target: 'orders-1', at: 2 }, refused, { kind: 'history-ended', at: 4 }).length > 0)
})

matrix('no cell breaks a promise or tells a verdict that it does not allow', async () => {
  const results = await runMatrix(seed, 1)
  assert.equal(formatFindings(results.flatMap(({ findings }) => findings)), [])
  const run = results.filter(({ cell }) => cell.impossibleReason === undefined)
  assert.ok(run.every(({ runs }) => runs === 3))
})

matrix('no pair of faults breaks a promise', async () => {
  const { runs, findings } = await runPairs(seed, pairCount)
  assert.equal(formatFindings(findings), [])
  assert.is(runs, pairCount)
})

matrix('no order of concurrent resends violates a rule', async () => {
  const { runs, findings } = await runInterleavings(seed, historyCount)
  assert.equal(formatFindings(findings), [])
  assert.is(runs, historyCount)
})

matrix.run()
