import { ManualClock } from 'auburnturn/core/clock'
import { Logger } from 'auburnturn/core/logger'
import { Random } from 'auburnturn/core/random'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ConfigurationFetcher, Follower } from '../src/core/following/index.js'
import type { Change, SharedState, StoreAnswer } from '../src/core/following/index.js'
import { AnnouncementFilter } from '../src/core/following/announcement-filter.js'
import type { Configuration } from '../src/core/configuration/index.js'
import { ReaderElection } from '../src/core/readers/index.js'
import type { ListedTarget } from '../src/core/targets/index.js'

const test = suite('following')

const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }

function createConfiguration (version: number): Configuration {
  return { version, routes: [], services: [], limits }
}

function createTarget (id: string, changes: Partial<ListedTarget> = {}): Change {
  return { kind: 'target', target: { id, service: 'shop', address: '10.0.0.1:80', ip: '10.0.0.1', failureDomain: 'a', slots: 10, state: 'ready', coldMs: 0, ...changes } }
}

/** A follower whose source answers from a list, and then no more; it reads for others when it is alone. */
function createScene (answers: StoreAnswer[], { alone = true, known = true, state = undefined as SharedState | undefined } = {}): { clock: ManualClock, calls: string[], waits: number[], follower: Follower, duty: ReaderElection } {
  const clock = ManualClock.create()
  const calls: string[] = []
  const waits: number[] = []
  const random = Random.create(1)
  const logger = Logger.createSilent()
  const next = async (call: string): Promise<StoreAnswer> => {
    calls.push(call)
    return answers.shift() ?? await new Promise<StoreAnswer>(() => {})
  }
  const duty = ReaderElection.create({ clock, random, logger, ip: '10.0.0.9', failureDomain: 'a', domainCount: () => 3, isDiscovered: () => known, domainPeers: () => ['10.0.0.1'], onStateChange: () => { calls.push(`duty ${duty.state}`) } })
  const hearReaders = (): void => { for (const domain of ['a', 'b', 'c']) duty.receiveNotice(`10.0.0.1${domain}`, 'reading', domain) }
  if (!alone) clock.every(400, hearReaders)
  if (!alone) hearReaders()
  const follower = Follower.create({
    store: {
      list: async how => await next(how === 'cheap' ? 'list' : 'newest list'),
      watch: async (revision, waitMs) => {
        waits.push(waitMs)
        return await next(`watch ${revision}`)
      },
      readConfiguration: async () => undefined
    },
    clock,
    random,
    logger,
    election: duty,
    apply: (changes, whole) => { calls.push(`apply ${changes.length}${whole ? ' whole' : ''}`) },
    onListed: () => {},
    announceChanges: (from, to, changes) => { calls.push(`share ${from}-${to}: ${changes.length}`) },
    requestState: async ip => {
      calls.push(`ask ${ip}`)
      return state
    },
    onFailure: error => { throw error }
  })
  return { clock, calls, waits, follower, duty }
}

async function follow (answers: StoreAnswer[]): Promise<string[]> {
  const { clock, calls, follower } = createScene(answers)
  await clock.advance(10_000)
  follower.close()
  return calls.filter(call => !call.startsWith('duty'))
}

test('the store is listed once, and watched from its revision', async () => {
  const calls = await follow([
    { kind: 'changes', changes: [], revision: 7 },
    { kind: 'changes', changes: [{ kind: 'gone', id: 'x' }], revision: 9 }
  ])
  assert.equal(calls, ['list', 'apply 0 whole', 'watch 7', 'apply 1', 'share 7-9: 1', 'watch 9'])
})

test('a store that lost its history is listed again, one that fails is asked again', async () => {
  const calls = await follow([
    { kind: 'failed', cause: 'status 503' },
    { kind: 'changes', changes: [], revision: 7 },
    { kind: 'failed', cause: 'reset' },
    { kind: 'forgotten' },
    { kind: 'changes', changes: [], revision: 20 }
  ])
  assert.equal(calls, ['list', 'list', 'apply 0 whole', 'watch 7', 'watch 7', 'newest list', 'apply 0 whole', 'watch 20'])
})

test('a store that has not answered yet is asked for a short time, then watched for long', async () => {
  const { clock, waits, follower } = createScene([listedAt7, { kind: 'failed', cause: 'reset' }, { kind: 'changes', changes: [], revision: 7 }])
  await clock.advance(5_000)
  follower.close()
  assert.equal(waits, [1, 1, 3_500])
})

const listedAt7: StoreAnswer = { kind: 'changes', changes: [], revision: 7 }

test('start of all: nodes that nobody knows yet list cheaply in place of watching, until they are known or it takes too long', async () => {
  const answers = Array.from({ length: 8 }, (_, index): StoreAnswer => ({ kind: 'changes', changes: [], revision: 7 + index }))
  const { clock, calls, follower } = createScene(answers, { known: false })
  await clock.advance(3_500)
  assert.equal(calls.filter(call => !call.startsWith('apply')), Array.from({ length: 5 }, () => 'list'))
  await clock.advance(1_000)
  follower.close()
  assert.ok(calls.some(call => call.startsWith('watch')))
})

test('readers fall silent: a node that is known watches in their place, and does not list again', async () => {
  const { clock, calls, follower, duty } = createScene([listedAt7], { alone: true })
  for (const domain of ['a', 'b', 'c']) duty.receiveNotice(`10.0.0.1${domain}`, 'reading', domain)
  await clock.advance(2_000)
  follower.close()
  assert.equal(calls, ['list', 'apply 0 whole', 'duty trying', 'watch 7'])
})

