import fc from 'fast-check'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Clock } from 'auburnturn/core/clock'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Configuration } from '../src/core/configuration/index.js'
import { maxDurationMs, maxInteger, parseJson } from '../src/core/decoding/index.js'
import { BodyMemory } from '../src/core/exchange/index.js'
import type { StoreAnswer } from '../src/core/following/index.js'
import { decodeConfiguration, HttpStoreClient } from '../src/platform/index.js'
import { anyJsonText, oddJsonTexts, oddPages, replaceValues, seed } from './fixtures/odd-values.js'

const test = suite('odd entries')

const validConfiguration = {
  version: 7,
  resources: [
    { resource_type: 'routes', metadata: { name: 'pages' }, spec: { host: 'shop.example', prefix: '/p/', route_type: 'idempotent', timeout_ms: 900, slo_latency_ms: 300, priority: 1, service: 'shop', max_attempts: 2 } },
    { resource_type: 'routes', metadata: { name: 'orders' }, spec: { host: 'shop.example', prefix: '/o/', route_type: 'non_idempotent', weighted_split: [{ service: 'a', weight: 9 }, { service: 'b', weight: 1 }], max_attempts: 1 } },
    { resource_type: 'services', metadata: { name: 'shop' }, spec: { health_path: '/health' } },
    { resource_type: 'limits', metadata: {}, spec: { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 } }
  ]
}

/** Values as they are parsed from texts: of any shape, or a valid document with odd values in it. */
function parsedValues (document: unknown): fc.Arbitrary<unknown> {
  return fc.oneof(anyJsonText, replaceValues(document)).map(text => parseJson(Buffer.from(text)))
}

function isNumberUpTo (value: unknown, max: number): boolean {
  return typeof value === 'number' && value >= 0 && value <= max && !Object.is(value, -0)
}

function isInteger (value: unknown): boolean {
  return Number.isInteger(value) && isNumberUpTo(value, maxInteger)
}

/** Asserts that a configuration has the types and ranges that the rest of the node relies on. */
function assertConfiguration ({ version, routes, services, limits }: Configuration): void {
  assert.ok(isInteger(version), `version ${version}`)
  for (const { name, host, prefix, kind, timeoutMs, objectiveMs, priority, maxAttempts, shares } of routes) {
    assert.ok([name, host, prefix].every(text => typeof text === 'string') && ['idempotent', 'non-idempotent'].includes(kind))
    assert.ok([timeoutMs, objectiveMs].every(value => isNumberUpTo(value, maxDurationMs)), `${timeoutMs} ${objectiveMs}`)
    assert.ok(isNumberUpTo(priority, maxInteger) && isNumberUpTo(maxAttempts, maxInteger) && maxAttempts >= 1)
    assert.ok(shares.length > 0 && shares.every(({ service, weight }) => typeof service === 'string' && isNumberUpTo(weight, maxInteger) && weight > 0))
  }
  for (const { name, healthPath } of services) assert.ok(typeof name === 'string' && typeof healthPath === 'string')
  assert.ok([limits.headerTimeoutMs, limits.idleTimeoutMs].every(value => isNumberUpTo(value, maxDurationMs)))
  assert.ok([limits.maxHeaderBytes, limits.maxBodyBytes].every(value => isNumberUpTo(value, maxInteger)))
}

// Guards against a node that ends on a number too large for its datagrams, or loops on a timeout too long for timers (issue 29).
test('a configuration is decoded with all numbers in range, or not at all', () => {
  fc.assert(fc.property(parsedValues(validConfiguration), value => {
    const configuration = decodeConfiguration(value)
    if (configuration !== undefined) assertConfiguration(configuration)
  }), { seed, numRuns: 2_000 })
  assert.ok(decodeConfiguration(validConfiguration) !== undefined)
  for (const version of [1e308, Infinity, 2 ** 48, 1.5, -1, '7']) assert.is(decodeConfiguration({ ...validConfiguration, version }), undefined, String(version))
})

// Guards against a value that is nested so deep that it blocks the node for seconds, or can't be written as JSON again (issue 29).
test('JSON that is nested too deep is not parsed, whatever its strings and brackets are', () => {
  for (const levels of [65, 300_000, 4_000_000]) assert.is(parseJson(Buffer.from('['.repeat(levels) + ']'.repeat(levels))), undefined)
  assert.equal(parseJson(Buffer.from(`${'['.repeat(64)}${']'.repeat(64)}`)), JSON.parse(`${'['.repeat(64)}${']'.repeat(64)}`))
  assert.equal(parseJson(Buffer.from(JSON.stringify('[{"'.repeat(200)))), '[{"'.repeat(200))
  fc.assert(fc.property(fc.json({ maxDepth: 20 }), text => { assert.equal(JSON.stringify(parseJson(Buffer.from(text))), JSON.stringify(JSON.parse(text))) }), { seed })
})

/** Reads a store that answers every call with `body`. */
async function readStore (bodies: readonly string[], check: (client: HttpStoreClient, body: string) => Promise<void>): Promise<void> {
  let body = ''
  const server = createServer((_request, response) => { response.end(body) })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const client = HttpStoreClient.create({ address: `127.0.0.1:${(server.address() as AddressInfo).port}`, clock: Clock.create(), memory: BodyMemory.create({ maxBytes: 64 * 1024 * 1024 }), onCall: () => {} })
  for (body of bodies) await check(client, body)
  client.close()
  server.close()
  server.closeAllConnections()
}

function assertStoreAnswer (answer: StoreAnswer): void {
  if (answer.kind !== 'changes') return
  assert.ok(isInteger(answer.revision), `revision ${answer.revision}`)
  for (const change of answer.changes) if (change.kind === 'configuration') assertConfiguration(change.configuration)
}

// Guards against a node that ends, or never follows again, after a page with odd content (issue 29).
test('a page of a list or of a watch is decoded with all numbers in range, or fails', async () => {
  const page = { items: [{ key: 'servers/a', value: 'bm8=', revision: 4 }, { key: 'op/config', value: Buffer.from(JSON.stringify(validConfiguration)).toString('base64') }], events: [{ key: 'servers/a', revision: 4, tombstone: true }], current_rev: 9 }
  const bodies = [...oddPages(), ...oddJsonTexts, ...fc.sample(replaceValues(page), { numRuns: 200, seed })]
  await readStore(bodies, async (client, body) => {
    assertStoreAnswer(await client.watch(1, 1_000))
    if (!body.includes('"has_more"')) assertStoreAnswer(await client.list('newest'))
    const configuration = await client.readConfiguration()
    if (configuration !== undefined) assertConfiguration(configuration)
  })
})

test.run()
