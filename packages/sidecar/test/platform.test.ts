import { isFault } from 'auburnturn/core/errors'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { isAnswerToAttempt } from '../src/core/attribution/index.js'
import { decodeConfiguration, decodeTarget, parseSettings, protocol } from '../src/platform/index.js'

const test = suite('platform')

const targetEntry = { address: '10.0.0.9:8080', info: { service: 'shop', version: 'v1', zone: 'a', slots: 18 }, status: { state: 'ready', sequence: 4, cold_remaining_ms: 250 } }

test('an entry is decoded to its target', () => {
  assert.equal(decodeTarget('servers/i-1', targetEntry), { id: 'i-1', service: 'shop', address: '10.0.0.9:8080', ip: '10.0.0.9', failureDomain: 'a', slots: 18, state: 'ready', coldMs: 250 })
})

const unusableEntries: ReadonlyArray<readonly [string, unknown]> = [
  ['a value that is not an object', 'text'],
  ['no value', undefined],
  ['no address', { ...targetEntry, address: undefined }],
  ['a host name as its address', { ...targetEntry, address: 'shop.example:80' }],
  ['a service of another type', { ...targetEntry, info: { ...targetEntry.info, service: 7 } }],
  ['slots of another type', { ...targetEntry, info: { ...targetEntry.info, slots: '18' } }],
  ['an unknown state', { ...targetEntry, status: { ...targetEntry.status, state: 'asleep' } }],
  ['no status', { ...targetEntry, status: null }]
]

for (const [problem, value] of unusableEntries) {
  test(`an entry with ${problem} is not decoded to a target`, () => {
    assert.is(decodeTarget('servers/i-1', value), undefined)
  })
}

const routeSpec = { host: 'Shop.example', prefix: '/p/', route_type: 'idempotent', timeout_ms: 400, slo_latency_ms: 150, priority: 2, weighted_split: [{ service: 'a', weight: 9 }, { service: 'b', weight: 0 }], max_attempts: 3 }

function createDocument (spec: unknown): unknown {
  return { version: 3, resources: [{ resource_type: 'routes', metadata: { name: 'r' }, spec }] }
}

test('all fields of a route are decoded', () => {
  const configuration = decodeConfiguration(createDocument(routeSpec))
  assert.equal(configuration?.routes, [{
    name: 'r', host: 'shop.example', prefix: '/p/', kind: 'idempotent', timeoutMs: 400, objectiveMs: 150, priority: 2, maxAttempts: 3, shares: [{ service: 'a', weight: 9 }]
  }])
})

test('a route of an unknown kind is treated as non-idempotent', () => {
  assert.is(decodeConfiguration(createDocument({ ...routeSpec, route_type: 'odd' }))?.routes[0]?.kind, 'non-idempotent')
})

test('a configuration is rejected if a route has no service or the version is missing', () => {
  assert.is(decodeConfiguration(createDocument({ ...routeSpec, weighted_split: [] })), undefined)
  assert.is(decodeConfiguration({ resources: [] }), undefined)
})

test('the headers for a target replace those that a caller may have forged', () => {
  const forwarded = protocol.filterRequest(
    ['Host', 'h', 'X-Caller-Service', 'forged', 'X-Expect-Instance', 'forged', 'X-Deadline-Ms', '9000', 'Connection', 'X-Odd', 'X-Odd', '1', 'X-Attempt-Id', 'a'])
  const headers = protocol.writeRequest(forwarded, { id: 'a', timeoutMs: 120.7, caller: 'shop', target: 'i-1' })
  assert.equal(headers, ['Host', 'h', 'X-Attempt-Id', 'a', 'x-deadline-ms', '120', 'x-expect-instance', 'i-1', 'x-caller-service', 'shop'])
})

test('a valid load header is parsed, an invalid one is ignored', () => {
  assert.equal(protocol.readAnswer(200, ['x-server-load', '3,1,8,250']).load, { running: 3, waiting: 1, slots: 8, slowness: 2.5 })
  assert.equal(protocol.readAnswer(200, ['x-server-load', '3,1,8']).load, { running: 3, waiting: 1, slots: 8, slowness: undefined })
  for (const text of ['', 'a,b,c', '3,1', '3,1,0,100', '-1,0,8']) assert.is(protocol.readAnswer(200, ['x-server-load', text]).load, undefined, text)
})

test('status 421, or the header x-not-executed, shows that the request did not run', () => {
  assert.ok(protocol.readAnswer(421, []).notRun)
  assert.ok(protocol.readAnswer(503, ['X-Not-Executed', '1']).notRun)
  assert.not(protocol.readAnswer(503, []).notRun)
})

// Guards against the answer to another request in a head that names two (REFUSED, TWICE, MIXED; issue 29).
test('an answer head that names no attempt, or two, belongs to none', () => {
  assert.is(protocol.readAnswer(200, ['X-Attempt-Id', 'r-1']).id, 'r-1')
  for (const headers of [[], ['x-attempt-id', ''], ['X-Attempt-Id', 'r-1', 'x-attempt-id', 'r-2'], ['X-Attempt-Id', 'r-1', 'X-Attempt-Id', 'r-1']]) {
    assert.is(protocol.readAnswer(503, headers).id, '', headers.join())
  }
  assert.not(isAnswerToAttempt('', ''))
})

test('the error for invalid settings has the key, the value found and the values allowed', () => {
  try {
    parseSettings('{ "name": "n", "ip": "10.0.0.1", "failureDomain": "a", "service": "s", "upstream": "nowhere" }', 'file')
    assert.unreachable()
  } catch (error) {
    assert.ok(isFault(error))
    assert.match((error as Error).message, 'upstream: found "nowhere"; allowed: IP:PORT')
  }
})

test.run()
