import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Directory, Logger, ManualClock, Notices, subscribe } from '../../src/index.js'
import type { Member } from '../../src/index.js'
import { createMember } from '../fixtures/members.js'

const directories = suite('directory')

interface Fixture { readonly clock: ManualClock, readonly notices: Notices, readonly directory: Directory }

function createFixture (maxRemovalShare = 0.5): Fixture {
  const clock = ManualClock.create()
  const notices = Notices.create({ clock })
  const directory = Directory.create({ clock, notices, logger: Logger.createSilent(), getMaxRemovalShare: () => maxRemovalShare })
  return { clock, notices, directory }
}

function listMembers (...numbers: number[]): Member[] {
  return numbers.map(number => createMember(number))
}

function liveIds (directory: Directory): string[] {
  return directory.liveMembers('orders').map(member => member.id)
}

directories('an older or repeated list changes nothing', () => {
  const { directory } = createFixture()
  directory.accept({ service: 'orders', version: 5, members: listMembers(1, 2) })
  assert.not.ok(directory.accept({ service: 'orders', version: 5, members: listMembers(3) }))
  assert.not.ok(directory.accept({ service: 'orders', version: 4, members: [] }))
  assert.equal(liveIds(directory), ['orders-1', 'orders-2'])
})

directories('a member that the list removes alone is removed immediately', () => {
  const { directory } = createFixture()
  directory.accept({ service: 'orders', version: 1, members: listMembers(1, 2, 3) })
  directory.accept({ service: 'orders', version: 2, members: listMembers(1, 2) })
  assert.equal(liveIds(directory), ['orders-1', 'orders-2'])
})

directories('an empty list takes effect only after a minute without answers from the members', async () => {
  const { directory, clock } = createFixture()
  directory.accept({ service: 'orders', version: 1, members: listMembers(1, 2, 3) })
  directory.accept({ service: 'orders', version: 2, members: [] })
  await clock.advance(59_000)
  assert.is(liveIds(directory).length, 3)
  await clock.advance(2_000)
  assert.is(liveIds(directory).length, 0)
})

directories('members that still answer stay live after a list removed them', async () => {
  const { directory, clock } = createFixture()
  const [first] = listMembers(1) as [Member]
  directory.accept({ service: 'orders', version: 1, members: listMembers(1, 2, 3) })
  directory.accept({ service: 'orders', version: 2, members: [] })
  await clock.advance(50_000)
  directory.recordAnswer(first, 'a')
  await clock.advance(20_000)
  assert.equal(liveIds(directory), ['orders-1'])
})

directories('a list that marks most members as leaving raises suspicions like one that removes them', () => {
  const { directory } = createFixture()
  directory.accept({ service: 'orders', version: 1, members: listMembers(1, 2, 3) })
  const leaving = listMembers(1, 2, 3).map((member): Member => ({ ...member, state: 'leaving' }))
  directory.accept({ service: 'orders', version: 2, members: leaving })
  assert.is(liveIds(directory).length, 3)
})

directories('a member listed as leaving receives no new calls but stays a member', () => {
  const { directory } = createFixture()
  directory.accept({ service: 'orders', version: 1, members: [createMember(1), createMember(2, { state: 'leaving' })] })
  assert.equal(liveIds(directory), ['orders-1'])
  assert.is(directory.members('orders').length, 2)
})

directories('a leaving node\'s announcement takes precedence over a list that lags', () => {
  const { directory, notices } = createFixture()
  directory.accept({ service: 'orders', version: 1, members: listMembers(1, 2) })
  directory.recordAnswer(createMember(2), 'old')
  notices.add('leaving', 'orders/orders-2/old', 60_000)
  assert.equal(liveIds(directory), ['orders-1'])
})

directories('an announcement of a replaced incarnation does not apply to its successor, in either order', () => {
  for (const announcements of [['leaving/old', 'started/new'], ['started/new', 'leaving/old']]) {
    const { directory, notices } = createFixture()
    directory.accept({ service: 'orders', version: 1, members: listMembers(1, 2) })
    for (const announcement of announcements) {
      const [kind, incarnation] = announcement.split('/') as ['leaving' | 'started', string]
      notices.add(kind, `orders/orders-2/${incarnation}`, 60_000)
    }
    assert.equal(liveIds(directory), ['orders-1', 'orders-2'], announcements.join(' then '))
  }
})

directories('a flapping member receives no new calls until it has stayed listed', async () => {
  const { directory, clock } = createFixture()
  let version = 1
  directory.accept({ service: 'orders', version, members: listMembers(1, 2, 3) })
  for (let round = 0; round < 3; round++) {
    directory.accept({ service: 'orders', version: ++version, members: listMembers(1, 2) })
    await clock.advance(1_000)
    directory.accept({ service: 'orders', version: ++version, members: listMembers(1, 2, 3) })
    await clock.advance(1_000)
  }
  assert.equal(liveIds(directory), ['orders-1', 'orders-2'])
  await clock.advance(30_000)
  assert.equal(liveIds(directory), ['orders-1', 'orders-2', 'orders-3'])
})

directories('a flapping member is used when no other target is live', async () => {
  const { directory, clock } = createFixture()
  let version = 0
  for (let round = 0; round < 4; round++) {
    directory.accept({ service: 'orders', version: ++version, members: listMembers(1) })
    await clock.advance(1_000)
    directory.accept({ service: 'orders', version: ++version, members: [] })
  }
  directory.accept({ service: 'orders', version: ++version, members: listMembers(1) })
  assert.equal(liveIds(directory), ['orders-1'])
})

directories('changes are emitted once for each change of the view', () => {
  const { directory, clock } = createFixture()
  const emitted: string[] = []
  subscribe(clock, directory.changes, service => { emitted.push(service) }, error => { throw error })
  directory.accept({ service: 'orders', version: 1, members: listMembers(1, 2) })
  directory.accept({ service: 'orders', version: 2, members: listMembers(1, 2) })
  directory.recordAnswer(createMember(1), 'a')
  directory.accept({ service: 'orders', version: 3, members: listMembers(1) })
  assert.equal(emitted, ['orders', 'orders'])
})

directories('the array of live members stays the same until members change', () => {
  const { directory } = createFixture()
  directory.accept({ service: 'orders', version: 1, members: listMembers(1, 2) })
  const before = directory.liveMembers('orders')
  directory.recordAnswer(createMember(1), 'a')
  assert.ok(directory.liveMembers('orders') === before)
})

directories('the incarnation of a removed member is deleted', () => {
  const { directory } = createFixture()
  directory.accept({ service: 'orders', version: 1, members: listMembers(1, 2, 3) })
  directory.recordAnswer(createMember(3), 'a')
  directory.accept({ service: 'orders', version: 2, members: listMembers(1, 2) })
  assert.is(directory.getIncarnation('orders-3'), undefined)
})

directories.run()
