import fc from 'fast-check'
import { ManualClock } from 'auburnturn/core/clock'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { unlimited } from '../src/core/rate-limit/index.js'
import { Subscriber, SubscriberList } from '../src/core/reports/index.js'
import { LocationIndex, PeerSelection } from '../src/core/targets/index.js'
import type { ListedTarget, TargetLocation } from '../src/core/targets/index.js'

const test = suite('selection')

/** Creates `count` targets of each service, spread evenly over the failure domains. */
function createLocations (services: readonly string[], count: number, domains: readonly string[]): TargetLocation[] {
  return services.flatMap((service, serviceIndex) => Array.from({ length: count }, (_, index) => ({
    ip: `10.${serviceIndex}.${Math.floor(index / 250)}.${index % 250}`,
    service,
    failureDomain: domains[index % domains.length] as string
  })))
}

function createIndex (locations: readonly TargetLocation[]): LocationIndex {
  const index = LocationIndex.create()
  for (const location of locations) index.addListed({ ...location, id: `i-${location.ip}`, address: `${location.ip}:80`, slots: 8, state: 'ready', coldMs: 0 })
  return index
}

function select (ip: string, failureDomain: string, locations: readonly TargetLocation[]): PeerSelection {
  const selection = PeerSelection.create({ clock: ManualClock.create(), ip, failureDomain })
  selection.refresh(createIndex(locations))
  return selection
}

test('in a small deployment every node subscribes to all others', () => {
  const locations = createLocations(['shop', 'stock', 'orders'], 4, ['a', 'b', 'c'])
  assert.is(select('10.0.0.0', 'a', locations).addresses.size, locations.length - 1)
})

test('the number of selected nodes does not grow with the deployment', () => {
  const sizes = [30, 100, 300, 6_000].map(count => select('10.0.0.0', 'a', createLocations(['shop', 'stock', 'orders'], count, ['a', 'b', 'c'])).addresses.size)
  assert.ok(Math.max(...sizes) <= 3 * (5 + 2), String(sizes))
})

test('nodes select different targets, so that the subscribers are spread over all targets', () => {
  const locations = createLocations(['shop'], 120, ['a', 'b', 'c'])
  const subscribers = new Map<string, number>()
  for (const { ip, failureDomain } of locations) for (const selected of select(ip, failureDomain, locations).addresses) subscribers.set(selected, (subscribers.get(selected) ?? 0) + 1)
  const counts = locations.map(({ ip }) => subscribers.get(ip) ?? 0)
  assert.ok(Math.min(...counts) >= 1 && Math.max(...counts) <= 21, `${Math.min(...counts)} to ${Math.max(...counts)}`)
})

test('the removal of one target replaces only that target in a selection', () => {
  const locations = createLocations(['shop'], 120, ['a', 'b', 'c'])
  const before = select('10.0.0.0', 'a', locations).addresses
  const after = select('10.0.0.0', 'a', locations.filter(({ ip }) => ip !== [...before][0])).addresses
  assert.is([...after].filter(ip => !before.has(ip)).length, 1)
})

test('a shortage widens the selection step by step and temporarily', async () => {
  const clock = ManualClock.create()
  const locations = createLocations(['shop'], 120, ['a', 'b', 'c'])
  const index = createIndex(locations)
  const selection = PeerSelection.create({ clock, ip: '10.0.0.0', failureDomain: 'a' })
  selection.refresh(index)
  const usualSize = selection.addresses.size
  assert.is(selection.widen('shop'), true)
  assert.is(selection.widen('shop'), false)
  selection.refresh(index)
  assert.is(selection.addresses.size, usualSize * 2)
  await clock.advance(400)
  assert.is(selection.widen('shop'), true)
  selection.refresh(index)
  assert.ok(selection.addresses.size > usualSize * 2)
  await clock.advance(4_000)
  selection.refresh(index)
  assert.is(selection.addresses.size, usualSize)
})

test('the location index agrees with a plain list after any sequence of changes', () => {
  const services = ['shop', 'stock']
  const step = fc.record({ ip: fc.integer({ min: 0, max: 3 }), id: fc.integer({ min: 0, max: 5 }), service: fc.constantFrom(...services), failureDomain: fc.constantFrom('a', 'b'), action: fc.constantFrom('list', 'unlist', 'report', 'expire') })
  fc.assert(fc.property(fc.array(step, { maxLength: 40 }), steps => {
    const index = LocationIndex.create()
    const listed = new Map<string, ListedTarget>()
    const reported = new Map<string, string>()
    for (const { ip: number, id, service, failureDomain, action } of steps) {
      const ip = `10.0.0.${number}`
      const target: ListedTarget = { id: `i-${id}`, service, ip, address: `${ip}:80`, failureDomain, slots: 8, state: 'ready', coldMs: 0 }
      const previous = listed.get(target.id)
      if (action === 'report') {
        index.recordReport(ip, { id: '', service, failureDomain, state: 'up', fresh: false, running: 0, waiting: 0, limit: 1, slowness: 1, failures: 0, rateLimit: unlimited, rateAllowance: unlimited })
        reported.set(ip, service)
      } else if (action === 'expire') {
        index.removeReport(ip)
        reported.delete(ip)
      } else {
        if (previous !== undefined) index.removeListed(previous)
        listed.delete(target.id)
        if (action === 'list') {
          index.addListed(target)
          listed.set(target.id, target)
        }
      }
    }
    const locations = [...[...listed.values()].map(({ ip, service }) => ({ ip, service })), ...[...reported].map(([ip, service]) => ({ ip, service }))]
    assert.equal([...index.addresses].sort(), [...new Set(locations.map(({ ip }) => ip))].sort())
    for (const service of services) {
      const expected = new Set(locations.filter(location => location.service === service).map(({ ip }) => ip))
      assert.equal(index.getServiceLocations(service).map(({ ip }) => ip).sort(), [...expected].sort())
    }
    assert.is(index.domainCount, new Set([...index.addresses].map(ip => index.getDomain(ip))).size)
  }), { seed: 7 })
})

test('a subscription expires if it is not renewed for several seconds', async () => {
  const clock = ManualClock.create()
  const subscribers = SubscriberList.create({ clock })
  assert.is(subscribers.recordSubscription('10.0.0.1'), true)
  await clock.advance(1_000)
  assert.is(subscribers.recordSubscription('10.0.0.1'), false)
  await clock.advance(9_000)
  assert.equal(subscribers.list(), ['10.0.0.1'])
  await clock.advance(1_000)
  assert.equal(subscribers.list(), [])
  assert.is(subscribers.recordSubscription('10.0.0.1'), true)
})

test('new sources are subscribed to immediately, unresponsive ones again each second, the others before their subscription expires', async () => {
  const clock = ManualClock.create()
  const subscribedTo: string[] = []
  const unresponsive = new Set(['three'])
  let selected = new Set(['one'])
  const subscriber = Subscriber.create({
    clock,
    refreshSources: () => {},
    sources: () => selected,
    getReportAgeMs: ip => unresponsive.has(ip) ? Infinity : 100,
    send: (_bytes, ip) => { subscribedTo.push(ip) }
  })
  await clock.advance(10)
  selected = new Set(['one', 'two', 'three'])
  subscriber.renewSubscriptions()
  assert.equal(subscribedTo.splice(0), ['one', 'two', 'three'])
  await clock.advance(1_000)
  assert.equal(subscribedTo.splice(0), ['three'])
  await clock.advance(3_000)
  subscriber.close()
  assert.equal(subscribedTo.filter(ip => ip !== 'three'), ['one', 'two'])
  assert.is(subscribedTo.length, 5)
})

test.run()
