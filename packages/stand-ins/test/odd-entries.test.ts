import { request } from 'undici'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { Fleet } from '../src/index.js'
import { findFreePorts } from './fixtures/free-ports.js'
import { listNodeLocations, TestCluster } from './fixtures/test-cluster.js'

const oddEntries = suite('odd entries, daemons')

const fleetPorts = 9

/** Time within which a change has to be in force, in milliseconds. */
const followedWithinMs = 10_000

const pollIntervalMs = 50

/** Elements that are added to each list of members, and to each page of the configuration. */
const oddMembers = [null, 7, 'x', [], {}, { id: 'odd' }, { id: 'odd-1', service: 'orders', region: 'kochi', failureDomain: 'kochi-a', ip: '999.0.0.1', peerPort: 1, controlPort: 1, state: 'live' }, { id: 'odd-2', service: 'orders', region: 'kochi', failureDomain: 'kochi-a', ip: '127.0.0.1', peerPort: 99_999, controlPort: 0, state: 'live' }, { id: 'odd-3', service: 'orders', region: 'kochi', failureDomain: 'kochi-a', ip: 'a b', peerPort: 1, controlPort: 1, state: 'live' }]
const deep = '['.repeat(50_000) + ']'.repeat(50_000)
const oddConfiguration = [null, 7, { key: 7 }, { key: 'profile/odd', version: 1e308, text: '{}' }, { key: 'profile/odd', version: 2 ** 53 - 1, text: '{}' }, { key: 'service/odd', version: 1, text: deep }, { key: 'profile/__proto__', version: 1, text: 'no JSON' }]

/** Bodies in place of a page. */
const wholePages = ['', 'no JSON', 'null', '[]', '{"revision":1e999,"entries":[],"lists":[]}', '{"revision":-1,"entries":[],"lists":[]}', deep, 'x'.repeat(20_000_000)]

/** Appends odd elements to a page of members or of the configuration. */
function appendOdd (path: string, text: string): string {
  const page = JSON.parse(text) as { lists?: Array<{ members: unknown[] }>, entries?: unknown[] }
  if (path === '/v1/members') return JSON.stringify({ ...page, lists: [...(page.lists ?? []).map(list => ({ ...list, members: [...oddMembers, ...list.members] })), null, { service: 'orders', version: 'x' }] })
  return JSON.stringify({ ...page, entries: [...oddConfiguration, ...page.entries ?? []] })
}

async function withFleet (check: (fleet: Fleet, ended: string[]) => Promise<void>): Promise<void> {
  const firstPort = await findFreePorts(fleetPorts)
  const ended: string[] = []
  const fleet = await Fleet.create({ deployments: [{ region: 'kochi', failureDomains: ['kochi-a'], services: [{ name: 'orders', targets: 2, profile: 'orders' }] }], firstPort, faultControlPort: firstPort + fleetPorts - 1, onUnexpectedExit: name => { ended.push(name) } })
  try {
    await check(fleet, ended)
  } finally {
    fleet.kill()
    await fleet.close()
  }
}

/** The parts of a daemon's dump that this test reads. */
interface DaemonDump {
  readonly configuration: { readonly entries: ReadonlyArray<{ readonly key: string, readonly inForce: number | null }> }
  readonly membership: { readonly services: Readonly<Record<string, { readonly members: number }>> }
}

/** The profile in force and the number of members on each daemon. */
async function readStates (fleet: Fleet): Promise<Array<{ profile: number, members: number }>> {
  return await Promise.all(fleet.nodes.map(async ({ operatorPort }) => {
    const answer = await request(`http://127.0.0.1:${operatorPort}/dump`)
    const { configuration, membership } = await answer.body.json() as DaemonDump
    return { profile: configuration.entries.find(({ key }) => key === 'profile/orders')?.inForce ?? 0, members: membership.services['orders']?.members ?? 0 }
  }))
}

/** Asserts that the daemons run, serve calls, and put a later configuration and a later list of members in force. */
async function assertWorks (fleet: Fleet, ended: readonly string[]): Promise<void> {
  const before = Math.max(...(await readStates(fleet)).map(({ profile }) => profile))
  const [first] = fleet.nodes
  fleet.platformService.publish('profile/orders', '{ "timeouts": { "callMs": 1234 } }')
  fleet.platformService.setMembers([...fleet.nodes, ...first === undefined ? [] : [first]].map(({ member }, index) => index < fleet.nodes.length ? member : { ...member, id: 'followed', state: 'leaving' }))
  const isFollowed = async (): Promise<boolean> => (await readStates(fleet)).every(({ profile, members }) => profile > before && members === fleet.nodes.length + 1)
  const deadlineAt = Date.now() + followedWithinMs
  while (Date.now() < deadlineAt && ended.length === 0 && !await isFollowed()) await new Promise(resolve => setTimeout(resolve, pollIntervalMs))
  assert.equal(ended, [])
  assert.ok(await isFollowed(), `in force: ${JSON.stringify(await readStates(fleet))}`)
  for (const { callersPort } of fleet.nodes) {
    const answer = await request(`http://127.0.0.1:${callersPort}/~orders/page`)
    await answer.body.dump()
    assert.is(answer.statusCode, 200)
  }
}

// Guards against a daemon that ends, or stops following, because of odd entries among those of the platform (issue 29).
oddEntries('with odd members and entries in each page, daemons serve calls and follow changes', async () => {
  await withFleet(async (fleet, ended) => {
    fleet.platformService.changeAnswer = appendOdd
    await assertWorks(fleet, ended)
  })
})

// Guards against a daemon that ends, or stops following, because of pages that the platform did not mean (issue 29).
oddEntries('after odd pages, daemons serve calls and follow changes', async () => {
  await withFleet(async (fleet, ended) => {
    const remaining = [...wholePages]
    let answers = 0
    // Every second answer is as it should be: daemons wait longer after each failure in a row.
    fleet.platformService.changeAnswer = (_path, text) => answers++ % 2 === 0 ? remaining.pop() ?? text : text
    const deadlineAt = Date.now() + followedWithinMs
    while (remaining.length > 0 && Date.now() < deadlineAt) {
      fleet.platformService.publish('profile/calm', `{ "timeouts": { "callMs": ${1_000 + remaining.length} } }`)
      await new Promise(resolve => setTimeout(resolve, pollIntervalMs))
    }
    assert.equal(remaining, [])
    fleet.platformService.changeAnswer = (_path, text) => text
    await assertWorks(fleet, ended)
  })
})

// Guards against a log that is filled by odd entries, which are read again and again (issue 29).
oddEntries('members and entries that are left out are logged once for each revision', async () => {
  const cluster = await TestCluster.create(listNodeLocations(['kochi-a'], 2))
  try {
    cluster.platform.changeAnswer = appendOdd
    cluster.publishCallTimeout(1_500)
    cluster.publishMembers()
    await cluster.advanceUntil('the configuration is in force', () => cluster.allUseCallTimeout(1_500))
    await cluster.advance(30_000)
    const lines = cluster.logLines.filter(line => line.includes('event=entries-left-out')).map(line => line.replace(/time=\S+/, ''))
    assert.ok(lines.some(line => line.includes('kind=members')) && lines.some(line => line.includes('kind=configuration')), lines.join('\n'))
    assert.equal(lines, [...new Set(lines)])
  } finally {
    await cluster.close()
  }
})

oddEntries.run()
