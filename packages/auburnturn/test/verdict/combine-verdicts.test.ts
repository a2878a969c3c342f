import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { combineVerdicts, Directory, done, Logger, ManualClock, mayHaveRun, Notices, notRun, profileSchema, Random, Router } from '../../src/index.js'
import type { Answer, Body, Call, Verdict } from '../../src/index.js'

const verdicts = suite('verdicts over several attempts')

const body: Body = { replayable: true, empty: true, read: async function * () {} }
const answer: Answer = { started: false, writeInformational: () => {}, writeHead: () => {}, writeData: () => undefined, end: () => {}, cut: () => {} }

/** The verdict that an idempotent call receives when its attempts end with these verdicts. */
async function runAttempts (attempts: readonly Verdict[]): Promise<Verdict> {
  const clock = ManualClock.create()
  const logger = Logger.createSilent()
  const directory = Directory.create({ clock, logger, notices: Notices.create({ clock }), getMaxRemovalShare: () => 0.5 })
  const members = attempts.map((_, index) => ({ id: `orders-${index}`, service: 'orders', region: 'kochi', failureDomain: 'kochi-a', ip: '127.0.0.1', peerPort: 1, controlPort: 1, state: 'live' as const }))
  directory.accept({ service: 'orders', version: 1, members })
  const remaining = [...attempts]
  const router = Router.create({ clock, directory, random: Random.create(1), remote: async () => ({ verdict: remaining.shift() ?? done }) })
  const profile = profileSchema.parse({ retry: { attempts: attempts.length, share: 1 } })
  const call: Call = { id: '1', service: 'orders', method: 'GET', path: '/', headers: [], profile, idempotent: true, deadline: 5_000, attempt: 0, depth: 1, caller: 'shop', forwarded: false, signal: new AbortController().signal }
  const outcome = await router.run(call, body, answer)
  await directory.close()
  return outcome.verdict
}

verdicts('a refusal after an attempt that may have run is not reported as not run', async () => {
  assert.equal(await runAttempts([mayHaveRun('connection-lost'), notRun('overloaded')]), mayHaveRun('connection-lost'))
  assert.equal(await runAttempts([mayHaveRun('timeout'), notRun('deadline-expired'), notRun('no-target')]), mayHaveRun('timeout'))
})

verdicts('otherwise the verdict of the last attempt is reported', async () => {
  assert.equal(await runAttempts([notRun('overloaded'), notRun('queue-timeout')]), notRun('queue-timeout'))
  assert.equal(await runAttempts([notRun('overloaded'), mayHaveRun('answer-cut')]), mayHaveRun('answer-cut'))
  assert.equal(await runAttempts([mayHaveRun('connection-lost'), done]), done)
})

verdicts('a possible execution is remembered until an attempt is done', () => {
  assert.equal(combineVerdicts(mayHaveRun('timeout'), mayHaveRun('answer-cut')), mayHaveRun('answer-cut'))
  assert.equal(combineVerdicts(notRun('no-target'), notRun('overloaded')), notRun('overloaded'))
  assert.equal(combineVerdicts(mayHaveRun('timeout'), notRun('overloaded')), mayHaveRun('timeout'))
})

verdicts.run()
