import fc from 'fast-check'
import { ManualClock } from 'auburnturn/core/clock'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SubscriberList, Subscriber } from '../src/core/reports/index.js'
import { LocationIndex, PeerSelection } from '../src/core/targets/index.js'
import type { ListedTarget, TargetLocation } from '../src/core/targets/index.js'

const test = suite('selection')

/** `count` targets of each service, dealt over the failure domains. */
function createPlaces (services: readonly string[], count: number, domains: readonly string[]): TargetLocation[] {
  return services.flatMap((service, serviceIndex) => Array.from({ length: count }, (_, index) => ({
    ip: `10.${serviceIndex}.${Math.floor(index / 250)}.${index % 250}`,
    service,
    failureDomain: domains[index % domains.length] as string
  })))
}

function indexOf (places: readonly TargetLocation[]): LocationIndex {
  const index = LocationIndex.create()
  for (const place of places) index.addListed({ ...place, id: `i-${place.ip}`, address: `${place.ip}:80`, slots: 8, state: 'ready', coldMs: 0 })
  return index
}

function select (ip: string, failureDomain: string, places: readonly TargetLocation[]): PeerSelection {
  const selection = PeerSelection.create({ clock: ManualClock.create(), ip, failureDomain })
  selection.refresh(indexOf(places))
  return selection
}

test('in a small deployment every node listens to all others', () => {
  const places = createPlaces(['shop', 'stock', 'orders'], 4, ['a', 'b', 'c'])
  assert.is(select('10.0.0.0', 'a', places).addresses.size, places.length - 1)
})

test('what a node listens to does not grow with the deployment', () => {
  const sizes = [30, 100, 300, 6_000].map(count => select('10.0.0.0', 'a', createPlaces(['shop', 'stock', 'orders'], count, ['a', 'b', 'c'])).addresses.size)
  assert.ok(Math.max(...sizes) <= 3 * (5 + 2), String(sizes))
})

test('nodes listen to different targets, so that each target has about as many listeners', () => {
  const places = createPlaces(['shop'], 120, ['a', 'b', 'c'])
  const listeners = new Map<string, number>()
  for (const { ip, failureDomain } of places) for (const chosen of select(ip, failureDomain, places).addresses) listeners.set(chosen, (listeners.get(chosen) ?? 0) + 1)
  const counts = places.map(({ ip }) => listeners.get(ip) ?? 0)
  assert.ok(Math.min(...counts) >= 1 && Math.max(...counts) <= 21, `${Math.min(...counts)} to ${Math.max(...counts)}`)
})

test('one target more or less changes little', () => {
  const places = createPlaces(['shop'], 120, ['a', 'b', 'c'])
  const before = select('10.0.0.0', 'a', places).addresses
  const after = select('10.0.0.0', 'a', places.filter(({ ip }) => ip !== [...before][0])).addresses
  assert.is([...after].filter(ip => !before.has(ip)).length, 1)
})

test('a shortage widens the selection step by step, for a while', async () => {
  const clock = ManualClock.create()
  const places = createPlaces(['shop'], 120, ['a', 'b', 'c'])
  const index = indexOf(places)
  const selection = PeerSelection.create({ clock, ip: '10.0.0.0', failureDomain: 'a' })
  selection.refresh(index)
  const usual = selection.addresses.size
  assert.is(selection.widen('shop'), true)
  assert.is(selection.widen('shop'), false)
  selection.refresh(index)
  assert.is(selection.addresses.size, usual * 2)
  await clock.advance(400)
  assert.is(selection.widen('shop'), true)
  selection.refresh(index)
  assert.ok(selection.addresses.size > usual * 2)
  await clock.advance(4_000)
  selection.refresh(index)
  assert.is(selection.addresses.size, usual)
})

test('the index of places agrees with a plain list, whatever comes and goes', () => {
  const services = ['shop', 'stock']
  const step = fc.record({ ip: fc.integer({ min: 0, max: 3 }), id: fc.integer({ min: 0, max: 5 }), service: fc.constantFrom(...services), failureDomain: fc.constantFrom('a', 'b'), what: fc.constantFrom('list', 'unlist', 'hear', 'forget') })
  fc.assert(fc.property(fc.array(step, { maxLength: 40 }), steps => {
    const index = LocationIndex.create()
    const listed = new Map<string, ListedTarget>()
    const heard = new Map<string, string>()
    for (const { ip: number, id, service, failureDomain, what } of steps) {
      const ip = `10.0.0.${number}`
      const target: ListedTarget = { id: `i-${id}`, service, ip, address: `${ip}:80`, failureDomain, slots: 8, state: 'ready', coldMs: 0 }
      const known = listed.get(target.id)
      if (what === 'hear') {
        index.recordReport(ip, { id: '', service, failureDomain, state: 'up', fresh: false, running: 0, waiting: 0, limit: 1, slowness: 1, failures: 0 })
        heard.set(ip, service)
      } else if (what === 'forget') {
        index.removeReport(ip)
        heard.delete(ip)
      } else {
        if (known !== undefined) index.removeListed(known)
        listed.delete(target.id)
        if (what === 'list') {
          index.addListed(target)
          listed.set(target.id, target)
        }
      }
    }
    const places = [...[...listed.values()].map(({ ip, service }) => ({ ip, service })), ...[...heard].map(([ip, service]) => ({ ip, service }))]
    assert.equal([...index.addresses].sort(), [...new Set(places.map(({ ip }) => ip))].sort())
    for (const service of services) {
      const expected = new Set(places.filter(place => place.service === service).map(({ ip }) => ip))
      assert.equal(index.locationsOf(service).map(({ ip }) => ip).sort(), [...expected].sort())
    }
    assert.is(index.domainCount, new Set([...index.addresses].map(ip => index.domainOf(ip))).size)
  }), { seed: 7 })
})

test('a node that is asked for reports sends them until nobody has asked for seconds', async () => {
  const clock = ManualClock.create()
  const audience = SubscriberList.create({ clock })
  assert.is(audience.recordSubscription('10.0.0.1'), true)
  await clock.advance(1_000)
  assert.is(audience.recordSubscription('10.0.0.1'), false)
  await clock.advance(9_000)
  assert.equal(audience.list(), ['10.0.0.1'])
  await clock.advance(1_000)
  assert.equal(audience.list(), [])
  assert.is(audience.recordSubscription('10.0.0.1'), true)
})

test('new nodes are asked at once, silent ones again each second, the others before their reports end', async () => {
  const clock = ManualClock.create()
  const asked: string[] = []
  const silent = new Set(['three'])
  let wanted = new Set(['one'])
  const subscriber = Subscriber.create({
    clock,
    refreshSources: () => {},
    sources: () => wanted,
    reportAgeMs: ip => silent.has(ip) ? Infinity : 100,
    send: (_bytes, ip) => { asked.push(ip) }
  })
  await clock.advance(10)
  wanted = new Set(['one', 'two', 'three'])
  subscriber.renewSubscriptions()
  assert.equal(asked.splice(0), ['one', 'two', 'three'])
  await clock.advance(1_000)
  assert.equal(asked.splice(0), ['three'])
  await clock.advance(3_000)
  subscriber.close()
  assert.equal(asked.filter(ip => ip !== 'three'), ['one', 'two'])
  assert.is(asked.length, 5)
})

test.run()
