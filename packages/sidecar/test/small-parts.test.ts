import fc from 'fast-check'
import { createServer as createHttpServer } from 'node:http'
import { connect, Socket } from 'node:net'
import type { AddressInfo } from 'node:net'
import { ManualClock } from 'auburnturn/core/clock'
import { Random } from 'auburnturn/core/random'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { stopListening, InFlightRequests } from '../src/core/listening/index.js'
import { LineWriter } from '../src/core/logging/index.js'
import { PauseDetector } from '../src/core/pauses/index.js'
import { decodeReport, encodeReport, encodeShortReport, checksumId } from '../src/core/reports/index.js'
import { RetryWindow } from '../src/core/retries/index.js'

const test = suite('small parts')

const report = fc.record({
  kind: fc.constant('full' as const),
  configurationVersion: fc.integer({ min: 0, max: 2 ** 40 }),
  target: fc.record({
    id: fc.stringMatching(/^[a-z0-9-]{0,40}$/),
    service: fc.stringMatching(/^[a-z0-9-]{0,40}$/),
    failureDomain: fc.stringMatching(/^[a-z0-9-]{0,40}$/),
    state: fc.constantFrom('up' as const, 'down' as const, 'closing' as const),
    fresh: fc.boolean(),
    running: fc.integer({ min: 0, max: 60_000 }),
    waiting: fc.integer({ min: 0, max: 60_000 }),
    limit: fc.integer({ min: 1, max: 60_000 }),
    slowness: fc.integer({ min: 1, max: 255 }).map(tenths => tenths / 10),
    failures: fc.integer({ min: 0, max: 255 }).map(parts => parts / 255)
  }, { noNullPrototype: true })
}, { noNullPrototype: true })

test('a report comes out as it went in', () => {
  fc.assert(fc.property(report, one => {
    assert.equal(decodeReport(encodeReport(one)), one)
    const { id, service, failureDomain, ...figures } = one.target
    assert.equal(decodeReport(encodeShortReport(one.target)), { kind: 'short', idSum: checksumId(id), figures })
  }), { seed: 3 })
})

test('bytes that are no report are none, whatever they are', () => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 80 }), bytes => { decodeReport(Buffer.from(bytes)) }), { seed: 3 })
  const whole = encodeReport({ kind: 'full', configurationVersion: 1, target: { id: 'i', service: 's', failureDomain: 'z', state: 'up', fresh: false, running: 1, waiting: 0, limit: 1, slowness: 1, failures: 0 } })
  for (let length = 0; length < whole.length; length++) assert.is(decodeReport(whole.subarray(0, length)), undefined)
})

test('repeats stay within their share of every sliding window', () => {
  fc.assert(fc.property(fc.array(fc.record({ afterMs: fc.integer({ min: 0, max: 400 }), repeats: fc.integer({ min: 0, max: 3 }) }), { maxLength: 200 }), events => {
    const budget = RetryWindow.create()
    const firsts: number[] = []
    const repeats: number[] = []
    let now = 0
    for (const { afterMs, repeats: wanted } of events) {
      now += afterMs
      budget.countFirstAttempt(now)
      firsts.push(now)
      for (let count = 0; count < wanted; count++) if (budget.takeRetry(now, { ratio: 0.2, allowance: 5, nodes: 1 })) repeats.push(now)
      const recent = (times: readonly number[]): number => times.filter(time => time > now - 10_000).length
      // The requests may be counted half a window earlier.
      assert.ok(recent(repeats) <= firsts.filter(time => time > now - 10_500).length * 0.2 + 5)
    }
  }), { seed: 5 })
})

