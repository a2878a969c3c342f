import fc from 'fast-check'
import { isIP } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ManualClock } from '../../src/index.js'
import type { Member } from '../../src/index.js'
import { Digest } from '../../src/core/configuration/digest.js'
import { parseMembers } from '../../src/core/platform/decode-members.js'
import { configurationPageSchema, memberPageSchema } from '../../src/core/platform/schemas.js'
import { MemberListStore } from '../../src/core/relay/member-list-store.js'
import { createMember } from '../fixtures/members.js'

const pages = suite('odd entries of the platform')

const seed = 29

const oddJsonTexts = ['null', '-1', '-0', '0', '1.5', '1e308', '1e999', '9007199254740993', '65536', '""', '"a\\nb"', '"\\ud800"', '"999.0.0.1"', '"127.0.0.1:80"', JSON.stringify('x'.repeat(70_000)), '[]', '{}', '{"__proto__":{"id":"a"}}', '['.repeat(50_000) + ']'.repeat(50_000)]

/** JSON texts of a document in which up to three values are replaced by odd ones, and texts of any other shape. */
function createTexts (document: unknown): fc.Arbitrary<string> {
  const text = JSON.stringify(document)
  const value = /(?<=:)("[^"]*"|-?\d+|null)(?=[,}\]])/g
  const places = [...text.matchAll(value)].length
  const replaced = fc.dictionary(fc.integer({ min: 0, max: places - 1 }).map(String), fc.constantFrom(...oddJsonTexts), { minKeys: 1, maxKeys: 3 }).map(replacements => {
    let place = 0
    return text.replace(value, found => replacements[String(place++)] ?? found)
  })
  return fc.oneof(replaced, fc.json(), fc.constantFrom(...oddJsonTexts))
}

function assertMember ({ id, service, region, failureDomain, ip, peerPort, controlPort, state }: Member): void {
  for (const name of [id, service, region, failureDomain]) assert.ok(typeof name === 'string' && name !== '' && name.length <= 200)
  assert.ok(isIP(ip) > 0 && [peerPort, controlPort].every(port => Number.isInteger(port) && port >= 1 && port <= 65_535), `${ip} ${peerPort} ${controlPort}`)
  assert.ok(state === 'live' || state === 'leaving')
}

const memberPage = { revision: 9, lists: [{ service: 'orders', version: 8, members: [createMember(1), createMember(2)] }, { service: 'stock', version: 9, members: [createMember(1, { service: 'stock' })] }] }
const configurationPage = { revision: 9, entries: [{ key: 'profile/calm', version: 8, text: '{}' }, { key: 'service/orders', version: 9, text: null }] }

// Guards against a daemon that stops following the members because one of them is odd (issue 29).
pages('a page of members is decoded without the odd ones; the others hold', () => {
  fc.assert(fc.property(createTexts(memberPage), text => {
    const page = memberPageSchema.safeParse(JSON.parse(text)).data
    if (page === undefined) return
    for (const { version, members } of page.lists) {
      assert.ok(Number.isSafeInteger(version) && version >= 0 && version <= page.revision)
      members.forEach(assertMember)
    }
  }), { seed, numRuns: 2_000 })
  const oddMembers = [null, 7, {}, { ...createMember(3), peerPort: 0 }, { ...createMember(3), controlPort: 99_999 }, { ...createMember(3), ip: '999.0.0.1' }, { ...createMember(3), state: 'asleep' }, { ...createMember(3), id: 'x'.repeat(300) }]
  const page = memberPageSchema.parse({ revision: 9, lists: [null, { service: 'stock', version: 10, members: [] }, { service: 'orders', version: 9, members: [...oddMembers, createMember(1)] }] })
  assert.equal(page, { revision: 9, leftOut: 2, lists: [{ service: 'orders', version: 9, members: [createMember(1)], leftOut: oddMembers.length }] })
})

// Guards against a daemon that stops following the configuration because one entry is odd, or outranks all later ones (issue 29).
pages('a page of the configuration is decoded without the odd entries; the others hold', () => {
  fc.assert(fc.property(createTexts(configurationPage), text => {
    const page = configurationPageSchema.safeParse(JSON.parse(text)).data
    for (const entry of page?.entries ?? []) {
      assert.ok(typeof entry.key === 'string' && Number.isSafeInteger(entry.version) && entry.version >= 0 && entry.version <= (page?.revision ?? 0))
      assert.ok(entry.text === undefined || typeof entry.text === 'string')
    }
  }), { seed, numRuns: 2_000 })
  const [first] = configurationPage.entries
  const page = configurationPageSchema.parse({ revision: 9, entries: [null, 7, { ...first, version: 1e308 }, { ...first, version: 10 }, { ...first, text: 7 }, { ...first, key: 7 }, first] })
  assert.equal(page, { revision: 9, entries: [first], leftOut: 6 })
})

// Guards against odd members, and versions that can't be sent on, in what another node sends (issue 29).
pages('the members that another node sends are decoded without the odd ones', () => {
  fc.assert(fc.property(createTexts([createMember(1), createMember(2)]), text => { parseMembers(text)?.forEach(assertMember) }), { seed, numRuns: 1_000 })
  const store = MemberListStore.create({ digest: Digest.create(), clock: ManualClock.create() })
  const text = JSON.stringify([null, createMember(1)])
  for (const version of [Number(2n ** 64n), 1.5, -1, NaN]) assert.is(store.accept({ key: 'members/orders', version, text }, 'peer'), 'rejected')
  assert.is(store.accept({ key: 'members/orders', version: 3, text }, 'peer'), 'accepted')
  assert.is(store.size, 1)
})

pages.run()
