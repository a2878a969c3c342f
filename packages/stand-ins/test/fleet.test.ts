import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { existsSync } from 'node:fs'
import { createServer } from 'node:net'
import { request } from 'undici'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Fleet } from '../src/index.js'
import type { Deployment } from '../src/index.js'
import { findFreePorts } from './fixtures/free-ports.js'

const fleets = suite('fleet')
const openFleets: Fleet[] = []

// Daemons that a failed test leaves running would keep the whole test run from ending.
fleets.after.each(async () => {
  for (const fleet of openFleets.splice(0)) await killFleet(fleet)
})

const smallDeployment: Deployment = {
  region: 'kochi',
  failureDomains: ['kochi-a', 'kochi-b'],
  services: [{ name: 'orders', targets: 2, profile: 'orders' }]
}
const smallFleetPorts = 9

async function createFleet (onUnexpectedExit?: (name: string) => void): Promise<Fleet> {
  const firstPort = await findFreePorts(smallFleetPorts)
  const fleet = await Fleet.create({ deployments: [smallDeployment], firstPort, faultControlPort: firstPort + smallFleetPorts - 1, ...(onUnexpectedExit === undefined ? {} : { onUnexpectedExit }) })
  openFleets.push(fleet)
  return fleet
}

/** Kills the daemons without a drain and closes the rest of the fleet. */
async function killFleet (fleet: Fleet): Promise<void> {
  fleet.kill()
  await fleet.close()
}

function processExists (pid: number | undefined): boolean {
  return existsSync(`/proc/${pid ?? 0}/stat`)
}

fleets('on SIGTERM a daemon finishes the call in flight, sends new calls to another target, and exits with 0', async () => {
  const fleet = await createFleet()
  const port = fleet.nodes[0]?.callersPort ?? 0
  await setFaults(fleet, 'latencyMs=1000')
  const slow = request(`http://127.0.0.1:${port}/~orders/slow`)
  slow.catch(() => {}) // awaited below; prevents an unhandled rejection when an assertion fails first
  await waitForInFlight(fleet.nodes[0]?.operatorPort ?? 0)

  fleet.daemons[0]?.sendSignal('SIGTERM')
  await waitForHealth(fleet.nodes[0]?.operatorPort ?? 0, 'draining\n')
  const other = await request(`http://127.0.0.1:${port}/~orders/new`)
  assert.is(other.statusCode, 200)
  assert.match(await other.body.text(), '"upstream":"orders-2"')

  const answer = await slow
  assert.is(answer.statusCode, 200)
  assert.match(await answer.body.text(), '"path":"/slow"')
  assert.equal(await fleet.daemons[0]?.ended, { code: 0, signal: null })
})

fleets('on a second signal a daemon exits immediately with 1', async () => {
  const fleet = await createFleet()
  const [daemon] = fleet.daemons
  daemon?.sendSignal('SIGINT')
  await waitForHealth(fleet.nodes[0]?.operatorPort ?? 0, 'draining\n')
  daemon?.sendSignal('SIGTERM')
  assert.equal(await daemon?.ended, { code: 1, signal: null })
})

fleets('a fleet keeps running after one daemon was killed, and closes the remaining ones', async () => {
  let reportName: (name: string) => void = () => {}
  const endedName = new Promise<string>(resolve => { reportName = resolve })
  const fleet = await createFleet(name => { reportName(name) })
  fleet.daemons[0]?.sendSignal('SIGKILL')
  assert.is(await endedName, 'orders-1')
  const answer = await request(`http://127.0.0.1:${fleet.nodes[1]?.callersPort ?? 0}/~orders/still`)
  assert.is(answer.statusCode, 200)
  await answer.body.dump()
  await fleet.close()
  assert.equal(fleet.daemons.map(({ pid }) => processExists(pid)), [false, false])
  assert.not.ok(existsSync(fleet.folder))
})

fleets('a start that fails closes everything that has started', async () => {
  const firstPort = await findFreePorts(smallFleetPorts)
  const portHolder = createServer()
  portHolder.listen(firstPort + 4, '127.0.0.1')
  await once(portHolder, 'listening')
  try {
    await Fleet.create({ deployments: [smallDeployment], firstPort, faultControlPort: firstPort + smallFleetPorts - 1 })
    assert.unreachable()
  } catch (error) {
    assert.is((error as Error).message, 'the daemon of orders-2 ended while it started')
  }
  const probe = createServer()
  probe.listen(firstPort, '127.0.0.1')
  await once(probe, 'listening')
  probe.close()
  portHolder.close()
})

fleets('the failing and down faults of an upstream last until they are cleared', async () => {
  const fleet = await createFleet()
  const url = `http://127.0.0.1:${fleet.nodes[0]?.callersPort ?? 0}/~orders/`
  await setFaults(fleet, 'failing=true', 'orders-1', 'orders-2')
  assert.is(await readStatus(url), 500)
  await setFaults(fleet, 'down=true', 'orders-1', 'orders-2')
  assert.is(await readStatus(url), 503)
  await setFaults(fleet, '', 'orders-1', 'orders-2')
  assert.is(await readStatus(url), 200)
  assert.is(await readStatus(`http://127.0.0.1:${fleet.faultControlPort}/orders-1?slow=yes`, 'POST'), 400)
  assert.is(await readStatus(`http://127.0.0.1:${fleet.faultControlPort}/nobody?down=true`, 'POST'), 404)
  await setFaults(fleet, 'down=true', 'platform')
  assert.is(await readStatus(url), 200)
})

fleets('the daemon reports unreadable settings in one line', async () => {
  const child = spawn(process.execPath, ['../auburnturnd/bin/auburnturnd.js', '--settings', 'no-such-file.jsonc'], { cwd: new URL('../..', import.meta.url) })
  const chunks: Buffer[] = []
  child.stderr.on('data', (chunk: Buffer) => { chunks.push(chunk) })
  const [code] = await once(child, 'close') as [number]
  assert.is(code, 2)
  assert.match(Buffer.concat(chunks).toString(), /^auburnturnd: The settings file could not be read: ENOENT[^\n]*\n$/)
})

async function setFaults (fleet: Fleet, query: string, ...upstreams: string[]): Promise<void> {
  for (const name of upstreams.length === 0 ? ['orders-1'] : upstreams) {
    assert.is(await readStatus(`http://127.0.0.1:${fleet.faultControlPort}/${name}?${query}`, 'POST'), 200)
  }
}

async function readStatus (url: string, method: 'GET' | 'POST' = 'GET'): Promise<number> {
  const answer = await request(url, { method })
  await answer.body.dump()
  return answer.statusCode
}

async function waitForInFlight (operatorPort: number): Promise<void> {
  for (;;) {
    const answer = await request(`http://127.0.0.1:${operatorPort}/dump/calls`)
    const { inFlight } = await answer.body.json() as { inFlight: number }
    if (inFlight > 0) return
  }
}

async function waitForHealth (operatorPort: number, health: string): Promise<void> {
  for (;;) {
    const answer = await request(`http://127.0.0.1:${operatorPort}/health`)
    if (await answer.body.text() === health) return
  }
}

fleets.run()
