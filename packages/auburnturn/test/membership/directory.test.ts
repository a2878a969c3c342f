import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Directory, Logger, ManualClock, Notices, subscribe } from '../../src/index.js'
import type { Member } from '../../src/index.js'
import { createMember } from '../fixtures/members.js'

const directories = suite('directory')

interface Setting { readonly clock: ManualClock, readonly notices: Notices, readonly directory: Directory }

function createSetting (floor = 0.5): Setting {
  const clock = ManualClock.create()
  const notices = Notices.create({ clock })
  const directory = Directory.create({ clock, notices, logger: Logger.createSilent(), floorOf: () => floor })
  return { clock, notices, directory }
}

function listMembers (...numbers: number[]): Member[] {
  return numbers.map(number => createMember(number))
}

function liveIds (directory: Directory): string[] {
  return directory.liveMembers('orders').map(member => member.id)
}

directories('an older or repeated list changes nothing', () => {
  const { directory } = createSetting()
  directory.accept({ service: 'orders', version: 5, members: listMembers(1, 2) })
  assert.not.ok(directory.accept({ service: 'orders', version: 5, members: listMembers(3) }))
  assert.not.ok(directory.accept({ service: 'orders', version: 4, members: [] }))
  assert.equal(liveIds(directory), ['orders-1', 'orders-2'])
})

directories('a member that the list drops alone is gone at once', () => {
  const { directory } = createSetting()
  directory.accept({ service: 'orders', version: 1, members: listMembers(1, 2, 3) })
  directory.accept({ service: 'orders', version: 2, members: listMembers(1, 2) })
  assert.equal(liveIds(directory), ['orders-1', 'orders-2'])
})

directories('an empty list is not believed at once, and is believed after a minute of silence', async () => {
  const { directory, clock } = createSetting()
  directory.accept({ service: 'orders', version: 1, members: listMembers(1, 2, 3) })
  directory.accept({ service: 'orders', version: 2, members: [] })
  await clock.advance(59_000)
  assert.is(liveIds(directory).length, 3)
  await clock.advance(2_000)
  assert.is(liveIds(directory).length, 0)
})

directories('members that still answer outlast a list that lost them', async () => {
  const { directory, clock } = createSetting()
  const [first] = listMembers(1) as [Member]
  directory.accept({ service: 'orders', version: 1, members: listMembers(1, 2, 3) })
  directory.accept({ service: 'orders', version: 2, members: [] })
  await clock.advance(50_000)
  directory.observe(first, 'a')
  await clock.advance(20_000)
  assert.equal(liveIds(directory), ['orders-1'])
})

directories('a list that turns most members to leaving is doubted like one that drops them', () => {
  const { directory } = createSetting()
  directory.accept({ service: 'orders', version: 1, members: listMembers(1, 2, 3) })
  const leaving = listMembers(1, 2, 3).map((member): Member => ({ ...member, state: 'leaving' }))
  directory.accept({ service: 'orders', version: 2, members: leaving })
  assert.is(liveIds(directory).length, 3)
})

directories('one leaving member receives no new work while the list still names it', () => {
  const { directory } = createSetting()
  directory.accept({ service: 'orders', version: 1, members: [createMember(1), createMember(2, { state: 'leaving' })] })
  assert.equal(liveIds(directory), ['orders-1'])
  assert.is(directory.members('orders').length, 2)
})

directories('a leaving node\'s own word outranks a list that lags', () => {
  const { directory, notices } = createSetting()
  directory.accept({ service: 'orders', version: 1, members: listMembers(1, 2) })
  directory.observe(createMember(2), 'old')
  notices.add('leaving', 'orders/orders-2/old', 60_000)
  assert.equal(liveIds(directory), ['orders-1'])
})

directories('the word of a replaced incarnation says nothing about its successor, in either order', () => {
  for (const words of [['leaving/old', 'started/new'], ['started/new', 'leaving/old']]) {
    const { directory, notices } = createSetting()
    directory.accept({ service: 'orders', version: 1, members: listMembers(1, 2) })
    for (const word of words) {
      const [kind, incarnation] = word.split('/') as ['leaving' | 'started', string]
      notices.add(kind, `orders/orders-2/${incarnation}`, 60_000)
    }
    assert.equal(liveIds(directory), ['orders-1', 'orders-2'], words.join(' then '))
  }
})

directories('a member that comes and goes is held back until it stays', async () => {
  const { directory, clock } = createSetting()
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

directories('a flapping member is used when there is no other', async () => {
  const { directory, clock } = createSetting()
  let version = 0
  for (let round = 0; round < 4; round++) {
    directory.accept({ service: 'orders', version: ++version, members: listMembers(1) })
    await clock.advance(1_000)
    directory.accept({ service: 'orders', version: ++version, members: [] })
  }
  directory.accept({ service: 'orders', version: ++version, members: listMembers(1) })
  assert.equal(liveIds(directory), ['orders-1'])
})

directories('changes are told once for each change that matters', () => {
  const { directory, clock } = createSetting()
  const told: string[] = []
  subscribe(clock, directory.changes, service => { told.push(service) }, error => { throw error })
  directory.accept({ service: 'orders', version: 1, members: listMembers(1, 2) })
  directory.accept({ service: 'orders', version: 2, members: listMembers(1, 2) })
  directory.observe(createMember(1), 'a')
  directory.accept({ service: 'orders', version: 3, members: listMembers(1) })
  assert.equal(told, ['orders', 'orders'])
})

directories('the array of live members stays the same until members change', () => {
  const { directory } = createSetting()
  directory.accept({ service: 'orders', version: 1, members: listMembers(1, 2) })
  const before = directory.liveMembers('orders')
  directory.observe(createMember(1), 'a')
  assert.ok(directory.liveMembers('orders') === before)
})

directories('the incarnation of a member that is gone is forgotten', () => {
  const { directory } = createSetting()
  directory.accept({ service: 'orders', version: 1, members: listMembers(1, 2, 3) })
  directory.observe(createMember(3), 'a')
  directory.accept({ service: 'orders', version: 2, members: listMembers(1, 2) })
  assert.is(directory.incarnationOf('orders-3'), undefined)
})

directories.run()
