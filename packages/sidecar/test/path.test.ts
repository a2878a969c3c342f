import { Random } from 'auburnturn/core/random'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { World } from './fixtures/world.js'

const test = suite('path')

/** Runs `check` in a fresh world; `services` names the service beside each node. */
async function inWorld (services: readonly string[], check: (world: World) => Promise<void>): Promise<void> {
  const world = await World.create(services)
  try {
    await check(world)
  } finally {
    await world.close()
  }
}

test('a request is answered by a target of its service, beside this node or another', async () => {
  await inWorld(['shop', 'stock'], async world => {
    const near = await world.send(0, '/pages/a')
    const far = await world.send(1, '/pages/b?c=d')
    assert.is(near.body, 'i-0 /pages/a')
    assert.is(far.body, 'i-0 /pages/b?c=d')
    assert.is(far.headers['x-response-seal'], 'seal-of-i-0')
    assert.equal(world.targets[0]?.arrivals.map(({ headers }) => headers['x-caller-service']), ['shop', 'stock'])
  })
})

test('a body and its headers arrive as they were sent, and what the caller forged does not', async () => {
  await inWorld(['shop', 'stock'], async world => {
    await world.send(1, '/orders/1', { method: 'POST', body: 'forty', headers: { 'x-caller-service': 'forged', 'x-kept': 'yes' } })
    const arrival = world.targets[0]?.arrivals[0]
    assert.is(arrival?.body, 'forty')
    assert.is(arrival?.headers['x-kept'], 'yes')
    assert.is(arrival?.headers['x-caller-service'], 'stock')
    assert.is(arrival?.headers['auburnturn-hop'], undefined)
  })
})

test('metrics and the state of a node can be read', async () => {
  await inWorld(['shop'], async world => {
    await world.send(0, '/pages/a')
    const metrics = await (await fetch('http://127.0.0.11:9464/metrics')).text()
    assert.match(metrics, 'calls_total{')
    assert.match(metrics, 'call_seconds_count 1')
    const state = await (await fetch('http://127.0.0.11:9464/dump')).json() as { version: number, ready: boolean, target: { id: string } }
    assert.equal([state.version, state.ready, state.target.id], [1, true, 'i-0'])
  })
})

test('a path without a route is refused with 404, a head over the limit with 431, a body with 413', async () => {
  await inWorld(['shop'], async world => {
    assert.is((await world.send(0, '/nowhere/')).status, 404)
    assert.is((await world.send(0, '/pages/1', { headers: { 'x-long': 'x'.repeat(17_000) } })).status, 431)
    assert.is((await world.send(0, '/orders/1', { method: 'POST', body: 'x'.repeat(2_000) })).status, 413)
    assert.is(world.targets[0]?.arrivals.length, 0)
  })
})

test('a lost answer: an idempotent request goes to another target, one that is not ends as may have run', async () => {
  await inWorld(['shop', 'shop', 'stock'], async world => {
    let lost = 0
    for (const target of world.targets) {
      target.behave = (_arrival, response) => {
        if (lost > 0) return undefined
        lost++
        response.socket?.destroy()
        return 'answered'
      }
    }
    const page = await world.send(2, '/pages/a', { id: 'page' })
    assert.is(page.status, 200)
    assert.is(world.arrivalsOf('page'), 2)
    lost = 0
    const order = await world.send(2, '/orders/1', { method: 'POST', body: 'x', id: 'order' })
    assert.is(order.status, 502)
    assert.is(world.arrivalsOf('order'), 1)
  })
})

test('an order whose target says that it did not run goes to another one', async () => {
  await inWorld(['shop', 'shop', 'stock'], async world => {
    let refused = 0
    for (const target of world.targets) {
      target.behave = (_arrival, response) => {
        if (refused > 0) return undefined
        refused++
        response.writeHead(503, { 'x-not-executed': '1' }).end()
        return 'answered'
      }
    }
    assert.is((await world.send(2, '/orders/1', { method: 'POST', body: 'x' })).status, 200)
  })
})

test('a refusal of a target without proof is not passed on as not run', async () => {
  await inWorld(['shop'], async world => {
    const target = world.targets[0]
    if (target === undefined) throw new Error('no target')
    target.behave = ({ id }, response) => {
      response.writeHead(503, { 'x-attempt-id': id, 'x-response-seal': 's', 'retry-after': '1' }).end()
      return 'answered'
    }
    const seen = await world.send(0, '/orders/1', { method: 'POST', body: 'x' })
    assert.is(seen.status, 502)
    assert.is(seen.headers['x-response-seal'], undefined)
  })
})

