import * as fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Digest, Tombstones } from '../../src/core/configuration/index.js'
import { ConfigurationStore, Logger, ManualClock } from '../../src/index.js'
import type { Entry } from '../../src/index.js'

const storeSuite = suite('configuration store')

function createStore (maxTombstones?: number): ConfigurationStore {
  const limits = maxTombstones === undefined ? {} : { maxTombstones }
  return ConfigurationStore.create({ clock: ManualClock.create(), logger: Logger.createSilent(), limits })
}

function createProfile (version: number, callMs: number): Entry {
  return { key: 'profile/calm', version, text: `{ "timeouts": { "callMs": ${callMs} } }` }
}

const serviceEntry: Entry = { key: 'service/orders', version: 1, text: '{ "profile": "calm" }' }

function getCallMs (store: ConfigurationStore): number {
  return store.getProfile('orders').timeouts.callMs
}

storeSuite('an older version never becomes active, but an old text with a new version does', () => {
  const store = createStore()
  store.accept(serviceEntry, 'platform')
  store.accept(createProfile(5, 2000), 'platform')
  assert.is(store.accept(createProfile(4, 1000), 'platform'), 'older')
  assert.is(getCallMs(store), 2000)
  assert.is(store.accept(createProfile(6, 1000), 'platform'), 'accepted')
  assert.is(getCallMs(store), 1000)
  assert.equal((store.dump() as { olderOffered: unknown }).olderOffered, { platform: 1, peer: 0 })
})

storeSuite('an invalid document is rejected as a whole and the last good one stays active', () => {
  const store = createStore()
  store.accept(serviceEntry, 'platform')
  store.accept(createProfile(2, 2000), 'platform')
  assert.is(store.accept({ key: 'profile/calm', version: 3, text: '{ "timeouts": { "callMs": 1, "connectMs": "x" } }' }, 'platform'), 'rejected')
  assert.is(getCallMs(store), 2000)
  const { rejected } = store.dump() as { rejected: Array<{ key: string, version: number, problems: Array<{ key: string }> }> }
  assert.equal(rejected.map(({ key, version, problems }) => [key, version, problems[0]?.key]), [['profile/calm', 3, 'timeouts.connectMs']])
  store.accept(createProfile(4, 3000), 'platform')
  assert.equal((store.dump() as { rejected: unknown }).rejected, [])
})

storeSuite('a text larger than the maximum of a platform value is rejected', () => {
  const store = createStore()
  assert.is(store.accept({ key: 'profile/calm', version: 1, text: `{ "note": "${'x'.repeat(1_048_576)}" }` }, 'platform'), 'rejected')
  assert.is(store.accept({ key: 'profile/big', version: 1, text: `{} // ${'x'.repeat(1_048_000)}` }, 'platform'), 'accepted')
})

storeSuite('a service whose profile is removed or unknown keeps its last good one, and the dump shows it', () => {
  const store = createStore()
  store.accept(serviceEntry, 'platform')
  store.accept(createProfile(2, 2000), 'platform')
  store.accept({ key: 'profile/calm', version: 3, text: undefined }, 'platform')
  assert.is(getCallMs(store), 2000)
  store.accept({ key: 'service/orders', version: 4, text: '{ "profile": "nowhere" }' }, 'platform')
  assert.is(getCallMs(store), 2000)
  assert.equal((store.dump() as { unresolved: unknown }).unresolved, [{ service: 'orders', profile: 'nowhere', uses: 'last good' }])
})

storeSuite('a node that received only the rejected edition accepts the last good one from a peer', () => {
  const established = createStore()
  for (const entry of [serviceEntry, createProfile(2, 2000), { ...createProfile(3, 1), text: '{ nonsense' }]) established.accept(entry, 'platform')
  const started = createStore()
  started.accept(serviceEntry, 'platform')
  started.accept({ ...createProfile(3, 1), text: '{ nonsense' }, 'platform')
  started.accept(established.get('profile/calm') as Entry, 'peer')
  assert.is(getCallMs(started), 2000)
  assert.is(started.digest.total, established.digest.total)
})

storeSuite('a removed entry stays removed after its tombstone was evicted', () => {
  const store = createStore(10)
  for (let index = 0; index < 12; index++) {
    store.accept({ key: `service/service-${index}`, version: 10 + index, text: serviceEntry.text }, 'platform')
    store.accept({ key: `service/service-${index}`, version: 100 + index, text: undefined }, 'platform')
  }
  assert.ok((store.dump() as { tombstones: number }).tombstones <= 10)
  for (let index = 0; index < 12; index++) store.accept({ key: `service/service-${index}`, version: 10 + index, text: serviceEntry.text }, 'peer')
  assert.not.ok(Array.from({ length: 12 }, (_, index) => store.hasService(`service-${index}`)).some(Boolean))
})

storeSuite('nodes that receive the same entries in any order converge, also on conflicts', () => {
  const entry = fc.record({
    key: fc.constantFrom('profile/calm', 'profile/other', 'service/orders'),
    version: fc.integer({ min: 1, max: 4 }),
    text: fc.constantFrom(undefined, '{}', '{ "note": "a" }', '{ nonsense', '{ "profile": "calm" }', '{ "profile": "other" }')
  })
  fc.assert(fc.property(fc.array(entry, { maxLength: 12 }), fc.integer(), (entries, seed) => {
    const shuffled = [...entries].sort((one, other) => ((one.version * 7919 + seed) % 13) - ((other.version * 7919 + seed) % 13)).reverse()
    const [one, other] = [createStore(), createStore()]
    for (const each of entries) one.accept(each, 'peer')
    for (const each of shuffled) other.accept(each, 'platform')
    assert.is(one.digest.total, other.digest.total)
    assert.equal(one.getProfile('orders').note === '' || one.getProfile('orders').note === 'a', true)
  }), { seed: 5, numRuns: 500 })
})

storeSuite('two texts with the same version are a conflict that the dump shows', () => {
  const one = createStore()
  const results = [one.accept(createProfile(2, 1000), 'platform'), one.accept(createProfile(2, 2000), 'peer')]
  const other = createStore()
  results.push(other.accept(createProfile(2, 2000), 'platform'), other.accept(createProfile(2, 1000), 'peer'))
  assert.is(one.digest.total, other.digest.total)
  assert.is(results.filter(result => result === 'conflict').length, 1)
  for (const each of [one, other]) assert.is((each.dump() as { conflicts: unknown[] }).conflicts.length, 1)
})

storeSuite('a digest shows a change of any single entry and its bucket', () => {
  const [one, other] = [Digest.create(), Digest.create()]
  for (let index = 0; index < 500; index++) for (const digest of [one, other]) digest.set({ key: `profile/${index}`, version: index, text: '{}' })
  assert.is(one.total, other.total)
  other.set({ key: 'profile/77', version: 77, text: '{ }' })
  assert.is.not(one.total, other.total)
  const differing = one.buckets.flatMap((hash, bucket) => hash === other.buckets[bucket] ? [] : [bucket])
  assert.is(differing.length, 1)
  assert.ok([...one.keysIn(new Set(differing))].includes('profile/77'))
})

storeSuite('tombstones with the lowest versions are evicted first, and the highest evicted version is recorded', () => {
  const tombstones = Tombstones.create(3)
  assert.equal(['a', 'b', 'c'].flatMap((key, index) => tombstones.add(key, 30 - index)), [])
  assert.equal(tombstones.add('d', 40), ['c'])
  assert.is(tombstones.highestEvictedVersion, 28)
})

storeSuite.run()
