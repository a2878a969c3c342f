import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { OwnMembershipMonitor } from '../../src/core/node/own-membership-monitor.js'
import { Directory, Logger, ManualClock, Notices, profileSchema } from '../../src/index.js'
import type { Member } from '../../src/index.js'
import { makeMember } from '../fixtures/members.js'

const ownMembership = suite('own membership')

interface Setting {
  readonly clock: ManualClock
  readonly notices: Notices
  readonly list: (version: number, state: Member['state']) => void
  readonly told: string[]
  readonly close: () => Promise<void>
}

function createSetting (): Setting {
  const clock = ManualClock.create()
  const notices = Notices.create({ clock })
  const logger = Logger.createSilent()
  const directory = Directory.create({ clock, notices, logger, floorOf: () => 0.5 })
  const told: string[] = []
  const own = OwnMembershipMonitor.create({
    id: 'orders-1',
    incarnation: 'now',
    service: 'orders',
    clock,
    logger,
    directory,
    profileOf: () => profileSchema.parse({ drain: { newWorkMs: 2_000 } }),
    drain: () => { told.push('drain') },
    open: () => { told.push('open') }
  })
  const list = (version: number, state: Member['state']): void => {
    directory.accept({ service: 'orders', version, members: [makeMember(1, { state }), makeMember(2), makeMember(3)] })
  }
  return { clock, notices, list, told, close: async () => { await own.close() } }
}

ownMembership('a leaving target takes no new work after the profile\'s time', async () => {
  const { clock, list, told, close } = createSetting()
  list(1, 'live')
  list(2, 'leaving')
  await clock.advance(1_999)
  assert.equal(told, [])
  await clock.advance(1)
  assert.equal(told, ['drain'])
  await close()
})

ownMembership('a target that turns live again in time is never drained', async () => {
  const { clock, list, told, close } = createSetting()
  list(1, 'leaving')
  await clock.advance(1_000)
  list(2, 'live')
  await clock.advance(10_000)
  assert.equal(told, [])
  await close()
})

ownMembership('a drained target that turns live again takes new work', async () => {
  const { clock, list, told, close } = createSetting()
  list(1, 'leaving')
  await clock.advance(2_000)
  list(2, 'live')
  await clock.advance(10_000)
  assert.equal(told, ['drain', 'open'])
  await close()
})

ownMembership('a new incarnation is announced once, when the list names it', () => {
  const { notices, list } = createSetting()
  assert.not.ok(notices.has('started', 'orders/orders-1/now'))
  list(1, 'live')
  list(2, 'leaving')
  assert.equal(notices.list().map(({ kind, subject }) => [kind, subject]), [['started', 'orders/orders-1/now']])
})

ownMembership.run()
