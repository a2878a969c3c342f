import { Cancellation, ManualClock } from 'auburnturn/core/clock'
import { Logger } from 'auburnturn/core/logger'
import { Metrics } from 'auburnturn/core/metrics'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { BodyMemory } from '../src/core/exchange/index.js'
import { OwnTarget, Prober } from '../src/core/own-target/index.js'
import type { Job, Outcome } from '../src/core/own-target/index.js'
import { Directory } from '../src/core/targets/index.js'
import { protocol } from '../src/platform/index.js'
import { startRawServer } from './fixtures/raw-server.js'
import type { RawServer } from './fixtures/raw-server.js'

const test = suite('prober')

/** Health checks a second that a deployment allows. */
const allowedPerSecond = 60

/** A target that answers health checks by hand, the parts beside it, and a clock that stands still. */
class Bench {
  readonly clock = ManualClock.create()
  checks = 0
  requests = 0
  /** How long work takes, in hundredths of the usual time. */
  slowness = 100
  mute = false
  private readonly memory = BodyMemory.create({ maxBytes: 1024 * 1024 })
  private server: RawServer | undefined
  private prober: Prober | undefined
  private ownTarget: OwnTarget | undefined
  private answers = 0

  static async create (probesPerSecond = allowedPerSecond): Promise<Bench> {
    const bench = new Bench()
    await bench.start(probesPerSecond)
    return bench
  }

  get target (): OwnTarget {
    if (this.ownTarget === undefined) throw new Error('a bench has its target from its start on')
    return this.ownTarget
  }

  /** Lets time pass; each check under way is answered before it goes on. */
  async advance (milliseconds: number): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 10) {
      await this.clock.advance(10)
      do await turn(); while (!this.isAnswered())
    }
  }

  run (changes: Partial<Job> = {}): Promise<Outcome> {
    const now = this.clock.now()
    const job: Job = {
      id: 'r-1',
      method: 'GET',
      path: '/pages/',
      headers: [],
      body: Buffer.alloc(0),
      route: 'pages',
      service: 's',
      caller: 's',
      idempotent: true,
      objectiveMs: 600,
      priority: 1,
      patient: true,
      objectiveAt: now + 600,
      deadlineAt: now + 2_000,
      ...changes
    }
    return this.target.run(job, 'i-1', Cancellation.create())
  }

  close (): void {
    this.prober?.close()
    this.target.disconnect()
    this.server?.close()
  }

  private async start (probesPerSecond: number): Promise<void> {
    const { clock } = this
    const server = await startRawServer((socket, text) => {
      const isCheck = text.startsWith('GET /health')
      if (isCheck) this.checks++
      else this.requests++
      if (isCheck && !this.mute) socket.write(`HTTP/1.1 200 OK\r\nx-instance-id: i-1\r\nx-server-load: 0,0,10,${this.slowness}\r\ncontent-length: 0\r\n\r\n`)
    })
    const loadWatch = {
      refresh: async (): Promise<void> => { await this.prober?.refresh() },
      hurry: (): void => { this.prober?.useShortInterval() }
    }
    this.server = server
    this.ownTarget = OwnTarget.create({
      address: server.address,
      service: 's',
      failureDomain: 'a',
      clock,
      memory: this.memory,
      logger: Logger.createSilent(),
      metrics: Metrics.create({ clock }),
      protocol,
      directory: Directory.create({ clock }),
      loadMonitor: loadWatch,
      onChange: () => { this.answers++ }
    })
    this.prober = Prober.create({
      address: server.address,
      clock,
      memory: this.memory,
      protocol,
      target: this.ownTarget,
      healthPath: () => '/health',
      probesPerSecond: () => probesPerSecond,
      onFailure: error => { throw error }
    })
    while (!this.isAnswered()) await turn()
  }

  private isAnswered (): boolean {
    return this.mute || (this.answers > 0 && this.answers >= this.checks)
  }
}

async function turn (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}

/** Waits for something that real sockets bring, while the clock stands still. */
async function until (holds: () => boolean): Promise<void> {
  while (!holds()) await turn()
}

test('health checks stay within what the deployment allows', async () => {
  const bench = await Bench.create(5)
  await bench.advance(4_000)
  assert.ok(bench.checks >= 4 && bench.checks <= 4 * 5 + 1, `${bench.checks}`)
  bench.close()
})

test('large fleet: a target that nobody waits for is checked a few times a second', async () => {
  const bench = await Bench.create()
  await bench.advance(4_000)
  assert.ok(bench.checks <= 4 * 3, `${bench.checks}`)
  bench.close()
})

test('a slow target is checked more often, so that others soon come back to it', async () => {
  const bench = await Bench.create()
  bench.slowness = 400
  await bench.advance(1_000)
  const before = bench.checks
  await bench.advance(1_000)
  assert.ok(bench.checks - before >= 5, `${bench.checks - before}`)
  bench.close()
})

test('noisy neighbour: a request is not started on what was known of the target before', async () => {
  const bench = await Bench.create()
  await bench.advance(300)
  bench.slowness = 400
  const outcome = await bench.run({ patient: false })
  assert.equal([outcome.kind, outcome.kind === 'not-run' ? outcome.cause : ''], ['not-run', 'slow'])
  assert.is(bench.requests, 0)
  bench.close()
})

test('noisy neighbour: while a request waits for the usual pace, the end of the slow time is seen soon', async () => {
  const bench = await Bench.create()
  await bench.advance(300)
  bench.slowness = 400
  bench.run()
  await until(() => bench.target.slots.waiting === 1)
  bench.slowness = 100
  await bench.advance(100)
  await until(() => bench.requests === 1)
  bench.close()
})

test('requests that come at the same moment share one check', async () => {
  const bench = await Bench.create()
  await bench.advance(300)
  const before = bench.checks
  for (let count = 0; count < 5; count++) bench.run({ id: `r-${count}` })
  await until(() => bench.requests === 5)
  assert.is(bench.checks - before, 1)
  bench.close()
})

test('a request does not wait for a target that leaves its health check unanswered', async () => {
  const bench = await Bench.create()
  await bench.advance(300)
  bench.mute = true
  bench.run()
  await until(() => bench.checks > 0)
  await bench.advance(40)
  await until(() => bench.requests === 1)
  bench.close()
})

test.run()
