/** Sends one order twice through two nodes with the same ticket: it runs once, and both get its answer. */
import { PlatformService, UpstreamService } from '@auburnturn/stand-ins'
import { Logger, Node, settingsSchema } from 'auburnturn'
import { request } from 'undici'

const free = { ip: '127.0.0.1', port: 0 }
const platform = await PlatformService.create()
platform.publish('profile/orders', '{ "admission": { "localBelow": 0 } }')
platform.publish('service/orders', '{ "profile": "orders" }')

const upstreams = []
const nodes = []
for (const id of ['orders-1', 'orders-2']) {
  const upstream = await UpstreamService.create(id)
  const settings = settingsSchema.parse({
    id,
    service: 'orders',
    region: 'kochi',
    failureDomain: 'kochi-a',
    callers: free,
    peers: free,
    control: free,
    operator: free,
    upstream: { ip: free.ip, port: upstream.port },
    platform: [{ ip: free.ip, port: platform.port }]
  })
  upstreams.push(upstream)
  nodes.push(await Node.create(settings, { logger: Logger.createSilent() }))
}
platform.setMembers(nodes.map((node, index) => ({
  id: `orders-${index + 1}`, service: 'orders', region: 'kochi', failureDomain: 'kochi-a', ip: free.ip, peerPort: node.peersPort, controlPort: node.controlPort, state: 'live'
})))
while (nodes.some(node => node.directory.liveMembers('orders').length < 2)) await new Promise(resolve => { setTimeout(resolve, 10) })

const addresses = nodes.map(node => `http://${free.ip}:${node.callersPort}/~orders`)
const issued = await request(`${addresses[0]}/.well-known/auburnturn/ticket`, { method: 'POST' })
const { ticket } = await issued.body.json()

for (const address of addresses) {
  const answer = await request(`${address}/new`, { method: 'POST', headers: { 'auburnturn-ticket': ticket }, body: 'twelve boxes of glow sticks' })
  await answer.body.dump()
  console.log(`status ${answer.statusCode}, recorded ${answer.headers['auburnturn-recorded'] ?? 'no'}`)
}

await Promise.all(nodes.map(node => node.close()))
await Promise.all(upstreams.map(upstream => upstream.close()))
await platform.close()
