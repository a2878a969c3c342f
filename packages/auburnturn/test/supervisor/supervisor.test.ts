import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Logger, ManualClock, Supervisor } from '../../src/index.js'
import type { Part } from '../../src/index.js'

const supervision = suite('supervisor')

function setUp (): { clock: ManualClock, lines: string[], supervisor: Supervisor } {
  const clock = ManualClock.create()
  const lines: string[] = []
  const logger = Logger.create('debug', line => { lines.push(line) })
  return { clock, lines, supervisor: Supervisor.create({ clock, logger }) }
}

/** A part whose failure can be triggered, and that counts its starts and closes. */
class Probe {
  starts = 0
  closes = 0
  fail: (error: unknown) => void = () => {}

  readonly start = async (fail: (error: unknown) => void): Promise<Part> => {
    this.starts++
    this.fail = fail
    return { close: async () => { this.closes++ }, dump: () => ({ start: this.starts }) }
  }
}

supervision('a failed part is closed and restarted after a delay that doubles with each failure', async () => {
  const { clock, supervisor } = setUp()
  const probe = new Probe()
  await supervisor.add('probe', probe.start)
  for (const delayMs of [100, 200, 400]) {
    const before = probe.starts
    probe.fail(new Error('broken'))
    await clock.advance(delayMs - 1)
    assert.is(probe.starts, before)
    await clock.advance(1)
    assert.is(probe.starts, before + 1)
  }
  assert.is(probe.closes, 3)
  assert.equal(supervisor.dump().probe, { running: true, restarts: 3, lastError: 'Error: broken', state: { start: 4 } })
  assert.is(supervisor.restarts, 3)
  await supervisor.close()
})

supervision('the delay is reset after a minute without a failure', async () => {
  const { clock, supervisor } = setUp()
  const probe = new Probe()
  await supervisor.add('probe', probe.start)
  probe.fail('one')
  await clock.advance(100)
  probe.fail('two')
  await clock.advance(200)
  await clock.advance(60_000)
  probe.fail('three')
  await clock.advance(100)
  assert.is(probe.starts, 4)
  await supervisor.close()
})

supervision('a part that fails before its start completes is restarted', async () => {
  const { clock, supervisor } = setUp()
  const probe = new Probe()
  let first = true
  await supervisor.add('probe', async fail => {
    if (first) fail('at once')
    first = false
    return await probe.start(fail)
  })
  await clock.advance(100)
  assert.equal([probe.starts, probe.closes], [2, 1])
  await supervisor.close()
})

supervision('a failed restart is repeated, and the other parts keep running', async () => {
  const { clock, supervisor } = setUp()
  const [steady, probe] = [new Probe(), new Probe()]
  let refuse = false
  await supervisor.add('steady', steady.start)
  await supervisor.add('probe', async fail => {
    if (refuse) throw new Error('address in use')
    return await probe.start(fail)
  })
  refuse = true
  probe.fail('broken')
  await clock.advance(100 + 200)
  assert.equal(supervisor.dump().probe, { running: false, restarts: 2, lastError: 'Error: address in use', state: undefined })
  refuse = false
  await clock.advance(400)
  assert.is(probe.starts, 2)
  assert.equal([steady.starts, steady.closes], [1, 0])
  await supervisor.close()
})

supervision('parts are closed in reverse order, once', async () => {
  const { supervisor } = setUp()
  const closed: string[] = []
  for (const name of ['first', 'second', 'third']) await supervisor.add(name, async () => ({ close: async () => { closed.push(name) } }))
  await Promise.all([supervisor.close(), supervisor.close()])
  assert.equal(closed, ['third', 'second', 'first'])
})

supervision('a part whose close hangs or throws does not prevent closing the others', async () => {
  const { clock, lines, supervisor } = setUp()
  const first = new Probe()
  await supervisor.add('first', first.start)
  await supervisor.add('hangs', async () => ({ close: async () => { await new Promise(() => {}) } }))
  await supervisor.add('throws', async () => ({ close: async () => { throw new Error('no') } }))
  const closing = supervisor.close()
  await clock.advance(4_999)
  assert.is(first.closes, 0)
  await clock.advance(1)
  await closing
  assert.is(first.closes, 1)
  assert.ok(lines.some(line => line.includes('event=part-close-late part=hangs')))
  assert.ok(lines.some(line => line.includes('event=part-close-failed part=throws')))
})

supervision('when a first start fails, the parts that have started are closed', async () => {
  const { supervisor } = setUp()
  const first = new Probe()
  await supervisor.add('first', first.start)
  try {
    await supervisor.add('second', async () => { throw new Error('no address') })
    assert.unreachable()
  } catch (error) {
    assert.is((error as Error).message, 'no address')
  }
  assert.is(first.closes, 1)
})

supervision('close does not wait for a restart, and a part that starts afterwards is closed', async () => {
  const { clock, supervisor } = setUp()
  const probe = new Probe()
  let release: () => void = () => {}
  let slow = false
  await supervisor.add('probe', async fail => {
    if (slow) await new Promise<void>(resolve => { release = resolve })
    return await probe.start(fail)
  })
  slow = true
  probe.fail('broken')
  await clock.advance(100)
  await supervisor.close()
  release()
  await clock.advance(0)
  assert.equal([probe.starts, probe.closes], [2, 2])
})

supervision('two parts cannot have the same name, which would hide one of them in the dump', async () => {
  const { supervisor } = setUp()
  await supervisor.add('probe', new Probe().start)
  try {
    await supervisor.add('probe', new Probe().start)
    assert.unreachable()
  } catch (error) {
    assert.is((error as Error).message, 'a part named probe was already added')
  }
})

supervision('a dump that throws is replaced by its error', async () => {
  const { supervisor } = setUp()
  await supervisor.add('probe', async () => ({ close: async () => {}, dump: () => { throw new Error('torn') } }))
  assert.equal(supervisor.dump().probe, { running: true, restarts: 0, state: { error: 'Error: torn' } })
  await supervisor.close()
})

supervision.run()
