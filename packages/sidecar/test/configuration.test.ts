import { Random } from 'auburnturn/core/random'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { CurrentConfiguration, RouteTable, WeightedSplit } from '../src/core/configuration/index.js'
import type { Configuration, Route } from '../src/core/configuration/index.js'

const test = suite('configuration')

function createRoute (name: string, host: string, prefix: string): Route {
  return { name, host, prefix, kind: 'idempotent', timeoutMs: 1_000, objectiveMs: 500, priority: 1, maxAttempts: 2, shares: [{ service: name, weight: 1 }] }
}

function createConfiguration (version: number): Configuration {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  return { version, routes: [createRoute(`r${version}`, 'a.example', '/')], services: [], limits }
}

const table = RouteTable.create([
  createRoute('root', 'a.example', '/'),
  createRoute('outer', 'a.example', '/one/'),
  createRoute('inner', 'a.example', '/one/two/'),
  createRoute('other', 'b.example', '/one/')
])

const expectedRoutes: ReadonlyArray<readonly [string, string, string | undefined]> = [
  ['a.example', '/one/two/x', 'inner'],
  ['a.example', '/one/two', 'outer'],
  ['a.example', '/one', 'root'],
  ['a.example', '/one/twofold/x', 'outer'],
  ['a.example', '/one/?from=/one/two/', 'outer'],
  ['A.Example:8080', '/one/x', 'outer'],
  ['b.example', '/one/x', 'other'],
  ['b.example', '/two/x', undefined],
  ['c.example', '/one/x', undefined],
  ['b.example', '*', undefined]
]

for (const [host, path, name] of expectedRoutes) {
  test(`${host}${path} matches ${name ?? 'no route'}`, () => {
    assert.is(table.find(host, path)?.name, name)
  })
}

test('a weighted split chooses each service in proportion to its weight, from any starting point', () => {
  for (const startFraction of [0, 0.3, 0.99]) {
    const split = WeightedSplit.create([{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }], startFraction)
    const chosen = Array.from({ length: 1_000 }, () => split.next())
    assert.ok(Math.abs(chosen.filter(service => service === 'b').length - 100) <= 1)
  }
})

test('an older configuration never replaces a newer one', () => {
  const current = CurrentConfiguration.create({ random: Random.create(1) })
  assert.is(current.isLoaded, false)
  assert.is(current.offer(createConfiguration(4)), 'taken')
  assert.is(current.offer(createConfiguration(3)), 'older')
  assert.is(current.offer(createConfiguration(4)), 'same')
  assert.is(current.version, 4)
  assert.is(current.findRoute('a.example', '/x')?.name, 'r4')
})

test.run()
