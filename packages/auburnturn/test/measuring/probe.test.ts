import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createProbe, createProbeRoutes } from '../../src/core/measuring/index.js'
import { ControlClients, ControlServer, ManualClock, MeasuringBudget, Random } from '../../src/index.js'
import { createMember } from '../fixtures/members.js'

const probing = suite('probe')

probing('a probe returns the load of a target, and fails once the target has spent its budget', async () => {
  const clock = ManualClock.create()
  const budget = MeasuringBudget.create({ clock, random: Random.create(1), limits: () => ({ messagesPerSecond: 1, bytesPerSecond: 1_000, coreShare: 1 }) })
  const load = { running: 3, queued: 1, limit: 20, state: 'serving' as const }
  const routes = createProbeRoutes({ budget, service: 'orders', incarnation: 'first', readLoad: () => load })
  const server = await ControlServer.create({ ip: '127.0.0.1', port: 0, routes: [routes] })
  const clients = ControlClients.create()
  const probe = createProbe(clients)
  const member = createMember(1, { ip: '127.0.0.1', controlPort: server.port })
  const { signal } = new AbortController()
  await clock.advance(1_000)
  assert.equal(await probe(member, 'orders', signal), { load, incarnation: 'first' })
  const refused = await probe(member, 'orders', signal).then(() => 'answered', error => String(error))
  assert.match(refused, 'measuring budget spent')
  assert.is(budget.cost.messages, 1)
  const wrongService = await probe(member, 'stock', signal).then(() => 'answered', error => String(error))
  assert.match(wrongService, 'no target of stock')
  await clients.close()
  await server.close()
})

probing.run()
