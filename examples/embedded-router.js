/**
 * A service that embeds the router and calls another one without a hop through its own node.
 * The stand-ins below take the place of the platform, of an upstream, and of the daemon beside it.
 */
import { PlatformService, UpstreamService } from '@auburnturn/stand-ins'
import { Client, Logger, Node, readShippedProfiles, settingsSchema } from 'auburnturn'

const ip = '127.0.0.1'
const logger = Logger.create('error')

const platform = await PlatformService.create()
platform.publish('profile/orders', readShippedProfiles().get('orders'))
platform.publish('service/orders', '{ "profile": "orders" }')

const upstream = await UpstreamService.create('orders-1')
const any = { ip, port: 0 }
const node = await Node.create(settingsSchema.parse({
  id: 'orders-1',
  service: 'orders',
  region: 'kochi',
  failureDomain: 'kochi-a',
  callers: any,
  peers: any,
  control: any,
  upstream: { ip, port: upstream.port },
  platform: [{ ip, port: platform.port }]
}), { logger })
platform.setMembers([{
  id: 'orders-1', service: 'orders', region: 'kochi', failureDomain: 'kochi-a', ip, peerPort: node.peersPort, controlPort: node.controlPort, state: 'live'
}])

// From here on: what a service does.
const client = await Client.create({ platform: [{ ip, port: platform.port }], caller: 'shop', logger })

const order = await client.call({ service: 'orders', path: '/orders', method: 'POST', body: '{"glow sticks":500}', timeoutMs: 2000 })
if (order.verdict === 'done') console.log('order: done,', order.status, Buffer.from(order.body).toString())
else console.log('order:', order.verdict, order.cause)

const lost = await client.call({ service: 'nowhere', path: '/' })
console.log('unknown service:', lost.verdict, lost.cause)

await client.close()
await node.close()
await upstream.close()
await platform.close()