const spoilt: ReadonlyArray<readonly [string, (id: string) => string]> = [
  ['of another request', () => 'HTTP/1.1 200 OK\r\nx-attempt-id: other\r\nx-response-seal: s\r\ncontent-length: 2\r\n\r\nok'],
  ['without a seal', id => `HTTP/1.1 200 OK\r\nx-attempt-id: ${id}\r\ncontent-length: 2\r\n\r\nok`],
  ['that is encoded', id => `HTTP/1.1 200 OK\r\nx-attempt-id: ${id}\r\nx-response-seal: s\r\ncontent-encoding: gzip\r\ncontent-length: 2\r\n\r\nok`],
  ['cut short', id => `HTTP/1.1 200 OK\r\nx-attempt-id: ${id}\r\nx-response-seal: s\r\ncontent-length: 9\r\n\r\nok`],
  ['of rubbish', () => 'rubbish rubbish\r\n\r\n']
]

for (const [what, write] of spoilt) {
  test(`an answer ${what} is not passed on`, async () => {
    await inWorld(['shop', 'stock'], async world => {
      const target = world.targets[0]
      if (target === undefined) throw new Error('no target')
      target.behave = ({ id }, response) => {
        response.socket?.end(write(id))
        return 'answered'
      }
      assert.is((await world.send(1, '/orders/1', { method: 'POST', body: 'x' })).status, 502)
      assert.is(world.arrivalsOf('attempt-1'), 1)
    })
  })
}

test('a second answer on a connection reaches nobody', async () => {
  await inWorld(['shop', 'stock'], async world => {
    const target = world.targets[0]
    if (target === undefined) throw new Error('no target')
    target.behave = ({ id }, response) => {
      const answer = `HTTP/1.1 200 OK\r\nx-attempt-id: ${id}\r\nx-response-seal: s\r\ncontent-length: ${id.length}\r\n\r\n${id}`
      response.socket?.write(answer + answer)
      return 'answered'
    }
    for (let turn = 1; turn <= 10; turn++) {
      const seen = await world.send(1, '/pages/a', { id: `turn-${turn}` })
      if (seen.status === 200) assert.is(seen.body, `turn-${turn}`)
    }
  })
})

test('an answer that comes before a long body was read leaves the connection clean for the next request', async () => {
  await inWorld(['shop'], async world => {
    const target = world.targets[0]
    if (target === undefined) throw new Error('no target')
    target.answersEarly = true
    const first = await world.send(0, '/orders/1', { method: 'POST', body: 'x'.repeat(1_000) })
    assert.ok(first.status === 200 || first.status === 502)
    target.answersEarly = false
    for (const name of ['2', '3', '4']) {
      const seen = await world.send(0, `/orders/${name}`, { method: 'POST', body: 'y' })
      assert.is(seen.body, `i-0 /orders/${name}`)
    }
  })
})

test('a target that starts again under another id is reached under that', async () => {
  await inWorld(['shop', 'stock'], async world => {
    const target = world.targets[0]
    if (target === undefined) throw new Error('no target')
    target.id = 'i-reborn'
    await world.until(() => world.lines.some(line => line.includes('target-changed') && line.includes('i-reborn')))
    world.list(0, 'shop')
    await world.until(() => world.nodes[1]?.knows('shop') === true)
    assert.is((await world.send(1, '/pages/a')).status, 200)
  })
})

test('a target that drains gets nothing new, and its node says so truthfully', async () => {
  await inWorld(['shop', 'stock'], async world => {
    world.list(0, 'shop', 'draining')
    await world.until(() => world.nodes.every(node => !node.knows('shop')))
    const seen = await world.send(1, '/pages/a')
    assert.is(seen.status, 503)
    assert.ok(Number(seen.headers['retry-after']) > 0)
    assert.is(world.targets[0]?.arrivals.length, 0)
  })
})

test('a new configuration is in force while the store is watched, and after it lost its history', async () => {
  await inWorld(['shop', 'stock'], async world => {
    world.configure({ service: 'stock' })
    await world.until(() => world.nodes.every(node => node.version === 2))
    assert.is((await world.send(0, '/pages/a')).body, 'i-1 /pages/a')
    world.store.forgetHistory()
    world.configure({ service: 'shop' })
    await world.until(() => world.nodes.every(node => node.version === 3))
    assert.is((await world.send(1, '/pages/a')).body, 'i-0 /pages/a')
  })
})

