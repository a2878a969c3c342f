import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { OwnMembershipMonitor } from '../../src/core/node/own-membership-monitor.js'
import { Directory, Logger, ManualClock, Notices, profileSchema } from '../../src/index.js'
import type { Member } from '../../src/index.js'
import { createMember } from '../fixtures/members.js'

const ownMembership = suite('own membership monitor')

interface Harness {
  readonly clock: ManualClock
  readonly notices: Notices
  /** Publishes a member list with the given state of the monitored target. */
  readonly acceptList: (version: number, state: Member['state']) => void
  /** The actions called so far: 'drain' or 'open'. */
  readonly actions: string[]
  readonly close: () => Promise<void>
}

function createHarness (): Harness {
  const clock = ManualClock.create()
  const notices = Notices.create({ clock })
  const logger = Logger.createSilent()
  const directory = Directory.create({ clock, notices, logger, getMaxRemovalShare: () => 0.5 })
  const actions: string[] = []
  const monitor = OwnMembershipMonitor.create({
    id: 'orders-1',
    incarnation: 'now',
    service: 'orders',
    clock,
    logger,
    directory,
    getProfile: () => profileSchema.parse({ drain: { newWorkMs: 2_000 } }),
    drain: () => { actions.push('drain') },
    open: () => { actions.push('open') }
  })
  const acceptList = (version: number, state: Member['state']): void => {
    directory.accept({ service: 'orders', version, members: [createMember(1, { state }), createMember(2), createMember(3)] })
  }
  return { clock, notices, acceptList, actions, close: async () => { await monitor.close() } }
}

ownMembership('a leaving target refuses new work once the profile\'s newWorkMs has passed', async () => {
  const { clock, acceptList, actions, close } = createHarness()
  acceptList(1, 'live')
  acceptList(2, 'leaving')
  await clock.advance(1_999)
  assert.equal(actions, [])
  await clock.advance(1)
  assert.equal(actions, ['drain'])
  await close()
})

ownMembership('a target that is live again before newWorkMs has passed is not drained', async () => {
  const { clock, acceptList, actions, close } = createHarness()
  acceptList(1, 'leaving')
  await clock.advance(1_000)
  acceptList(2, 'live')
  await clock.advance(10_000)
  assert.equal(actions, [])
  await close()
})

ownMembership('a drained target accepts new work when it is live again', async () => {
  const { clock, acceptList, actions, close } = createHarness()
  acceptList(1, 'leaving')
  await clock.advance(2_000)
  acceptList(2, 'live')
  await clock.advance(10_000)
  assert.equal(actions, ['drain', 'open'])
  await close()
})

ownMembership('a new incarnation is announced once, when the list contains its target', () => {
  const { notices, acceptList } = createHarness()
  assert.not.ok(notices.has('started', 'orders/orders-1/now'))
  acceptList(1, 'live')
  acceptList(2, 'leaving')
  assert.equal(notices.list().map(({ kind, subject }) => [kind, subject]), [['started', 'orders/orders-1/now']])
})

ownMembership.run()