test('a cheap list that is older than what is known changes nothing', async () => {
  const { clock, calls, follower } = createScene([listedAt7, { kind: 'changes', changes: [createTarget('gone since')], revision: 5 }], { known: false })
  await clock.advance(1_200)
  follower.close()
  assert.equal(calls, ['list', 'apply 0 whole', 'list'])
  assert.is(follower.knownRevision, 7)
})

test('a node that hears a reader does not read, and takes what that tells', async () => {
  const { clock, calls, follower } = createScene([listedAt7], { alone: false })
  await clock.advance(2_000)
  follower.receiveChanges('10.0.0.1', true, { kind: 'changes', from: 5, to: 9, changes: [createTarget('one')] })
  follower.receiveChanges('10.0.0.2', false, { kind: 'changes', from: 7, to: 9, changes: [createTarget('one')] })
  follower.receiveRevision('10.0.0.1', true, 9)
  await clock.advance(2_000)
  follower.close()
  assert.equal(calls, ['list', 'apply 0 whole', 'apply 1'])
  assert.is(follower.knownRevision, 9)
})

test('changes that were missed are asked of the reader that told of later ones', async () => {
  const state = { configuration: createConfiguration(1), targets: [], revision: 12 }
  const { clock, calls, follower } = createScene([listedAt7], { alone: false, state })
  await clock.advance(1_000)
  follower.receiveChanges('10.0.0.1', true, { kind: 'changes', from: 9, to: 11, changes: [createTarget('one')] })
  await clock.advance(1_000)
  follower.close()
  assert.equal(calls, ['list', 'apply 0 whole', 'ask 10.0.0.1', 'apply 1 whole'])
  assert.is(follower.knownRevision, 12)
})

test('changes that come in the wrong order need nobody to be asked', async () => {
  const { clock, calls, follower } = createScene([listedAt7], { alone: false })
  await clock.advance(1_000)
  follower.receiveChanges('10.0.0.1', true, { kind: 'changes', from: 9, to: 11, changes: [createTarget('two')] })
  follower.receiveChanges('10.0.0.2', false, { kind: 'changes', from: 7, to: 11, changes: [createTarget('one'), createTarget('two')] })
  await clock.advance(1_000)
  follower.close()
  assert.equal(calls, ['list', 'apply 0 whole', 'apply 2'])
})

test('a node that can not list learns all from a reader', async () => {
  const state = { configuration: createConfiguration(1), targets: [], revision: 12 }
  const { clock, follower } = createScene(Array.from({ length: 50 }, (): StoreAnswer => ({ kind: 'failed', cause: 'status 503' })), { alone: false, state })
  follower.receiveRevision('10.0.0.1', true, 12)
  await clock.advance(1_000)
  follower.close()
  assert.is(follower.knownRevision, 12)
})

test('what changes only how long a target stays slow is not told, and leaves no gap', () => {
  const untold = AnnouncementFilter.create()
  assert.equal(untold.select([createTarget('one')], 1, 3)?.from, 1)
  assert.is(untold.select([createTarget('one', { coldMs: 500 })], 3, 5), undefined)
  assert.is(untold.select([], 5, 6), undefined)
  assert.is(untold.select([createTarget('one', { state: 'draining' })], 6, 8)?.from, 3)
  assert.is(untold.select([createTarget('one', { state: 'draining', coldMs: 1 })], 8, 9), undefined)
  // Another reader has told of what is behind 9: this node's own watch starts anew.
  assert.is(untold.select([{ kind: 'gone', id: 'one' }], 11, 12)?.from, 11)
})

/** What a node does when it hears of version 5, with what the other node and the store give. */
async function catchUp ({ told, newest, other }: { told?: number | 'long', newest?: number, other?: number }): Promise<string[]> {
  const clock = ManualClock.create()
  const calls: string[] = []
  let version = 3
  const take = (found: Configuration): void => { version = Math.max(version, found.version) }
  const part = ConfigurationFetcher.create({
    clock,
    logger: Logger.createSilent(),
    activeVersion: () => version,
    delayMs: () => 50,
    requestConfiguration: async ip => {
      calls.push(`configuration of ${ip}`)
      return typeof told === 'number' ? createConfiguration(told) : told
    },
    store: {
      readConfiguration: async () => {
        calls.push('store')
        return newest === undefined ? undefined : createConfiguration(newest)
      }
    },
    applyConfiguration: take,
    requestState: async ip => {
      calls.push(`state of ${ip}`)
      return other === undefined ? undefined : { configuration: createConfiguration(other), targets: [], revision: 1 }
    },
    applyState: state => { take(state.configuration) }
  })
  part.receiveVersion('far', false, 5)
  part.receiveVersion('near', true, 5)
  part.receiveVersion('other', false, 5)
  await clock.advance(2_000)
  return [...calls, `version ${version}`]
}

test('a new configuration comes from the node nearby that has it', async () => {
  assert.equal(await catchUp({ told: 5 }), ['configuration of near', 'version 5'])
})

test('a long configuration is read from the store', async () => {
  assert.equal(await catchUp({ told: 'long', newest: 6 }), ['configuration of near', 'store', 'version 6'])
})

test('a long configuration comes from the other node where the store does not give it', async () => {
  assert.equal(await catchUp({ told: 'long', other: 5 }), ['configuration of near', 'store', 'state of near', 'version 5'])
  assert.equal(await catchUp({ newest: 4, other: 5 }), ['configuration of near', 'store', 'state of near', 'version 5'])
})

test('only a list that follows a lost history has to be the newest', async () => {
  const { clock, calls, follower } = createScene([listedAt7, { kind: 'forgotten' }, listedAt7])
  await clock.advance(1_000)
  follower.close()
  assert.equal(calls.filter(call => call.endsWith('list')), ['list', 'newest list'])
})

test.run()