test('all targets of a service refuse: the nodes together stay within the budget, however many they are', () => {
  for (const nodes of [3, 73, 195]) {
    const windows = Array.from({ length: nodes }, () => RetryWindow.create())
    const random = Random.create(nodes)
    const allowance = 186
    let firsts = 0
    let repeats = 0
    // Requests come unevenly, and each would be repeated three times.
    for (let now = 0; now < 10_000; now += 5) {
      const window = windows[Math.floor(random.fraction() ** 2 * nodes)] as RetryWindow
      window.countFirstAttempt(now)
      firsts++
      for (let repeat = 0; repeat < 3; repeat++) if (window.takeRetry(now, { ratio: 0.2, allowance, nodes })) repeats++
    }
    assert.ok(repeats <= firsts * 0.2 + allowance, `${repeats} of ${firsts}, ${nodes} nodes`)
    assert.ok(repeats >= firsts * 0.05, `${repeats} of ${firsts}, ${nodes} nodes`)
  }
})

test('log lines over the rate are left out, and counted', async () => {
  const clock = ManualClock.create()
  let text = ''
  const writer = LineWriter.create({ clock, sink: (part, done) => { text += part; done() } })
  for (let count = 0; count < 1_000; count++) writer.write(`line ${count}`)
  assert.is(text.split('\n').length - 1, 200)
  await clock.advance(1_000)
  writer.write('later')
  assert.match(text, 'event=lines-left-out count=800')
  assert.match(text, 'later')
})

test('a slow reader of the log costs lines, not time or memory', () => {
  const clock = ManualClock.create()
  const writer = LineWriter.create({ clock, sink: () => {} })
  for (let count = 0; count < 200; count++) writer.write('x'.repeat(10_000))
  assert.ok(true)
})

test('a pause is seen by a late timer, and by a time of day that ran on alone', async () => {
  const clock = ManualClock.create()
  let wall = 0
  const pauses: number[] = []
  const watch = PauseDetector.create({ clock, wallClock: () => wall, onPause: milliseconds => { pauses.push(milliseconds) } })
  await clock.advance(1_000)
  assert.equal(pauses, [])
  clock.jump(3_000)
  await clock.advance(300)
  assert.is(pauses.length, 1)
  wall += 5_000
  await clock.advance(300)
  assert.is(pauses.length, 2)
  wall -= 9_000
  await clock.advance(300)
  assert.is(pauses.length, 2)
  await watch.close()
})

test('a server stops listening though new connections come without end', async () => {
  const server = createHttpServer()
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  let turns = 0
  const take = (): void => {
    if (!server.listening || turns++ > 10_000) return
    server.emit('connection', new Socket())
    setImmediate(take)
  }
  setImmediate(take)
  await stopListening(server)
  assert.ok(turns < 1_000, `${turns} turns`)
})

test('a node ends only after a while in which no request came', async () => {
  const clock = ManualClock.create()
  const underWay = InFlightRequests.create({ clock })
  let settledAt = Infinity
  underWay.waitUntilIdle(60, 1_000).then(() => { settledAt = clock.now() }, assert.unreachable)
  await clock.advance(40)
  underWay.track(clock.sleep(100)).catch(assert.unreachable)
  await clock.advance(140)
  assert.is(settledAt, Infinity)
  await clock.advance(100)
  assert.ok(settledAt >= 200 && settledAt <= 230, String(settledAt))
  settledAt = Infinity
  underWay.waitUntilIdle(60, clock.now() + 50).then(() => { settledAt = clock.now() }, assert.unreachable)
  await clock.advance(60)
  assert.ok(settledAt < Infinity)
})

test('a server stops listening when no more connections wait to be taken, and leaves open ones alone', async () => {
  const server = createHttpServer((_request, response) => { response.end('answered') })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  const open = connect(port, '127.0.0.1')
  await new Promise(resolve => { server.once('connection', resolve) })
  let waiting = 3
  const take = (): void => {
    assert.is(server.listening, true)
    server.emit('connection', new Socket())
    if (--waiting > 0) setImmediate(take)
  }
  setImmediate(take)
  await stopListening(server)
  assert.is(waiting, 0)
  assert.is(server.listening, false)
  open.write('GET / HTTP/1.1\r\nhost: example\r\nconnection: close\r\n\r\n')
  const answer = await new Promise<string>(resolve => { open.once('data', bytes => { resolve(bytes.toString()) }) })
  assert.match(answer, '200 OK')
  open.destroy()
})

test.run()
