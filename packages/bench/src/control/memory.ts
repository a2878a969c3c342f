/** Measures the heap bytes of a node's state, in a separate process with --expose-gc. Prints one JSON line. */
import { gzipSync } from 'node:zlib'
import { Digest, hashText, ConfigurationStore } from 'auburnturn/core/configuration'
import { MemberListStore, Topology } from 'auburnturn/core/relay'
import { Clock, ControlClients, ControlServer, Directory, Logger, Measuring, Notices } from './library.js'

const targets = 19_000
const services = 1_900
const profiles = 200
const peerCount = 100
const ip = '127.0.0.1'

const clock = Clock.create()
const logger = Logger.create('error')
const digest = Digest.create()
const store = ConfigurationStore.create({ clock, logger, digest })
const notices = Notices.create({ clock })
const directory = Directory.create({ clock, logger, notices, getMaxRemovalShare: () => 0.5 })
const memberLists = MemberListStore.create({ digest, clock })
const topology = Topology.create({ self: { id: 'self', region: 'region-0', failureDomain: 'domain-0', ip, controlPort: 1 }, clock })
memberLists.observe((_entry, changes, list) => {
  for (const [id, member] of changes) topology.setMember(id, member)
  directory.accept(list)
})
hashText('warm')

const perProfile = measureHeapPerItem(profiles, index => {
  store.accept({ key: `profile/profile-${index}`, version: index + 1, text: `{ "note": "${'x'.repeat(300)}", "timeouts": { "callMs": ${1000 + index} } }` }, 'platform')
})
const perService = measureHeapPerItem(services, index => {
  store.accept({ key: `service/service-${index}`, version: 1000 + index, text: `{ "profile": "profile-${index % profiles}" }` }, 'platform')
})
const perTarget = measureHeapPerItem(services, index => { memberLists.acceptList({ service: `service-${index}`, version: index + 1, members: createMembers(index) }) }) * services / targets
const copyBytes = measureCopyBytes()
const changeMs = await timeMemberChange()
const perPeer = await measurePeerBytes()
process.stdout.write(`${JSON.stringify({ bench: 'control', case: 'memory', targets, services, profiles, bytesPerTarget: perTarget, bytesPerService: perService, bytesPerProfile: perProfile, bytesPerPeer: perPeer, memberChangeMs: changeMs, copyBytes })}\n`)
process.exit()

function createMembers (service: number): Array<Parameters<typeof memberLists.acceptList>[0]['members'][number]> {
  return Array.from({ length: targets / services }, (_, index) => {
    const number = service * 10 + index
    const domain = number % 22
    return { id: `service-${service}-${index}`, service: `service-${service}`, region: `region-${domain % 10}`, failureDomain: `domain-${domain}`, ip: `10.${number >> 16}.${(number >> 8) & 255}.${number & 255}`, peerPort: 7000, controlPort: 7001, state: 'live' as const }
  })
}

function measureHeapPerItem (count: number, add: (index: number) => void): number {
  const before = readHeapBytes()
  for (let index = 0; index < count; index++) add(index)
  return (readHeapBytes() - before) / count
}

/** Mean time to apply one changed member list to the full state and order its failure domain again, in milliseconds. */
async function timeMemberChange (): Promise<number> {
  const rounds = 200
  const startedAt = performance.now()
  for (let round = 0; round < rounds; round++) {
    const members = createMembers(round).slice(1)
    memberLists.acceptList({ service: `service-${round}`, version: 10_000 + round, members })
    topology.getPeers('domain-0')
  }
  return (performance.now() - startedAt) / rounds
}

/** Heap and external bytes of a node for one connected peer. */
async function measurePeerBytes (): Promise<number> {
  const servers = await Promise.all(Array.from({ length: peerCount }, async () => await ControlServer.create({ ip, port: 0, routes: [] })))
  const clients = ControlClients.create()
  const before = readHeldBytes()
  await Promise.all(servers.map(async ({ port }) => {
    await clients.getClient(Measuring, { ip, controlPort: port }).probe({ service: 'none' }).catch(() => {})
  }))
  // Both ends of each connection are in this process; a node has only one of them.
  return (readHeldBytes() - before) / peerCount / 2
}

/** Bytes of the full state in compressed messages, as it is sent to a new node. */
function measureCopyBytes (): number {
  const messageBytes = 65_536
  const texts = [...digest.keysIn(new Set(Array.from({ length: 64 }, (_, index) => index)))]
    .map(key => `${key}${(store.get(key) ?? memberLists.get(key))?.text ?? ''}`)
  let bytes = 0
  let message = ''
  for (const text of texts) {
    message += text
    if (message.length < messageBytes) continue
    bytes += gzipSync(message).length
    message = ''
  }
  return bytes + gzipSync(message).length
}

function readHeapBytes (): number {
  collectGarbage()
  return process.memoryUsage().heapUsed
}

function readHeldBytes (): number {
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

function collectGarbage (): void {
  const { gc } = globalThis as { gc?: () => void }
  gc?.()
  gc?.()
}
