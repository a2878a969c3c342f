import * as fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Digest, Tombstones } from '../../src/core/configuration/index.js'
import { Logger, ManualClock, ConfigurationStore } from '../../src/index.js'
import type { Entry } from '../../src/index.js'

const store = suite('store')

function createStore (tombstones?: number): ConfigurationStore {
  const bounds = tombstones === undefined ? {} : { tombstones }
  return ConfigurationStore.create({ clock: ManualClock.create(), logger: Logger.createSilent(), bounds })
}

function profile (version: number, callMs: number): Entry {
  return { key: 'profile/calm', version, text: `{ "timeouts": { "callMs": ${callMs} } }` }
}

const choice: Entry = { key: 'service/orders', version: 1, text: '{ "profile": "calm" }' }

function callMsOf (one: ConfigurationStore): number {
  return one.getProfile('orders').timeouts.callMs
}

store('an older version never comes into force, an old text under a new version does', () => {
  const one = createStore()
  one.accept(choice, 'platform')
  one.accept(profile(5, 2000), 'platform')
  assert.is(one.accept(profile(4, 1000), 'platform'), 'older')
  assert.is(callMsOf(one), 2000)
  assert.is(one.accept(profile(6, 1000), 'platform'), 'accepted')
  assert.is(callMsOf(one), 1000)
  assert.equal((one.dump() as { olderOffered: unknown }).olderOffered, { platform: 1, peer: 0 })
})

store('an invalid document is refused whole and the last good one stays', () => {
  const one = createStore()
  one.accept(choice, 'platform')
  one.accept(profile(2, 2000), 'platform')
  assert.is(one.accept({ key: 'profile/calm', version: 3, text: '{ "timeouts": { "callMs": 1, "connectMs": "x" } }' }, 'platform'), 'rejected')
  assert.is(callMsOf(one), 2000)
  const { rejected } = one.dump() as { rejected: Array<{ key: string, version: number, problems: Array<{ key: string }> }> }
  assert.equal(rejected.map(({ key, version, problems }) => [key, version, problems[0]?.key]), [['profile/calm', 3, 'timeouts.connectMs']])
  one.accept(profile(4, 3000), 'platform')
  assert.equal((one.dump() as { rejected: unknown }).rejected, [])
})

store('a text larger than a value of the platform is refused with its size', () => {
  const one = createStore()
  assert.is(one.accept({ key: 'profile/calm', version: 1, text: `{ "note": "${'x'.repeat(1_048_576)}" }` }, 'platform'), 'rejected')
  assert.is(one.accept({ key: 'profile/big', version: 1, text: `{} // ${'x'.repeat(1_048_000)}` }, 'platform'), 'accepted')
})

store('a service whose profile is removed or unknown keeps its last good one, and the dump says so', () => {
  const one = createStore()
  one.accept(choice, 'platform')
  one.accept(profile(2, 2000), 'platform')
  one.accept({ key: 'profile/calm', version: 3, text: undefined }, 'platform')
  assert.is(callMsOf(one), 2000)
  one.accept({ key: 'service/orders', version: 4, text: '{ "profile": "nowhere" }' }, 'platform')
  assert.is(callMsOf(one), 2000)
  assert.equal((one.dump() as { unresolved: unknown }).unresolved, [{ service: 'orders', profile: 'nowhere', uses: 'last good' }])
})

store('a node that only ever saw the refused edition takes the last good one from a peer', () => {
  const old = createStore()
  for (const entry of [choice, profile(2, 2000), { ...profile(3, 1), text: '{ nonsense' }]) old.accept(entry, 'platform')
  const fresh = createStore()
  fresh.accept(choice, 'platform')
  fresh.accept({ ...profile(3, 1), text: '{ nonsense' }, 'platform')
  fresh.accept(old.get('profile/calm') as Entry, 'peer')
  assert.is(callMsOf(fresh), 2000)
  assert.is(fresh.digest.total, old.digest.total)
})

store('what is removed stays removed, also when its tombstone was forgotten', () => {
  const one = createStore(10)
  for (let index = 0; index < 12; index++) {
    one.accept({ key: `service/service-${index}`, version: 10 + index, text: choice.text }, 'platform')
    one.accept({ key: `service/service-${index}`, version: 100 + index, text: undefined }, 'platform')
  }
  assert.ok((one.dump() as { tombstones: number }).tombstones <= 10)
  for (let index = 0; index < 12; index++) one.accept({ key: `service/service-${index}`, version: 10 + index, text: choice.text }, 'peer')
  assert.not.ok(Array.from({ length: 12 }, (_, index) => one.hasService(`service-${index}`)).some(Boolean))
})

store('nodes that hear the same entries in any order end with the same, conflicts included', () => {
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

store('two texts of one version are a conflict that the dump shows', () => {
  const one = createStore()
  const results = [one.accept(profile(2, 1000), 'platform'), one.accept(profile(2, 2000), 'peer')]
  const other = createStore()
  results.push(other.accept(profile(2, 2000), 'platform'), other.accept(profile(2, 1000), 'peer'))
  assert.is(one.digest.total, other.digest.total)
  assert.is(results.filter(result => result === 'conflict').length, 1)
  for (const each of [one, other]) assert.is((each.dump() as { conflicts: unknown[] }).conflicts.length, 1)
})

store('a digest tells a change in any one entry and where to look', () => {
  const [one, other] = [Digest.create(), Digest.create()]
  for (let index = 0; index < 500; index++) for (const digest of [one, other]) digest.set({ key: `profile/${index}`, version: index, text: '{}' })
  assert.is(one.total, other.total)
  other.set({ key: 'profile/77', version: 77, text: '{ }' })
  assert.is.not(one.total, other.total)
  const differing = one.buckets.flatMap((hash, bucket) => hash === other.buckets[bucket] ? [] : [bucket])
  assert.is(differing.length, 1)
  assert.ok([...one.keysIn(new Set(differing))].includes('profile/77'))
})

store('tombstones forget the lowest versions first and remember how far', () => {
  const tombstones = Tombstones.create(3)
  assert.equal(['a', 'b', 'c'].flatMap((key, index) => tombstones.add(key, 30 - index)), [])
  assert.equal(tombstones.add('d', 40), ['c'])
  assert.is(tombstones.highestEvictedVersion, 28)
})

store.run()