test('few nodes watch the store; all learn of targets and configurations, also when a reader ends', async () => {
  await inWorld(['shop', 'shop', 'shop', 'stock', 'stock', 'stock'], async world => {
    const isReader = (line: string): boolean => line.includes('event=reading-started')
    await world.until(() => world.lines.filter(isReader).length >= 2)
    const learn = async (version: number, id: string): Promise<void> => {
      world.configure()
      world.list(0, 'shop', 'ready', id)
      await world.until(() => world.nodes.every(node => node.version === version && JSON.stringify(node.dump()).includes(id)))
    }
    await learn(2, 'i-next')
    assert.is(world.store.callsOf.get('/api/kv-range'), 6 * 4)
    assert.is(world.store.callsOf.get('/api/kv-key'), undefined)
    const random = Random.create(1)
    const nameRoute = (length: number): string => Array.from({ length }, () => random.integerBelow(36).toString(36)).join('')
    const createRoutes = (nameLength: number): unknown[] => Array.from({ length: 300 }, (_, index) => ({
      resource_type: 'routes',
      metadata: { name: `extra-${index}` },
      spec: { host: 'shop.example', prefix: `/extra-${index}${nameRoute(nameLength)}/`, route_type: 'idempotent', timeout_ms: 3_000, slo_latency_ms: 600, priority: 1, service: 'shop', max_attempts: 2 }
    }))
    world.configure({ extra: createRoutes(8) })
    await world.until(() => world.nodes.every(node => node.version === 3))
    assert.is(world.store.callsOf.get('/api/kv-key'), undefined, 'many routes pack well, and the nodes tell each other')
    world.configure({ extra: createRoutes(300) })
    await world.until(() => world.nodes.every(node => node.version === 4))
    const reads = world.store.callsOf.get('/api/kv-key') ?? 0
    assert.ok(reads >= 4 && reads <= 6, `a long one is read from the store once by each node that does not watch it: ${reads}`)
    const readers = world.nodes.filter(node => JSON.stringify(node.dump()).includes('"reads":"reading"'))
    assert.is(readers.length, 2)
    await readers[0]?.close()
    world.nodes.splice(world.nodes.indexOf(readers[0] as typeof readers[number]), 1)
    await learn(5, 'i-third')
  })
})

test('a node that starts while the store is away learns all from the others', async () => {
  await inWorld(['shop', 'stock'], async world => {
    world.store.refusal = 503
    await world.nodes[1]?.close()
    await world.start(1, 'stock')
    await world.until(() => world.nodes[1]?.ready === true && world.nodes[1].knows('shop'))
    assert.is((await world.send(1, '/pages/a')).body, 'i-0 /pages/a')
  })
})

test('damaged entries of the store hurt nothing else', async () => {
  await inWorld(['shop', 'stock'], async world => {
    world.store.put('servers/i-forged', 'not json')
    world.store.put('servers/i-odd', { address: 7, info: [], status: 'ready' })
    world.store.put('op/else', { version: 99 })
    await world.until(() => world.lines.filter(line => line.includes('entry-unusable')).length >= 4)
    assert.is((await world.send(1, '/pages/a')).status, 200)
  })
})

test('a route ends its requests at its timeout', async () => {
  await inWorld(['shop', 'stock'], async world => {
    world.configure({ timeoutMs: 100 })
    await world.until(() => world.nodes.every(node => node.version === 2))
    for (const target of world.targets) target.behave = () => 'answered'
    assert.is((await world.send(1, '/orders/1', { method: 'POST', body: 'x' })).status, 504)
  })
})

test('open connections that fall silent cost one request, not one each', async () => {
  await inWorld(['shop'], async world => {
    const target = world.targets[0]
    if (target === undefined) throw new Error('no target')
    world.configure({ timeoutMs: 300 })
    await world.until(() => world.nodes[0]?.version === 2)
    await Promise.all(['a', 'b', 'c', 'd'].map(async name => await world.send(0, `/orders/${name}`, { method: 'POST', body: 'x' })))
    target.silence()
    assert.is((await world.send(0, '/orders/lost', { method: 'POST', body: 'x' })).status, 504)
    for (const name of ['e', 'f', 'g']) assert.is((await world.send(0, `/orders/${name}`, { method: 'POST', body: 'x' })).status, 200)
  })
})

test('a caller that leaves takes its idempotent request from the target', async () => {
  await inWorld(['shop', 'stock'], async world => {
    const target = world.targets[0]
    if (target === undefined) throw new Error('no target')
    let closed = false
    target.behave = (_arrival, response) => {
      response.once('close', () => { closed = true })
      return 'answered'
    }
    const left = world.sendAndLeave(1, '/pages/a', 100)
    await world.until(() => closed)
    await left
  })
})

test('a node that leaves finishes what it has, asks callers to close, and ends', async () => {
  await inWorld(['shop', 'stock'], async world => {
    const target = world.targets[0]
    if (target === undefined) throw new Error('no target')
    let finish = (): void => {}
    target.behave = ({ id }, response) => {
      finish = () => { response.writeHead(200, { 'x-attempt-id': id, 'x-response-seal': 's' }).end('done') }
      return 'answered'
    }
    const answer = world.send(1, '/orders/1', { method: 'POST', body: 'x' })
    await world.until(() => target.arrivals.length === 1)
    const drained = world.nodes[1]?.drain()
    assert.is(world.nodes[1]?.ready, false)
    finish()
    const seen = await answer
    assert.is(seen.body, 'done')
    assert.is(seen.headers['connection'], 'close')
    await drained
  })
})

test.run()
